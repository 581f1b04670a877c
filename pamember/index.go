package pamember

import (
	"papayahead/pabundle"

	"github.com/cespare/xxhash/v2"
)

// index groups the entries for drawing peers. Its groups are built anew at a tick if dirty.
type index struct {
	dirty bool
	// all holds every entry, sorted by name; it is always up to date.
	all []*entry
	// zone and region hold the members to talk to in the own zone and region, but the own one.
	zone, region []*entry
	// otherRegions holds those of each other region.
	otherRegions []regionEntries
	// silent holds the members of zones that nothing is heard of.
	silent []*entry
	relay  bool
	// next walks through zone and others.
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
	m.random.Shuffle(len(x.otherRegions), func(i, j int) { x.otherRegions[i], x.otherRegions[j] = x.otherRegions[j], x.otherRegions[i] })
	x.relay = m.isRelay()
}

// addToIndex files an entry that is worth talking to under its zone and region.
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

// isRelay reports whether this daemon is one of the few of its region that talk to other regions: those with the
// highest rendezvous hash, so that all agree without asking and a loss moves one place only.
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

// pickFar returns a member of another region, the regions taken in turn.
func (m *Member) pickFar() *entry {
	x := &m.index
	if len(x.otherRegions) == 0 {
		return nil
	}
	x.nextOther = (x.nextOther + 1) % len(x.otherRegions)
	return pick(m.random, x.otherRegions[x.nextOther].entries)
}

// group is the hash by which zones and regions are named in messages.
func group(name string) uint32 { return uint32(mix(xxhash.Sum64String(name))) }
