package pagate

import (
	"time"

	"papayahead/pafleet"
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

// handleEvent applies an event and reports whether the view changed.
func (g *Gate) handleEvent(v *pafleet.View, e event, verifiedAt *time.Duration, now time.Time) bool {
	g.logged.source = ""
	switch e := e.(type) {
	case storeUpdate:
		return g.handleStoreUpdate(v, e, verifiedAt, now)
	case storeFailure:
		v.NoteOutage(e.at)
	case peerUpdate:
		return g.handlePeerUpdate(v, e, verifiedAt, now)
	case operatorUpdate:
		return g.handleOperatorUpdate(v, e, now)
	case operatorRequest:
		o := v.Operator(e.since)
		o.Hops = g.logged.operatorHops
		e.reply <- o
	case limiterClaimed:
		return v.Apply(pafleet.LimiterUpdated{Name: g.self.Name, Revision: e.at}, now)
	case deltaRequest:
		e.reply <- g.deltaFor(v, e.since, now)
	}
	return false
}

func (g *Gate) handleStoreUpdate(v *pafleet.View, e storeUpdate, verifiedAt *time.Duration, now time.Time) (changed bool) {
	g.logged.source, g.logged.hops = sourceStore, 0
	if e.whole {
		changed = v.ApplyListing(e.changes, e.revision, now)
	} else {
		changed = v.ApplyRange(e.changes, e.since, e.revision, now)
	}
	if e.revision == v.Revision {
		*verifiedAt = max(*verifiedAt, e.verifiedAt)
	}
	return changed
}

func (g *Gate) handlePeerUpdate(v *pafleet.View, e peerUpdate, verifiedAt *time.Duration, now time.Time) (changed bool) {
	if !e.requested && e.revision != v.Revision {
		return false
	}
	g.logged.source, g.logged.hops = e.from.Name, 1
	if e.delta != nil && e.delta.Operator != nil {
		g.logged.hops = e.delta.Operator.Hops + 1
	}
	before := v.Revision
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
}

func (g *Gate) handleOperatorUpdate(v *pafleet.View, e operatorUpdate, now time.Time) bool {
	g.logged.source, g.logged.hops = e.source, 0
	if e.state == nil {
		return v.ApplyOperatorRange(e.changes, e.since, e.revision, now)
	}
	if e.source != sourceStore {
		g.logged.hops = e.state.Hops + 1
	}
	return v.ApplyOperator(*e.state, now)
}

// deltaFor returns the changes for a neighbour.
func (g *Gate) deltaFor(v *pafleet.View, since pafleet.Position, now time.Time) deltaReply {
	if !v.CoversSince(since.Revision) {
		return deltaReply{noHistory: true}
	}
	d := v.Delta(since, now)
	if d != nil {
		d.Operator.Hops = g.logged.operatorHops
	}
	return deltaReply{delta: d}
}
