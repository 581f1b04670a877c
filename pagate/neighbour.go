package pagate

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
)

// maxNeighbours is how many entry VMs of its region an entry VM calls. If each of hundreds in a region called all
// others twice a second, the calls would grow with the square of their number and take bandwidth between zones and
// CPU time from requests.
const maxNeighbours = 8

// neighbours returns the entry VMs of the own region to call. They stand at growing distances on a hash ring, so that
// each is called by as many as it calls, and changes reach all within few calls.
func (g *Gate) neighbours(entries []pafleet.Entry) []pafleet.Entry {
	ring := hashRing(g.self, entries)
	var all []pafleet.Entry
	for _, d := range ringDistances(len(ring)) {
		all = append(all, ring[d-1])
	}
	return all
}

// hashRing returns the other entry VMs of the region, ordered by name hash from the given one on.
func hashRing(self pafleet.Entry, entries []pafleet.Entry) []pafleet.Entry {
	own := xxhash.Sum64String(self.Name)
	all := slices.DeleteFunc(slices.Clone(entries), func(e pafleet.Entry) bool {
		return e.Region != self.Region || e.Name == self.Name
	})
	slices.SortFunc(all, func(a, b pafleet.Entry) int {
		return cmp.Compare(xxhash.Sum64String(a.Name)-own, xxhash.Sum64String(b.Name)-own)
	})
	return all
}

// ringDistances returns up to maxNeighbours distances from 1 to n, each about the same multiple of the one before.
func ringDistances(n int) []int {
	var all []int
	for i := range min(n, maxNeighbours) {
		step := int(math.Pow(float64(n+1), float64(i)/maxNeighbours))
		if i > 0 {
			step = max(step, all[i-1]+1)
		}
		all = append(all, step)
	}
	return all
}

// warmNoteSources returns the entry VMs to ask for warm notes: every other neighbour, and the sources in other
// regions.
func (g *Gate) warmNoteSources(s *state) []pafleet.Entry {
	all := g.remoteSources(s)
	for i, e := range g.neighbours(s.entries) {
		if i%2 == 0 {
			all = append(all, e)
		}
	}
	return all
}

// wantsNotes reports whether to ask a neighbour for warm notes.
func (g *Gate) wantsNotes(e pafleet.Entry) bool {
	return slices.ContainsFunc(g.warmNoteSources(g.state.Load()), func(o pafleet.Entry) bool { return o.Name == e.Name })
}

// maxRemoteSources is how many entry VMs of other regions are asked for warm notes.
const maxRemoteSources = 4

// remoteSources returns, at the first entry VM of a region in hash order, the first ones of the regions that follow
// by name, to ask them for warm notes. The other entry VMs of the region have none.
//
// If the last entry VM of a region stops, its clients move to other regions. Without the notes the entry VMs there
// would not know which targets are warm for the clients' objects, and each object would run cold once more. Only one
// entry VM asks for its region, so that notes cross a link between regions once and not once for each entry VM.
func (g *Gate) remoteSources(s *state) []pafleet.Entry {
	first := map[string]pafleet.Entry{}
	for _, e := range g.liveEntries(s) {
		if f, ok := first[e.Region]; !ok || xxhash.Sum64String(e.Name) < xxhash.Sum64String(f.Name) {
			first[e.Region] = e
		}
	}
	if first[g.self.Region].Name != g.self.Name {
		return nil
	}
	var before, after []pafleet.Entry
	for region, e := range first {
		switch {
		case region < g.self.Region:
			before = append(before, e)
		case region > g.self.Region:
			after = append(after, e)
		}
	}
	byRegion := func(a, b pafleet.Entry) int { return cmp.Compare(a.Region, b.Region) }
	slices.SortFunc(before, byRegion)
	slices.SortFunc(after, byRegion)
	all := append(after, before...)
	return all[:min(len(all), maxRemoteSources)]
}
