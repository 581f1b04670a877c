package pagate

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"papayahead/pafleet"
	"papayahead/paroute"
)

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
			g.conns.CloseExpired(now)
			g.relayConns.CloseExpired(now)
			g.senderConns.CloseExpired(now)
			g.logDroppedLines()
			g.logFullClients(now)
			g.updateShares(&v, now)
			g.logRetries(now)
			g.endPushbacks()
			g.quarantineChanged(g.quarantine.Tick(now))
			g.logStaleness(g.state.Load())
			g.closeIdle(now)
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
		next.fleetPeak = g.fleetPeak.Observe(len(v.Entries), g.uptime())
		if v.Config != nil && (old.table == nil || old.table.Config != v.Config) {
			next.table = paroute.NewTable(v.Config)
			g.logKeyChanges(old.table, next.table)
		}
		g.balancerMutex.Lock()
		if next.table != nil && next.table != old.table {
			g.updateWaiting(next.table)
		}
		g.balancer.Update(v, now)
		g.wakeReleased()
		g.balancerMutex.Unlock()
		g.conns.CloseRemoved(func(target string, born int64, address netip.AddrPort) bool {
			t := v.Targets[target]
			return t != nil && t.Born == born && t.Address == address
		})
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
