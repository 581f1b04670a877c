package pagate

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/pawire"
)

// syncWith exchanges state with one entry VM.
func (p *peers) syncWith(ctx context.Context, e pafleet.Entry) {
	s := p.gate.state.Load()
	r := p.syncSince(ctx, e, s.revision, p.wantsChanges(e))
	p.fetchOperator(ctx, e, pafleet.Revision(r.GetOperatorChange()))
	if r.GetNoHistory() {
		p.syncElsewhere(ctx, e, s)
	}
}

// syncElsewhere asks the other store readers for changes of which an entry VM has no history. It asks that entry VM
// for its whole state only if the own state is older than reading the store itself would have left it.
//
// When a store reader restarts, half a hundred entry VMs that follow it have a state from before its first read. If
// it sent each of them its whole state, it would fill a link of 10 Mbit/s that also carries clients' requests.
func (p *peers) syncElsewhere(ctx context.Context, e pafleet.Entry, s *state) {
	g := p.gate
	if g.age(s) > max(maxAge, g.config.Settings.MaxPropagation) {
		if p.fullSyncRunning.CompareAndSwap(false, true) {
			p.syncSince(ctx, e, 0, true)
			p.fullSyncRunning.Store(false)
		}
		return
	}
	for _, r := range g.storeReaders(s) {
		if r.Name == g.self.Name || r.Name == e.Name {
			continue
		}
		if a := p.syncSince(ctx, r, s.revision, true); a != nil && !a.GetNoHistory() {
			return
		}
	}
}

// syncSince calls an entry VM, and asks for the changes after a revision if wantChanges is true; revision 0 asks for the
// whole state. It returns the reply, or nil.
func (p *peers) syncSince(ctx context.Context, e pafleet.Entry, since pafleet.Revision, wantChanges bool) *pawire.SyncReply {
	c := p.conn(e.Peers)
	if !c.busy.tryLock() {
		return nil
	}
	defer c.busy.unlock()
	ctx, cancel := p.gate.withTimeout(ctx, syncTimeout)
	defer cancel()
	sentAt := p.gate.uptime()
	r, err := p.roundTrip(ctx, c, e, since, wantChanges)
	if err != nil {
		if c.conn != nil {
			c.disconnect(p.gate)
		}
		p.recordFailure(e)
		return nil
	}
	p.applyReply(ctx, c, r, peerUpdate{verifiedAt: sentAt, since: since, requested: wantChanges})
	return r
}

// noChangesRevision is the revision in a request that asks for no changes.
const noChangesRevision = math.MaxUint64

// wantsChanges reports whether to ask an entry VM for changes, rather than only whether it is alive: the sync source
// is, and every callee while the state is too old.
//
// An entry VM has a dozen neighbours. If all of them sent it a new configuration with hundreds of routes at once,
// over a link of 10 Mbit/s that also carries a burst of clients' requests, notices of targets that drain would come
// seconds late.
func (p *peers) wantsChanges(e pafleet.Entry) bool {
	s := p.gate.state.Load()
	return e.Name == "" || e.Name == p.gate.syncSource(s).Name || p.gate.age(s) > maxAge
}

func (p *peers) roundTrip(ctx context.Context, c *peerConn, e pafleet.Entry, since pafleet.Revision, wantChanges bool) (*pawire.SyncReply, error) {
	if err := p.connect(ctx, c, e); err != nil {
		return nil, trace.Wrap(err)
	}
	s := p.gate.state.Load()
	q := &pawire.SyncRequest{
		Name: p.gate.self.Name, Revision: uint64(since), Leaving: p.gate.shuttingDown.Load(),
		WarmAfter: c.lastNote, WarmWanted: p.gate.wantsNotes(e), Lost: p.gate.lostPathsOut(), EndsAfter: c.ends.received,
		LimitsAfter: c.limits.received, PushbacksAfter: c.pushbacks.received,
		OperatorChange: uint64(s.operatorChange), OperatorRevision: uint64(s.operatorRevision),
	}
	var sentEnd, sentLimit, sentPushback uint64
	q.Ends, sentEnd = p.endsAfter(c.ends.sent)
	q.Limits, sentLimit = p.limitsAfter(c.limits.sent)
	q.Pushbacks, sentPushback = p.pushbacksAfter(c.pushbacks.sent)
	if !wantChanges {
		q.Revision = noChangesRevision
	}
	p.wantLoads(q, c, e)
	if c.entry.Name == "" {
		q.Entry = p.ownEntryJSON()
	}
	r, err := pawire.NewDRPCSyncingClient(c.conn).Sync(ctx, q)
	if err == nil {
		c.ends.sent, c.limits.sent, c.pushbacks.sent = sentEnd, sentLimit, sentPushback
	}
	return r, trace.Wrap(err)
}

