package pagate

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/paevent"
	"papayahead/pafleet"
)

// lookUpLife is how long callers keep the answer of a look-up; some keep it three times as long.
// A short life lets a planned stop end soon and a dead entry VM be avoided; each look-up costs an
// entry VM well under a millisecond.
const lookUpLife = time.Second

// serveReady answers the platform's question whether the process is ready.
func (g *Gate) serveReady(w http.ResponseWriter, r *http.Request) {
	if !g.config.Codec.IsReadyCheck(r) {
		http.NotFound(w, r)
		return
	}
	if g.leaving.Load() || g.state.Load().table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveLookUp tells a caller where to connect.
func (g *Gate) serveLookUp(w http.ResponseWriter, r *http.Request) {
	q, ok := g.config.Codec.ParseLookUp(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	all := g.addresses(q)
	if len(all) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := g.config.Codec.WriteLookUp(w, all, min(lookUpLife, g.config.Settings.MaxLookUpTTL)); err != nil {
		g.record(paevent.LookUpFailed{Reason: err.Error()})
	}
}

// addresses returns the entry VMs of the caller's region that live, or all where there are none; of more than callers
// take, each entry VM names others.
//
// Load: callers of a region of a hundred entry VMs that ask those of another region. Harm prevented: the same ones are
// named to all of them, and the last in the list get nothing.
func (g *Gate) addresses(q LookUp) []netip.AddrPort {
	region := q.Region
	if r := g.config.Settings.Regions[q.Zone]; r != "" {
		region = r
	}
	live := g.live(g.state.Load())
	if g.leaving.Load() && len(live) > 1 {
		live = slices.DeleteFunc(live, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	}
	near := slices.DeleteFunc(slices.Clone(live), func(e pafleet.Entry) bool { return e.Region != region })
	if len(near) == 0 {
		near = live
	}
	if region == g.self.Region && len(near) > neighboursMost {
		near = g.watched(near)
	}
	var all []netip.AddrPort
	begin := xxhash.Sum64String(g.self.Name) % uint64(max(1, len(near)))
	for i := range min(len(near), addressesMost) {
		all = append(all, near[(int(begin)+i)%len(near)].Front)
	}
	return all
}

// addressesMost is how many addresses callers take of an answer.
const addressesMost = 64

// watched returns this entry VM, unless it leaves, and the neighbours that it calls: of the others it would learn
// late that they died.
func (g *Gate) watched(near []pafleet.Entry) []pafleet.Entry {
	all := g.neighbours(near)
	if !g.leaving.Load() {
		all = append(all, g.self)
	}
	return all
}

// live returns the entry VMs that run as far as is known, this one included, in the order of their names.
func (g *Gate) live(s *state) []pafleet.Entry {
	all := []pafleet.Entry{g.self}
	for _, e := range s.entries {
		if e.Name != g.self.Name && g.peers.usable(e.Name) {
			all = append(all, e)
		}
	}
	for _, e := range g.peers.unlisted(s.entries) {
		if e.Name != g.self.Name {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b pafleet.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// byHash returns the entry VMs that run as far as is known in the order of hashes: the first of them read the store.
func (g *Gate) byHash(s *state) []pafleet.Entry {
	all := g.live(s)
	slices.SortFunc(all, func(a, b pafleet.Entry) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	return all
}

// readers returns the entry VMs that read the store for all.
func (g *Gate) readers(s *state) []pafleet.Entry {
	all := g.byHash(s)
	return all[:min(max(readers, len(all)/entriesPerReader), len(all))]
}

func (g *Gate) isReader() bool {
	return slices.ContainsFunc(g.readers(g.state.Load()), func(e pafleet.Entry) bool { return e.Name == g.self.Name })
}

// nearestReader returns another reader, one of the own region before others, or else any other entry VM.
// One is enough to keep up, and each further one costs bytes between regions. A reader asks one too: the
// store may refuse it and serve the others.
func (g *Gate) nearestReader(s *state) pafleet.Entry {
	all := g.readers(s)
	if len(all) == 1 && all[0].Name == g.self.Name {
		all = g.live(s)
	}
	all = slices.DeleteFunc(all, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	near := slices.DeleteFunc(slices.Clone(all), func(e pafleet.Entry) bool { return e.Region != g.self.Region })
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return pafleet.Entry{}
	}
	// Each entry VM takes one by its own name, so that those who ask are spread over those who read.
	return near[xxhash.Sum64String(g.self.Name)%uint64(len(near))]
}
