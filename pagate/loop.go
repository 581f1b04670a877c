package pagate

import (
	"context"
	"maps"
	"slices"
	"time"

	"papayahead/pafleet"
	"papayahead/paroute"
)

// event is an input of the control loop.
type event interface{ isEvent() }

// storeUpdate is the result of a read of the store.
type storeUpdate struct {
	changes []pafleet.Change
	// since and revision are the range of the changes, which are after since and up to revision.
	since, revision pafleet.Revision
	// whole says that changes is the whole content of the store.
	whole bool
	// verifiedAt is the uptime at which the store held nothing newer.
	verifiedAt time.Duration
}

// storeFailure says that the store did not respond.
type storeFailure struct{ at time.Time }

// peerUpdate is a neighbour's reply on changes in the store.
type peerUpdate struct {
	// from is the neighbour, and since the revision after which it was asked for changes.
	from  pafleet.Entry
	since pafleet.Revision
	// delta is nil if nothing changed.
	delta *pafleet.Delta
	// verifiedAt is the uptime at which the neighbour knew that nothing newer was in the store.
	verifiedAt time.Duration
	revision   pafleet.Revision
	// requested says that changes were requested; otherwise the lack of a delta does not mean that nothing
	// changed.
	requested bool
}

// operatorUpdate is what operators wrote, read from the store or from a neighbour.
type operatorUpdate struct {
	// state is set if the whole of it was read; otherwise changes are those after since and up to revision.
	state           *pafleet.OperatorState
	changes         []pafleet.Change
	since, revision pafleet.Revision
	// source is a neighbour's name, or sourceStore.
	source string
}

// operatorRequest asks for what operators wrote, for a neighbour that is complete up to a revision.
type operatorRequest struct {
	since pafleet.Revision
	reply chan<- pafleet.OperatorState
}

// limiterClaimed says that this entry VM became the limiter.
type limiterClaimed struct{ at pafleet.Revision }

// deltaRequest asks for the changes after a neighbour's position.
type deltaRequest struct {
	since pafleet.Position
	reply chan<- deltaReply
}

// deltaReply holds the changes for a neighbour; delta is nil if nothing changed.
type deltaReply struct {
	delta *pafleet.Delta
	// noHistory says that some removals since the revision are not known here, so that there is no complete
	// delta.
	noHistory bool
}

func (storeUpdate) isEvent()     {}
func (storeFailure) isEvent()    {}
func (peerUpdate) isEvent()      {}
func (deltaRequest) isEvent()    {}
func (limiterClaimed) isEvent()  {}
func (operatorUpdate) isEvent()  {}
func (operatorRequest) isEvent() {}

// tickInterval is how often the loop checks what depends on time alone.
const tickInterval = 250 * time.Millisecond

// post sends an event to the control loop.
func (g *Gate) post(ctx context.Context, e event) {
	select {
	case g.events <- e:
	case <-ctx.Done():
	}
}

// controlLoop is the only goroutine that changes the view.
func (g *Gate) controlLoop(ctx context.Context) {
	var v pafleet.View
	verifiedAt := longBeforeStart
	tick := g.config.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		changed := false
		var now time.Time
		var e event
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			now = g.config.Clock.Now()
			g.logged.source = ""
			changed = v.ExpireLapsed(now)
			g.conns.closeExpired(now)
			g.relayConns.closeExpired(now)
			g.logDroppedLines()
			g.endPushbacks()
			g.quarantineChanged(g.quarantine.Tick(now))
			g.logStaleness(g.state.Load())
			g.clientListener.CloseIdle(now, g.clientLimits().IdleTimeout)
		case e = <-g.events:
			now = g.config.Clock.Now()
			changed = g.handleEvent(&v, e, &verifiedAt, now)
		}
		g.publish(&v, verifiedAt, changed, now)
		if r, ok := e.(storeUpdate); ok && r.whole {
			g.restoreWarmNotes(r.changes, now)
		}
	}
}

