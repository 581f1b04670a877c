package pagate

import (
	"context"
	"time"

	"papayahead/pafleet"
	"papayahead/paroute"
)

// event is something that the control loop hears of.
type event interface{ sealed() }

// storeRead is what a reading of the store gave.
type storeRead struct {
	changes []pafleet.Change
	// The changes are those after since and up to revision.
	since, revision pafleet.Revision
	whole           bool
	// at is the uptime at which nothing newer was in the store.
	at time.Duration
}

// storeFailed says that the store did not answer.
type storeFailed struct{ at time.Time }

// peerSaid is a neighbour's delta; nil where nothing is new.
type peerSaid struct {
	// from is the neighbour, and since the revision that it was asked from.
	from  pafleet.Entry
	since pafleet.Revision
	delta *pafleet.Delta
	// knownAt is the uptime at which the neighbour knew that nothing newer was in the store.
	knownAt  time.Duration
	revision pafleet.Revision
	// asked says that the neighbour was asked for what is new; without it, no delta means nothing.
	asked bool
}

// limiterClaimed says that this entry VM became the limiter.
type limiterClaimed struct{ at pafleet.Revision }

// deltaWanted asks for what changed after a revision.
type deltaWanted struct {
	since pafleet.Revision
	to    chan<- told
}

// told is what a neighbour is told of the changes after its revision: a delta, nil where nothing changed.
type told struct {
	delta *pafleet.Delta
	// noHistory says that not every removal since then is known here.
	noHistory bool
}

func (storeRead) sealed()      {}
func (storeFailed) sealed()    {}
func (peerSaid) sealed()       {}
func (deltaWanted) sealed()    {}
func (limiterClaimed) sealed() {}

// tickTime is how often the loop looks at what only time changes.
const tickTime = 250 * time.Millisecond

// post hands an event to the control loop.
func (g *Gate) post(ctx context.Context, e event) {
	select {
	case g.events <- e:
	case <-ctx.Done():
	}
}

// loop is the only goroutine that changes the view.
func (g *Gate) loop(ctx context.Context) {
	var v pafleet.View
	knownAt := longAgo
	tick := g.config.Clock.NewTicker(tickTime)
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
			g.noted.source = ""
			changed = v.ExpireLapsed(now)
			g.pool.reap(now)
			g.noteDropped()
			g.noteFreshness(g.state.Load())
			g.callers.CloseIdle(now, g.callerLimits().IdleTimeout)
		case e = <-g.events:
			now = g.config.Clock.Now()
			changed = g.handle(&v, e, &knownAt, now)
		}
		g.publish(&v, knownAt, changed, now)
		if r, ok := e.(storeRead); ok && r.whole {
			g.takeWarm(r.changes, now)
		}
	}
}

// handle takes one event and says whether the view changed.
func (g *Gate) handle(v *pafleet.View, e event, knownAt *time.Duration, now time.Time) bool {
	g.noted.source = ""
	switch e := e.(type) {
	case storeRead:
		g.noted.source = sourceStore
		changed := false
		if e.whole {
			changed = v.ApplyListing(e.changes, e.revision, now)
		} else {
			changed = v.ApplyRange(e.changes, e.since, e.revision, now)
		}
		if e.revision == v.Revision {
			*knownAt = max(*knownAt, e.at)
		}
		return changed
	case storeFailed:
		v.NoteOutage(e.at)
	case peerSaid:
		if !e.asked && e.revision != v.Revision {
			return false
		}
		g.noted.source = e.from.Name
		changed, before := false, v.Revision
		if e.delta != nil {
			changed = v.Merge(e.delta, now)
		} else {
			v.ApplyRange(nil, e.since, e.revision, now)
		}
		if e.revision == v.Revision {
			*knownAt = max(*knownAt, e.knownAt)
		}
		if v.Revision > before {
			g.noteFollowed(e, v.Revision, now)
		}
		return changed
	case limiterClaimed:
		return v.Apply(pafleet.LimiterUpdated{Name: g.self.Name, Revision: e.at}, now)
	case deltaWanted:
		if !v.CoversSince(e.since) {
			e.to <- told{noHistory: true}
			break
		}
		e.to <- told{delta: v.Delta(e.since, now)}
	}
	return false
}

// publish makes the view's state visible to requests.
func (g *Gate) publish(v *pafleet.View, knownAt time.Duration, changed bool, now time.Time) {
	old := g.state.Load()
	if !changed && old.revision == v.Revision && old.knownAt == knownAt {
		return
	}
	next := &state{
		table: old.table, revision: v.Revision, knownAt: knownAt, entries: old.entries, fleet: old.fleet,
		registered: old.registered, limiter: v.Limiter, limiterAt: v.LimiterRevision,
	}
	if changed {
		g.noteChanges(v, old, now)
		next.entries = make([]pafleet.Entry, 0, len(v.Entries))
		for _, e := range v.Entries {
			next.entries = append(next.entries, e)
		}
		_, next.registered = v.Entries[g.self.Name]
		next.fleet = g.fleet.most(len(v.Entries), g.uptime())
		if v.Config != nil && (old.table == nil || old.table.Config != v.Config) {
			next.table = paroute.NewTable(v.Config)
			g.noteKeys(old.table, next.table)
		}
		g.steering.Lock()
		g.steer.Update(v, now)
		g.steering.Unlock()
		g.pool.keepOnly(v)
	}
	g.state.Store(next)
	if old.table == nil && next.table != nil {
		g.limits.begin(next)
		close(g.firstConfig)
	}
	if e, ok := v.Entries[g.self.Name]; changed && (!ok || e.Front != g.self.Front) {
		g.announceAgain()
	}
}

// announceAgain asks for the registration to be written anew.
func (g *Gate) announceAgain() {
	select {
	case g.announced <- struct{}{}:
	default:
	}
}
