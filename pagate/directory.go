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

// lookUpTTL is how long clients may cache the response to a look-up; some keep it three times as long. A short TTL
// lets a planned stop finish soon and moves clients away from a dead entry VM; a look-up costs an entry VM well under
// a millisecond.
const lookUpTTL = time.Second

// serveReady answers the platform's readiness checks.
func (g *Gate) serveReady(w http.ResponseWriter, r *http.Request) {
	if !g.config.Codec.IsReadyCheck(r) {
		http.NotFound(w, r)
		return
	}
	if g.shuttingDown.Load() || g.state.Load().table == nil || !g.servesPorts() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveLookUp answers a client's query for entry VM addresses.
func (g *Gate) serveLookUp(w http.ResponseWriter, r *http.Request) {
	q, ok := g.config.Codec.ParseLookUp(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	addresses := g.lookUpAddresses(q)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := g.config.Codec.WriteLookUp(w, addresses, min(lookUpTTL, g.config.Settings.MaxLookUpTTL)); err != nil {
		g.record(paevent.LookUpFailed{Reason: err.Error()})
	}
}

// lookUpAddresses returns the addresses of live entry VMs in the client's region, or of all live ones if there are
// none.
//
// A client uses only the first maxAddresses, so that each entry VM starts its list at a different one. Otherwise a
// region with a hundred entry VMs that serves clients of another region would get all of their traffic on the same
// ones, and none on the last in the list.
func (g *Gate) lookUpAddresses(q LookUp) []netip.AddrPort {
	region := q.Region
	if r := g.config.Settings.Regions[q.Zone]; r != "" {
		region = r
	}
	live := g.liveEntries(g.state.Load())
	if g.shuttingDown.Load() && len(live) > 1 {
		live = slices.DeleteFunc(live, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	}
	near := slices.DeleteFunc(slices.Clone(live), func(e pafleet.Entry) bool { return e.Region != region })
	if len(near) == 0 {
		near = live
	}
	if region == g.self.Region && len(near) > maxNeighbours {
		near = g.monitored(near)
	}
	near = g.withPaths(near, q.Host)
	var addresses []netip.AddrPort
	start := xxhash.Sum64String(g.self.Name) % uint64(max(1, len(near)))
	for i := range min(len(near), maxAddresses) {
		addresses = append(addresses, near[(int(start)+i)%len(near)].Front)
	}
	return addresses
}

// withPaths leaves out the entry VMs that hand requests of the host to others because their paths to the targets failed, if
// any is left. Requests there are served too, but each takes the work of two entry VMs.
func (g *Gate) withPaths(all []pafleet.Entry, host string) []pafleet.Entry {
	table := g.state.Load().table
	if table == nil || g.config.Off.SteerAway {
		return all
	}
	kept := slices.DeleteFunc(slices.Clone(all), func(e pafleet.Entry) bool {
		lost := g.peers.lostServices(e.Name)
		if e.Name == g.self.Name {
			lost = g.lost()
		}
		return len(lost) > 0 && table.HostUses(host, func(service string) bool { return lost[service].Relays })
	})
	if len(kept) == 0 {
		return all
	}
	return kept
}

// maxAddresses is how many addresses clients use of a response.
const maxAddresses = 64

// monitored returns this entry VM, unless it shuts down, and the neighbours that it calls. The failure of any other
// entry VM would be noticed late here.
func (g *Gate) monitored(near []pafleet.Entry) []pafleet.Entry {
	all := g.neighbours(near)
	if !g.shuttingDown.Load() {
		all = append(all, g.self)
	}
	return all
}

// liveEntries returns the entry VMs believed to be alive, including this one, ordered by name.
func (g *Gate) liveEntries(s *state) []pafleet.Entry {
	return g.entriesWhere(s, g.peers.usable)
}

// entriesWhere returns this entry VM, the registered ones for which keep returns true, and those that respond though they
// are not registered, ordered by name.
func (g *Gate) entriesWhere(s *state, keep func(pafleet.Entry) bool) []pafleet.Entry {
	all := []pafleet.Entry{g.self}
	for _, e := range s.entries {
		if e.Name != g.self.Name && keep(e) {
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

// liveByHash returns the entry VMs believed to be alive ordered by the hash of their names. The first of them are the
// store readers.
func (g *Gate) liveByHash(s *state) []pafleet.Entry {
	all := g.liveEntries(s)
	slices.SortFunc(all, func(a, b pafleet.Entry) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	return all
}

// rankInRegion returns the place of this entry VM, from 0, among the n entry VMs of its region that are believed to be alive, by
// the hash of their names.
func (g *Gate) rankInRegion(s *state) (rank, n int) {
	region := slices.DeleteFunc(g.liveByHash(s), func(e pafleet.Entry) bool { return e.Region != g.self.Region })
	return slices.IndexFunc(region, func(e pafleet.Entry) bool { return e.Name == g.self.Name }), len(region)
}

// storeReaders returns the entry VMs that read the store on behalf of all others.
func (g *Gate) storeReaders(s *state) []pafleet.Entry {
	all := g.liveByHash(s)
	return all[:min(max(minStoreReaders, len(all)/entriesPerReader), len(all))]
}

func (g *Gate) isStoreReader() bool {
	return slices.ContainsFunc(g.storeReaders(g.state.Load()), func(e pafleet.Entry) bool { return e.Name == g.self.Name })
}

// syncSource returns the store reader that this entry VM asks for changes, in its own region if there is one; without
// another store reader it is any other entry VM. One source is enough to keep up, and each further one costs traffic
// between regions. A store reader has a source too, as the store may refuse it and serve the others.
func (g *Gate) syncSource(s *state) pafleet.Entry {
	all := g.storeReaders(s)
	if len(all) == 1 && all[0].Name == g.self.Name {
		all = g.liveEntries(s)
	}
	all = slices.DeleteFunc(all, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	near := slices.DeleteFunc(slices.Clone(all), func(e pafleet.Entry) bool { return e.Region != g.self.Region })
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return pafleet.Entry{}
	}
	// The choice by the hash of the own name spreads the entry VMs over the readers.
	return near[xxhash.Sum64String(g.self.Name)%uint64(len(near))]
}
