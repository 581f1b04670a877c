package pagate

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
)

// maxNeighbours is how many entry VMs of its region an entry VM calls.
//
// Load: hundreds of entry VMs in a region, each calling all the others twice a second. Harm prevented: the calls
// grow with the square of the region, and take the links between zones and the processors from callers.
const maxNeighbours = 8

// neighbours returns those of the own region that an entry VM calls: at growing distances in the order of
// hashes, so that each is called by as many as it calls, and news reaches all over few calls.
func (g *Gate) neighbours(entries []pafleet.Entry) []pafleet.Entry {
	ring := hashRing(g.self, entries)
	var all []pafleet.Entry
	for _, d := range ringDistances(len(ring)) {
		all = append(all, ring[d-1])
	}
	return all
}

// hashRing returns the other entry VMs of the region, in the order of hashes from the given one on.
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

// ringDistances returns the distances from 1 to n, at most neighboursMost, each about the same multiple of the one before.
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

// warmNoteSources returns whom an entry VM asks what is warm: every other one of its neighbours, and those that it
// calls in other regions.
func (g *Gate) warmNoteSources(s *state) []pafleet.Entry {
	all := g.remoteSources(s)
	for i, e := range g.neighbours(s.entries) {
		if i%2 == 0 {
			all = append(all, e)
		}
	}
	return all
}

// wantsNotes says whether the neighbour is asked what is warm.
func (g *Gate) wantsNotes(e pafleet.Entry) bool {
	return slices.ContainsFunc(g.warmNoteSources(g.state.Load()), func(o pafleet.Entry) bool { return o.Name == e.Name })
}

// maxRemoteSources is how many entry VMs of other regions are asked what is warm.
const maxRemoteSources = 4

// remoteSources returns whom the first entry VM of a region calls in the regions that follow in the order of their
// names, and nobody at the others.
//
// Load: the last entry VM of a region is stopped, and its callers are sent to other regions. Harm prevented: the
// entry VMs there do not know where the callers' objects are warm, and each runs cold once more. One entry VM asks
// for its region, so that notes cross the links between regions once and not once for each entry VM.
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
	var before, behind []pafleet.Entry
	for region, e := range first {
		switch {
		case region < g.self.Region:
			before = append(before, e)
		case region > g.self.Region:
			behind = append(behind, e)
		}
	}
	byRegion := func(a, b pafleet.Entry) int { return cmp.Compare(a.Region, b.Region) }
	slices.SortFunc(before, byRegion)
	slices.SortFunc(behind, byRegion)
	all := append(behind, before...)
	return all[:min(len(all), maxRemoteSources)]
}
