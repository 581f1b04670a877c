package pagate

import (
	"time"

	"papayahead/paevent"
	"papayahead/pafleet"
)

// The states of a target in the log.
const (
	targetReady    = "Ready"
	targetDraining = "Draining"
	targetLapsed   = "Lapsed"
	targetGone     = "Gone"
)

const (
	// fleetLines and fleetBurst bound the lines on single targets and entry VMs, a second and at once. What is known
	// at a start, or changes together, is a sum.
	fleetLines = 10
	fleetBurst = 100
	// followLines and followBurst bound the lines on the revisions that neighbours' words led to.
	followLines = 2
	followBurst = 20
	// endLines and endBurst bound the lines on requests that were refused or failed.
	endLines = 50
	endBurst = 500
)

// noted is what the log last said of the deployment. Only the control loop uses it.
type noted struct {
	targets map[string]paevent.TargetKnown
	entries map[string]string
	// dropped is the number of log lines that were dropped.
	dropped uint64
	// staleAt is the uptime since when requests with a key are refused; 0 while they are not.
	staleAt time.Duration
	// lines bounds the lines on single targets and entry VMs; unlisted counts those left out of the next sum.
	lines    budget
	unlisted int
	// source is whom the change that is looked at came from: sourceStore, a neighbour's name, or nobody.
	source string
	// followed is the process whose word last raised the revision, and follows bounds the lines on that.
	followed lifetime
	follows  budget
}

// lifetime is one run of an entry VM's process.
type lifetime struct {
	name string
	born int64
}

// sourceStore names the platform's store as the source of a change.
const sourceStore = "Store"

// note logs what is known of one target or entry VM if there is room for the line.
func (g *Gate) note(e paevent.Event, now time.Time) {
	if g.noted.lines.take(now) {
		g.record(e)
		return
	}
	g.noted.unlisted++
}

// noteChanges logs what the process now believes, one line for each change.
func (g *Gate) noteChanges(v *pafleet.View, old *state, now time.Time) {
	if v.Config != nil && v.Config.Version != old.configVersion() {
		g.record(paevent.ConfigurationInForce{Version: v.Config.Version, Before: old.configVersion(), Revision: uint64(v.ConfigRevision)})
	}
	if g.noted.targets == nil {
		// A start: what is known by then counts as known.
		g.noted.lines = budget{rate: fleetLines, burst: fleetBurst, at: now}
		g.noted.targets, g.noted.entries = map[string]paevent.TargetKnown{}, map[string]string{}
	}
	draining := g.noteTargets(v, now)
	g.noteEntries(v, now)
	g.record(paevent.FleetChanged{
		Revision: uint64(v.Revision), Targets: len(v.Targets), Draining: draining,
		Entries: len(v.Entries), EvacuatedZones: len(v.Evacuated), Unlisted: g.noted.unlisted,
	})
	g.noted.unlisted = 0
}

// noteTargets logs changes of targets and returns how many drain.
func (g *Gate) noteTargets(v *pafleet.View, now time.Time) (draining int) {
	for id, m := range v.Targets {
		e := paevent.TargetKnown{Target: id, Service: m.Service, Zone: m.Zone, State: targetReady, Born: m.Born}
		switch {
		case m.Draining:
			e.State = targetDraining
			draining++
		case !m.LapsedAt.IsZero():
			e.State = targetLapsed
		}
		if g.noted.targets[id] == e {
			continue
		}
		g.noted.targets[id] = e
		e.Revision, e.ColdMilliseconds, e.Source = uint64(m.Revision), max(0, m.ColdUntil.Sub(now)).Milliseconds(), g.noted.source
		g.note(e, now)
	}
	for id, e := range g.noted.targets {
		if v.Targets[id] == nil {
			e.State, e.Revision, e.Source = targetGone, uint64(v.Revision), g.noted.source
			g.note(e, now)
			delete(g.noted.targets, id)
		}
	}
	return draining
}

// noteEntries logs changes of the registered entry VMs.
func (g *Gate) noteEntries(v *pafleet.View, now time.Time) {
	for name, e := range v.Entries {
		if _, ok := g.noted.entries[name]; !ok {
			g.noted.entries[name] = e.Zone
			g.note(paevent.EntryKnown{Entry: name, Zone: e.Zone, Registered: true}, now)
		}
	}
	for name, zone := range g.noted.entries {
		if _, ok := v.Entries[name]; !ok {
			delete(g.noted.entries, name)
			g.note(paevent.EntryKnown{Entry: name, Zone: zone}, now)
		}
	}
}

// noteFollowed logs that a neighbour's word raised the revision, if it named something or comes from another process than
// the last such word.
func (g *Gate) noteFollowed(p peerSaid, r pafleet.Revision, now time.Time) {
	from := lifetime{name: p.from.Name, born: p.from.Born}
	e := paevent.NeighbourFollowed{Entry: from.name, Born: from.born, Since: uint64(p.since), Revision: uint64(r)}
	if d := p.delta; d != nil {
		e.Whole, e.Targets, e.Gone, e.Entries, e.Left, e.Zones = d.Whole, len(d.Targets), len(d.Gone), len(d.Entries), len(d.Left), len(d.Zones)
	}
	g.meter.wordFollowed(wordOf(p.delta)).Inc()
	if p.delta == nil && g.noted.followed == from {
		return
	}
	g.noted.followed = from
	if g.noted.follows.take(now) {
		g.record(e)
	}
}
