package pamember

import (
	"papayahead/pabundle"

	"github.com/cespare/xxhash/v2"
)

// index groups the entries for the choice of peers. Its groups are rebuilt at the next tick if dirty is set.
type index struct {
	dirty bool
	// all holds every entry, sorted by name; it is always up to date.
	all []*entry
	// zone and region hold the usable members of the own zone and region, except this one.
	zone, region []*entry
	// otherRegions holds the usable members of each other region.
	otherRegions []regionEntries
	// silent holds the members of silent zones.
	silent []*entry
	relay  bool
	// nextZone and nextOther are the positions of the round robin over zone and otherRegions.
	nextZone, nextOther int
}

type regionEntries struct {
	name    pabundle.RegionName
	entries []*entry
}

func (m *Member) reindex() {
	if !m.index.dirty {
		return
	}
	x := &m.index
	x.dirty = false
	x.zone, x.region, x.otherRegions, x.silent = nil, nil, nil, nil
	far := map[pabundle.RegionName]int{}
	for _, e := range x.all {
		m.addToIndex(e, far)
	}
	m.random.Shuffle(len(x.zone), func(i, j int) { x.zone[i], x.zone[j] = x.zone[j], x.zone[i] })
	m.random.Shuffle(len(x.otherRegions), func(i, j int) {
		x.otherRegions[i], x.otherRegions[j] = x.otherRegions[j], x.otherRegions[i]
	})
	x.relay = m.isRelay()
}

// addToIndex adds a usable entry to the groups of its zone and region, and one of a silent zone to silent.
func (m *Member) addToIndex(e *entry, far map[pabundle.RegionName]int) {
	x := &m.index
	if e.record.Name == m.self.Name {
		return
	}
	if !m.usable(e) {
		if !e.record.State.Gone() {
			x.silent = append(x.silent, e)
		}
		return
	}
	if e.record.Zone == m.self.Zone {
		x.zone = append(x.zone, e)
	}
	if e.record.Region == m.self.Region {
		x.region = append(x.region, e)
		return
	}
	i, ok := far[e.record.Region]
	if !ok {
		i = len(x.otherRegions)
		far[e.record.Region] = i
		x.otherRegions = append(x.otherRegions, regionEntries{name: e.record.Region})
	}
	x.otherRegions[i].entries = append(x.otherRegions[i].entries, e)
}

// isRelay reports whether this daemon is one of the few of its region that gossip with other regions: those with the
// highest rendezvous hash, so that all agree without coordination and a loss replaces one relay only.
func (m *Member) isRelay() bool {
	own := RendezvousScore(string(m.self.Region), m.self.Name)
	above := 0
	for _, e := range m.index.region {
		if e.record.State <= Suspected && RendezvousScore(string(m.self.Region), e.record.Name) > own {
			above++
		}
	}
	return above < relaysPerRegion
}

// pickRemote returns a random member of another region, choosing the regions round robin.
func (m *Member) pickRemote() *entry {
	x := &m.index
	if len(x.otherRegions) == 0 {
		return nil
	}
	x.nextOther = (x.nextOther + 1) % len(x.otherRegions)
	return pick(m.random, x.otherRegions[x.nextOther].entries)
}

// group returns the hash that stands for a zone's or region's name in messages.
func group(name string) uint32 { return uint32(mix(xxhash.Sum64String(name))) }