// handleEvent applies an event and reports whether the view changed.
func (g *Gate) handleEvent(v *pafleet.View, e event, verifiedAt *time.Duration, now time.Time) bool {
	g.logged.source = ""
	switch e := e.(type) {
	case storeUpdate:
		g.logged.source, g.logged.hops = sourceStore, 0
		changed := false
		if e.whole {
			changed = v.ApplyListing(e.changes, e.revision, now)
		} else {
			changed = v.ApplyRange(e.changes, e.since, e.revision, now)
		}
		if e.revision == v.Revision {
			*verifiedAt = max(*verifiedAt, e.verifiedAt)
		}
		return changed
	case storeFailure:
		v.NoteOutage(e.at)
	case peerUpdate:
		if !e.requested && e.revision != v.Revision {
			return false
		}
		g.logged.source, g.logged.hops = e.from.Name, 1
		if e.delta != nil && e.delta.Operator != nil {
			g.logged.hops = e.delta.Operator.Hops + 1
		}
		changed, before := false, v.Revision
		if e.delta != nil {
			changed = v.Merge(e.delta, now)
		} else {
			v.ApplyRange(nil, e.since, e.revision, now)
		}
		if e.revision == v.Revision {
			*verifiedAt = max(*verifiedAt, e.verifiedAt)
		}
		if v.Revision > before {
			g.logApplied(e, v.Revision, now)
		}
		return changed
	case operatorUpdate:
		g.logged.source, g.logged.hops = e.source, 0
		if e.state != nil {
			if e.source != sourceStore {
				g.logged.hops = e.state.Hops + 1
			}
			return v.ApplyOperator(*e.state, now)
		}
		return v.ApplyOperatorRange(e.changes, e.since, e.revision, now)
	case operatorRequest:
		o := v.Operator(e.since)
		o.Hops = g.logged.operatorHops
		e.reply <- o
	case limiterClaimed:
		return v.Apply(pafleet.LimiterUpdated{Name: g.self.Name, Revision: e.at}, now)
	case deltaRequest:
		if !v.CoversSince(e.since.Revision) {
			e.reply <- deltaReply{noHistory: true}
			break
		}
		d := v.Delta(e.since, now)
		if d != nil {
			d.Operator.Hops = g.logged.operatorHops
		}
		e.reply <- deltaReply{delta: d}
	}
	return false
}

// publish stores a new snapshot of the view for the requests.
func (g *Gate) publish(v *pafleet.View, verifiedAt time.Duration, changed bool, now time.Time) {
	old := g.state.Load()
	if !changed && old.revision == v.Revision && old.operatorRevision == v.OperatorRevision() && old.verifiedAt == verifiedAt {
		return
	}
	next := &state{
		table: old.table, revision: v.Revision, verifiedAt: verifiedAt, entries: old.entries, fleetPeak: old.fleetPeak,
		registered: old.registered, limiter: v.Limiter, limiterAt: v.LimiterRevision, evacuated: old.evacuated,
		operatorRevision: v.OperatorRevision(), operatorChange: v.OperatorChange(), operatorChangedAt: old.operatorChangedAt,
	}
	if next.operatorChange > old.operatorChange {
		next.operatorChangedAt = g.uptime()
	}
	if changed {
		g.logChanges(v, old, now)
		next.entries = make([]pafleet.Entry, 0, len(v.Entries))
		for _, e := range v.Entries {
			next.entries = append(next.entries, e)
		}
		_, next.registered = v.Entries[g.self.Name]
		next.evacuated = slices.Sorted(maps.Keys(v.Evacuated))
		next.fleetPeak = g.fleetPeak.observe(len(v.Entries), g.uptime())
		if v.Config != nil && (old.table == nil || old.table.Config != v.Config) {
			next.table = paroute.NewTable(v.Config)
			g.logKeyChanges(old.table, next.table)
		}
		g.balancerMutex.Lock()
		g.balancer.Update(v, now)
		g.balancerMutex.Unlock()
		g.conns.closeRemoved(v)
	}
	g.state.Store(next)
	if old.table == nil && next.table != nil {
		g.quotas.start(next)
		close(g.firstConfig)
	}
	if next.operatorChange > old.operatorChange {
		g.logOperatorChange(next)
		g.peers.wakeUp()
	}
	if e, ok := v.Entries[g.self.Name]; changed && (!ok || e.Front != g.self.Front) {
		g.requestRegistration()
	}
}
