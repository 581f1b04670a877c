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
	// changeLineRate and fleetBurst bound the lines on single targets and entry VMs, a second and at once. What is known
	// at a start, or changes together, is a sum.
	changeLineRate = 10
	changeLineBurst = 100
	// appliedLineRate and followBurst bound the lines on the revisions that neighbours' words led to.
	appliedLineRate = 2
	appliedLineBurst = 20
	// endLineRate and endBurst bound the lines on requests that were refused or failed.
	endLineRate = 50
	endLineBurst = 500
)

// logState is what the log last said of the deployment. Only the control loop uses it.
type logState struct {
	targets map[string]paevent.TargetKnown
	entries map[string]string
	// dropped is the number of log lines that were dropped.
	dropped uint64
	// staleSince is the uptime since when requests with a key are refused; 0 while they are not.
	staleSince time.Duration
	// changeLines bounds the changeLines on single targets and entry VMs; unlisted counts those left out of the next sum.
	changeLines    tokenBucket
	suppressed int
	// source is whom the change that is looked at came from: sourceStore, a neighbour's name, or nobody.
	source string
	// lastApplied is the process whose word last raised the revision, and follows bounds the lines on that.
	lastApplied processRun
	appliedLines  tokenBucket
}

// processRun is one run of an entry VM's process.
type processRun struct {
	name string
	born int64
}

// sourceStore names the platform's store as the source of a change.
const sourceStore = "Store"

// logChange logs what is known of one target or entry VM if there is room for the line.
func (g *Gate) logChange(e paevent.Event, now time.Time) {
	if g.logged.changeLines.take(now) {
		g.record(e)
		return
	}
	g.logged.suppressed++
}

// logChanges logs what the process now believes, one line for each change.
func (g *Gate) logChanges(v *pafleet.View, old *state, now time.Time) {
	if v.Config != nil && v.Config.Version != old.configVersion() {
		g.record(paevent.ConfigurationInForce{Version: v.Config.Version, Before: old.configVersion(), Revision: uint64(v.ConfigAt)})
	}
	if g.logged.targets == nil {
		// A start: what is known by then counts as known.
		g.logged.changeLines = tokenBucket{rate: changeLineRate, burst: changeLineBurst, refilledAt: now}
		g.logged.targets, g.logged.entries = map[string]paevent.TargetKnown{}, map[string]string{}
	}
	draining := g.logTargetChanges(v, now)
	g.logEntryChanges(v, now)
	g.record(paevent.FleetChanged{
		Revision: uint64(v.Revision), Targets: len(v.Targets), Draining: draining,
		Entries: len(v.Entries), EvacuatedZones: len(v.Evacuated), Unlisted: g.logged.suppressed,
	})
	g.logged.suppressed = 0
}

// logTargetChanges logs changes of targets and returns how many drain.
func (g *Gate) logTargetChanges(v *pafleet.View, now time.Time) (draining int) {
	for id, m := range v.Targets {
		e := paevent.TargetKnown{Target: id, Service: m.Service, Zone: m.Zone, State: targetReady, Born: m.Born}
		switch {
		case m.Draining:
			e.State = targetDraining
			draining++
		case !m.Lapsed.IsZero():
			e.State = targetLapsed
		}
		if g.logged.targets[id] == e {
			continue
		}
		g.logged.targets[id] = e
		e.Revision, e.ColdMilliseconds, e.Source = uint64(m.Revision), max(0, m.ColdUntil.Sub(now)).Milliseconds(), g.logged.source
		g.logChange(e, now)
	}
	for id, e := range g.logged.targets {
		if v.Targets[id] == nil {
			e.State, e.Revision, e.Source = targetGone, uint64(v.Revision), g.logged.source
			g.logChange(e, now)
			delete(g.logged.targets, id)
		}
	}
	return draining
}

// logEntryChanges logs changes of the registered entry VMs.
func (g *Gate) logEntryChanges(v *pafleet.View, now time.Time) {
	for name, e := range v.Entries {
		if _, ok := g.logged.entries[name]; !ok {
			g.logged.entries[name] = e.Zone
			g.logChange(paevent.EntryKnown{Entry: name, Zone: e.Zone, Registered: true}, now)
		}
	}
	for name, zone := range g.logged.entries {
		if _, ok := v.Entries[name]; !ok {
			delete(g.logged.entries, name)
			g.logChange(paevent.EntryKnown{Entry: name, Zone: zone}, now)
		}
	}
}

// logApplied logs that a neighbour's word raised the revision, if it named something or comes from another process than
// the last such word.
func (g *Gate) logApplied(p peerUpdate, r pafleet.Revision, now time.Time) {
	from := processRun{name: p.from.Name, born: p.from.Born}
	e := paevent.NeighbourFollowed{Entry: from.name, Born: from.born, Since: uint64(p.since), Revision: uint64(r)}
	if d := p.delta; d != nil {
		e.Whole, e.Targets, e.Gone, e.Entries, e.Left, e.Zones = d.Whole, len(d.Targets), len(d.Gone), len(d.Entries), len(d.Left), len(d.Zones)
	}
	g.meter.deltasApplied(deltaKind(p.delta)).Inc()
	if p.delta == nil && g.logged.lastApplied == from {
		return
	}
	g.logged.lastApplied = from
	if g.logged.appliedLines.take(now) {
		g.record(e)
	}
}
