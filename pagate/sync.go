package pagate

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/pawire"
)

// call exchanges with one neighbour.
func (p *peers) call(ctx context.Context, e pafleet.Entry) {
	s := p.gate.state.Load()
	if r := p.ask(ctx, e, s.revision, p.source(e)); r.GetNoHistory() {
		p.askElsewhere(ctx, e, s)
	}
}

// askElsewhere asks the others that read the store for what a neighbour has no history of. It asks that neighbour for
// everything only where what is known is older than an own reading of the store would have left it.
//
// Load: an entry VM that reads the store starts again, and half a hundred others that follow it stand before its first
// reading. Harm prevented: it sends each of them everything, over a link of 10 Mbit/s that carries callers' requests too.
func (p *peers) askElsewhere(ctx context.Context, e pafleet.Entry, s *state) {
	g := p.gate
	if g.age(s) > max(maxAge, g.config.Settings.MaxPropagation) {
		if p.wholeAsked.CompareAndSwap(false, true) {
			p.ask(ctx, e, 0, true)
			p.wholeAsked.Store(false)
		}
		return
	}
	for _, r := range g.readers(s) {
		if r.Name == g.self.Name || r.Name == e.Name {
			continue
		}
		if a := p.ask(ctx, r, s.revision, true); a != nil && !a.GetNoHistory() {
			return
		}
	}
}

// ask asks a neighbour for what changed since a revision, 0 for everything, or only whether it lives, and returns its
// answer, or nil.
func (p *peers) ask(ctx context.Context, e pafleet.Entry, since pafleet.Revision, asked bool) *pawire.SyncReply {
	c := p.conn(e.Peers)
	if !c.busy.TryLock() {
		return nil
	}
	defer c.busy.Unlock()
	ctx, cancel := p.gate.withTimeout(ctx, syncTimeout)
	defer cancel()
	sent := p.gate.uptime()
	r, err := p.exchange(ctx, c, e, since, asked)
	if err != nil {
		if c.conn != nil {
			c.drop(p.gate)
		}
		p.failed(e)
		return nil
	}
	p.take(ctx, c, r, peerSaid{knownAt: sent, since: since, asked: asked})
	return r
}

// nothingNew is the revision of a caller that wants to hear of no change.
const nothingNew = math.MaxUint64

// source says whether the neighbour is asked for what is new, rather than only whether it lives: the
// nearest reader is, and everyone while what is known is too old.
//
// Load: a configuration of hundreds of routes changes under a burst, and each entry VM has a dozen
// neighbours. Harm prevented: all of them send it the whole configuration at once, over a link of 10 Mbit/s
// that carries callers' requests too, and word of targets that leave comes seconds late.
func (p *peers) source(e pafleet.Entry) bool {
	s := p.gate.state.Load()
	return e.Name == "" || e.Name == p.gate.nearestReader(s).Name || p.gate.age(s) > maxAge
}

func (p *peers) exchange(ctx context.Context, c *peerConn, e pafleet.Entry, since pafleet.Revision, asked bool) (*pawire.SyncReply, error) {
	if c.conn == nil {
		raw, err := p.gate.dialCounted(ctx, e.Peers, &p.gate.traffic.neighbours)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		c.conn, c.entry, c.warm = drpcconn.New(raw), pafleet.Entry{}, 0
	}
	q := &pawire.SyncRequest{
		Name: p.gate.self.Name, Revision: uint64(since), Leaving: p.gate.leaving.Load(),
		WarmAfter: c.warm, WarmWanted: p.gate.asksForNotes(e),
	}
	if !asked {
		q.Revision = nothingNew
	}
	if c.entry.Name == "" {
		q.Entry = p.self()
	}
	r, err := pawire.NewDRPCSyncingClient(c.conn).Sync(ctx, q)
	return r, trace.Wrap(err)
}

func (p *peers) self() []byte {
	b, err := json.Marshal(p.gate.self)
	if err != nil {
		panic("pagate: an entry cannot be written as JSON: " + err.Error())
	}
	return b
}

// take hands a neighbour's reply to the control loop and to the steering; said holds what was asked, and as knownAt when.
func (p *peers) take(ctx context.Context, c *peerConn, r *pawire.SyncReply, said peerSaid) {
	if len(r.GetEntry()) > 0 {
		if err := json.Unmarshal(r.GetEntry(), &c.entry); err != nil {
			p.gate.record(paevent.NeighbourUnreadable{Reason: err.Error()})
			return
		}
	}
	p.heard(c.entry, r.GetLeaving())
	if r.GetWarmLast() > 0 {
		p.gate.traffic.notes.Add(sizeOf(r.GetWarm()))
		p.hearWarm(r.GetWarm())
		c.warm = r.GetWarmLast()
	}
	if r.GetNoHistory() {
		return
	}
	// A neighbour cannot know what will be.
	age := max(0, time.Duration(r.GetAgeMicroseconds())*time.Microsecond)
	said.from, said.revision = c.entry, pafleet.Revision(r.GetRevision())
	said.knownAt -= age
	if len(r.GetDelta()) > 0 {
		p.gate.traffic.changes.Add(uint64(len(r.GetDelta())))
		said.delta = &pafleet.Delta{}
		if err := unpack(r.GetDelta(), said.delta); err != nil {
			p.gate.record(paevent.NeighbourUnreadable{Reason: err.Error()})
			return
		}
	}
	p.gate.post(ctx, said)
}

// Sync answers a neighbour's call.
func (p *peers) Sync(ctx context.Context, q *pawire.SyncRequest) (*pawire.SyncReply, error) {
	s := p.gate.state.Load()
	r := &pawire.SyncReply{
		Revision: uint64(s.revision), Leaving: p.gate.leaving.Load(),
		AgeMicroseconds: p.gate.age(s).Microseconds(),
	}
	if len(q.GetEntry()) > 0 {
		var e pafleet.Entry
		if err := json.Unmarshal(q.GetEntry(), &e); err != nil {
			return nil, trace.Wrap(err)
		}
		p.heard(e, q.GetLeaving())
		r.Entry = p.self()
	} else {
		p.heardAgain(q.GetName(), q.GetLeaving())
	}
	if q.GetWarmWanted() {
		r.Warm, r.WarmLast = p.warmAfter(q.GetWarmAfter())
	}
	if uint64(s.revision) <= q.GetRevision() {
		return r, nil
	}
	t, err := p.changesSince(ctx, pafleet.Revision(q.GetRevision()))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	kind := wordOf(t.delta)
	switch {
	case t.noHistory:
		kind = wordNoHistory
		r.NoHistory, r.Revision = true, 0
	case t.delta != nil:
		r.Revision = uint64(t.delta.Revision)
		r.Delta, err = pack(t.delta)
	}
	p.gate.meter.wordTold(kind).Inc()
	return r, trace.Wrap(err)
}

// changesSince asks the control loop for what a neighbour at a revision is to be told.
func (p *peers) changesSince(ctx context.Context, since pafleet.Revision) (told, error) {
	to := make(chan told, 1)
	p.gate.post(ctx, deltaWanted{since: since, to: to})
	select {
	case t := <-to:
		return t, nil
	case <-ctx.Done():
		return told{}, ctx.Err()
	}
}
