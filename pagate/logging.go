package pagate

import (
	"time"

	"papayahead/pabucket"
	"papayahead/paevent"
	"papayahead/pafleet"
)

// States of a target in the log.
const (
	targetReady    = "Ready"
	targetDraining = "Draining"
	targetLapsed   = "Lapsed"
	targetGone     = "Gone"
)

const (
	// changeLineRate and changeLineBurst bound the log lines on single targets and entry VMs, per second and at
	// once. Of what is known at a start, or changes at once, FleetChanged logs the numbers.
	changeLineRate  = 10
	changeLineBurst = 100
	// appliedLineRate and appliedLineBurst bound the lines on revisions learned from neighbours.
	appliedLineRate  = 2
	appliedLineBurst = 20
	// endLineRate and endLineBurst bound the lines on requests that were refused or failed.
	endLineRate  = 50
	endLineBurst = 500
)

// logState is what was last logged on the deployment. Only the control loop uses it.
type logState struct {
	targets map[string]paevent.TargetKnown
	entries map[string]string
	// dropped is the number of dropped log lines.
	dropped uint64
	// staleSince is the uptime since which requests with a key are refused; 0 while they are accepted.
	staleSince time.Duration
	// changeLines bounds the lines on single targets and entry VMs; suppressed counts those left out since the
	// last FleetChanged.
	changeLines pabucket.Bucket
	suppressed  int
	// source is where the current change came from: sourceStore, a neighbour's name, or "".
	source string
	// hops is by how many entry VMs the current change came from the one that read it from the store, operatorHops that of the
	// operators' latest change.
	hops, operatorHops int
	// lastApplied is the process whose reply last raised the revision; appliedLines bounds the lines on that.
	lastApplied  processRun
	appliedLines pabucket.Bucket
}

// processRun identifies one run of an entry VM's process.
type processRun struct {
	name string
	born int64
}

// sourceStore is the source of changes read from the platform's store.
const sourceStore = "Store"

// logChange logs a change of one target or entry VM, unless changeLines is used up.
func (g *Gate) logChange(e paevent.Event, now time.Time) {
	if g.logged.changeLines.Take(now) {
		g.record(e)
		return
	}
	g.logged.suppressed++
}

// logChanges logs how the view differs from what was last logged.
func (g *Gate) logChanges(v *pafleet.View, old *state, now time.Time) {
	if v.Config != nil && v.Config.Version != old.configVersion() {
		g.record(paevent.ConfigurationInForce{Version: v.Config.Version, Before: old.configVersion(), Revision: uint64(v.ConfigRevision)})
	}
	if g.logged.targets == nil {
		// The bucket starts empty, so that of the first view only the numbers are logged.
		g.logged.changeLines = pabucket.Empty(changeLineRate, changeLineBurst, now)
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

// logTargetChanges logs changes of targets and returns how many of them drain.
func (g *Gate) logTargetChanges(v *pafleet.View, now time.Time) (draining int) {
	for id, m := range v.Targets {
		e := paevent.TargetKnown{Target: id, Service: m.Service, Zone: m.Zone, State: targetReady, Born: m.Born}
		switch {
		case m.Draining:
			e.State = targetDraining
			draining++
		case !m.LapsedAt.IsZero():
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

// logEntryChanges logs entry VMs that were registered or removed.
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

// logOperatorChange logs that a later change by an operator is known.
func (g *Gate) logOperatorChange(s *state) {
	g.logged.operatorHops = g.logged.hops
	g.record(paevent.OperatorChangeKnown{
		Revision: uint64(s.operatorChange), Version: s.configVersion(), Evacuated: s.evacuated, Source: g.logged.source, Hops: g.logged.hops,
		AgeMilliseconds: max(0, g.age(s)).Milliseconds(),
	})
}

// logApplied logs that a neighbour's reply raised the revision, if it had changes or came from another process than
// the last such reply.
func (g *Gate) logApplied(p peerUpdate, r pafleet.Revision, now time.Time) {
	from := processRun{name: p.from.Name, born: p.from.Born}
	e := paevent.NeighbourFollowed{Entry: from.name, Born: from.born, Since: uint64(p.since), Revision: uint64(r)}
	if d := p.delta; d != nil {
		e.Whole, e.Targets, e.Gone, e.Entries, e.Left, e.Zones =
			d.Whole, len(d.Targets), len(d.Gone), len(d.Entries), len(d.Left), len(d.Zones)
	}
	g.meter.deltasApplied(deltaKind(p.delta)).Inc()
	if p.delta == nil && g.logged.lastApplied == from {
		return
	}
	g.logged.lastApplied = from
	if g.logged.appliedLines.Take(now) {
		g.record(e)
	}
}