func (p *peers) ownEntryJSON() []byte {
	b, err := json.Marshal(p.gate.self)
	if err != nil {
		panic("pagate: encode own registration as JSON: " + err.Error())
	}
	return b
}

// applyReply hands an entry VM's reply to the control loop and to the balancer. update holds what was requested, and in
// verifiedAt when.
func (p *peers) applyReply(ctx context.Context, c *peerConn, r *pawire.SyncReply, update peerUpdate) {
	if len(r.GetEntry()) > 0 {
		if err := json.Unmarshal(r.GetEntry(), &c.entry); err != nil {
			p.gate.record(paevent.NeighbourUnreadable{Reason: err.Error()})
			return
		}
	}
	p.recordContact(c.entry, r.GetLeaving(), lostPathsIn(r.GetLost()))
	p.recordListing(c.entry.Name, r.GetListing())
	if r.GetWarmLast() > 0 {
		p.gate.traffic.notes.Add(notesSize(r.GetWarm()))
		p.receiveNotes(r.GetWarm())
		c.lastNote = r.GetWarmLast()
	}
	p.receiveEnds(r.GetEnds())
	p.receiveLimits(r.GetLimits())
	p.receivePushbacks(r.GetPushbacks())
	c.ends.received, c.limits.received, c.pushbacks.received = r.GetEndsLast(), r.GetLimitsLast(), r.GetPushbacksLast()
	p.receiveLoads(c, r)
	if r.GetNoHistory() {
		return
	}
	// A negative age would make the state look newer than it is.
	age := max(0, time.Duration(r.GetAgeMicroseconds())*time.Microsecond)
	update.from, update.revision = c.entry, pafleet.Revision(r.GetRevision())
	update.verifiedAt -= age
	if len(r.GetDelta()) > 0 {
		p.gate.traffic.changes.Add(uint64(len(r.GetDelta())))
		update.delta = &pafleet.Delta{}
		if err := pawire.DecodeGzip(r.GetDelta(), update.delta); err != nil {
			p.gate.record(paevent.NeighbourUnreadable{Reason: err.Error()})
			return
		}
	}
	p.gate.post(ctx, update)
}

// Sync handles a neighbour's call.
func (p *peers) Sync(ctx context.Context, q *pawire.SyncRequest) (*pawire.SyncReply, error) {
	s := p.gate.state.Load()
	r := &pawire.SyncReply{
		Revision: uint64(s.revision), Leaving: p.gate.shuttingDown.Load(),
		AgeMicroseconds: p.gate.age(s).Microseconds(), Lost: p.gate.lostPathsOut(),
		OperatorChange: uint64(s.operatorChange), Listing: p.gate.listing.Load(),
	}
	if len(q.GetEntry()) > 0 {
		var e pafleet.Entry
		if err := json.Unmarshal(q.GetEntry(), &e); err != nil {
			return nil, trace.Wrap(err)
		}
		p.recordContact(e, q.GetLeaving(), lostPathsIn(q.GetLost()))
		r.Entry = p.ownEntryJSON()
	} else {
		p.refreshContact(q.GetName(), q.GetLeaving(), lostPathsIn(q.GetLost()))
	}
	p.fetchFromCaller(q)
	p.receiveEnds(q.GetEnds())
	r.Ends, r.EndsLast = p.endsAfter(q.GetEndsAfter())
	p.receiveLimits(q.GetLimits())
	r.Limits, r.LimitsLast = p.limitsAfter(q.GetLimitsAfter())
	p.receivePushbacks(q.GetPushbacks())
	r.Pushbacks, r.PushbacksLast = p.pushbacksAfter(q.GetPushbacksAfter())
	if q.GetWarmWanted() {
		r.Warm, r.WarmLast = p.notesAfter(q.GetWarmAfter())
	}
	if q.GetLoadsWanted() {
		r.Loads, r.LoadsLast = p.loadsAfter(q.GetLoadsAfter(), q.GetLoadsRelayed())
	}
	if uint64(s.revision) <= q.GetRevision() {
		return r, nil
	}
	t, err := p.changesSince(ctx, pafleet.Position{
		Revision: pafleet.Revision(q.GetRevision()), Operator: pafleet.Revision(q.GetOperatorRevision()),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	kind := deltaKind(t.delta)
	switch {
	case t.noHistory:
		kind = deltaNoHistory
		r.NoHistory, r.Revision = true, 0
	case t.delta != nil:
		r.Revision = uint64(t.delta.Revision)
		r.Delta, err = pawire.EncodeGzip(t.delta)
	}
	p.gate.meter.deltasSent(kind).Inc()
	return r, trace.Wrap(err)
}

// changesSince gets the changes after a neighbour's position from the control loop.
func (p *peers) changesSince(ctx context.Context, since pafleet.Position) (deltaReply, error) {
	replies := make(chan deltaReply, 1)
	p.gate.post(ctx, deltaRequest{since: since, reply: replies})
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return deltaReply{}, ctx.Err()
	}
}
