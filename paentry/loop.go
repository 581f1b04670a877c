package paentry

import (
	"context"
	"time"

	"papayahead/pacontrol"
	"papayahead/paledger"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paproxy"
)

// stepBuffer is how many steps may wait. Load: a burst on all connections at once. Harm of less:
// traffic goroutines block where they only report; of more: a stuck control goroutine shows late.
const stepBuffer = 4096

// step is one event for the control goroutine, and what it needs beside it.
type step struct {
	event pacontrol.Event
	// flight is the request that is offered.
	flight *flight
	// then runs on the control goroutine after the event; it must not block.
	then func(effects []pacontrol.Effect)
}

// post hands an event to the control goroutine. Once that has ended, events are dropped.
func (d *Daemon) post(e pacontrol.Event) { d.send(step{event: e}) }

func (d *Daemon) send(s step) {
	select {
	case d.steps <- s:
	case <-d.done:
	}
}

// stepAndWait returns after the event has been taken and its effects carried out.
func (d *Daemon) stepAndWait(e pacontrol.Event) {
	taken := make(chan struct{})
	d.send(step{event: e, then: func([]pacontrol.Effect) { close(taken) }})
	select {
	case <-taken:
	case <-d.done:
	}
}

// query runs f on the control goroutine and waits for it.
func (d *Daemon) query(f func(k *pacontrol.Control)) {
	answered := make(chan struct{})
	d.send(step{then: func([]pacontrol.Effect) {
		f(d.control)
		close(answered)
	}})
	select {
	case <-answered:
	case <-d.done:
	}
}

// runControl owns the control state.
func (d *Daemon) runControl(ctx context.Context) {
	defer close(d.done)
	pause := pamember.TickInterval
	tick := d.config.Clock.NewTimer(pause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			d.take(ctx, step{event: pacontrol.Tick{}})
			pause = d.tickPause()
			tick.Reset(pause)
		case s := <-d.steps:
			d.take(ctx, s)
			if next := d.tickPause(); next < pause {
				pause = next
				tick.Reset(pause)
			}
		}
	}
}

// tickPause is the time to the next tick. Without requests nothing is due before the timers of
// membership and shares, five times a second; an idle daemon's wake-ups cost more than their work.
func (d *Daemon) tickPause() time.Duration {
	if d.control.InFlight() > 0 {
		return pacontrol.TickInterval
	}
	return pamember.TickInterval
}

func (d *Daemon) take(ctx context.Context, s step) {
	if s.flight != nil {
		d.waiting[s.flight.id] = s.flight
	}
	var effects []pacontrol.Effect
	if s.event != nil {
		out := d.control.Step(d.config.Clock.Now(), s.event)
		if out.Snapshot != nil {
			d.snapshot.Store(out.Snapshot)
			d.links.follow(out.Snapshot)
			d.followHeads(out.Snapshot)
		}
		effects = out.Effects
	}
	if s.then != nil {
		s.then(effects)
	}
	d.carryOut(ctx, effects)
}

// followHeads lets this daemon watch the store if it is one of those that do so for their zone.
func (d *Daemon) followHeads(s *pacontrol.Snapshot) {
	d.heads.Follow(s.Watches)
	if s.Bundle != nil {
		d.heads.Known()
	}
}

// carryOut starts what the control state decided; nothing here waits.
func (d *Daemon) carryOut(ctx context.Context, effects []pacontrol.Effect) {
	for _, e := range effects {
		switch v := e.(type) {
		case pacontrol.Start:
			d.placed(v.Request, d.local(v))
		case pacontrol.Forward:
			d.placed(v.Request, d.forward(v))
		case pacontrol.Refuse:
			d.placed(v.Request, paproxy.Refuse{Reason: paproxy.Reason(v.Reason), ComeBack: v.RetryAfter})
			delete(d.waiting, v.Request)
		case pacontrol.Fail:
			d.placed(v.Request, paproxy.Refuse{Reason: paproxy.Reason(v.Outcome.String())})
			delete(d.waiting, v.Request)
		case pacontrol.Conclude:
			d.placed(v.Request, concluded(v))
			delete(d.waiting, v.Request)
		case pacontrol.AskCredit:
			d.peers.askCredit(ctx, v)
		case pacontrol.Announce:
			d.peers.announce(ctx, v)
		case pacontrol.AskShareStates:
			d.peers.askStanding(ctx, v)
		case pacontrol.ClaimKey:
			d.peers.claim(ctx, v)
		case pacontrol.SettleKey:
			d.peers.settle(ctx, v)
		case pacontrol.HandOverKeys:
			d.peers.handKeys(ctx, v)
		case pacontrol.Send:
			d.peers.sendMember(ctx, v.Envelope)
		case pacontrol.OfferHead:
			d.peers.offerHead(ctx, v)
		case pacontrol.FetchPiece:
			d.fetchPiece(ctx, v)
		case pacontrol.Probe:
			d.probe(ctx, v)
		case pacontrol.CloseConnections:
			d.targets.Forget(v.Address)
		case pacontrol.RecordEvent:
			d.record(v.Event)
		}
	}
}

// placed hands a placement to the request that waits for it. A request that has gone meanwhile is
// ended at once, so that its slot is free again: nothing was sent.
func (d *Daemon) placed(id paowner.RequestID, p paproxy.Placement) {
	f := d.waiting[id]
	if f == nil {
		return
	}
	f.placements <- p
}

// concluded is the final answer to a request of which an earlier copy is known.
func concluded(v pacontrol.Conclude) paproxy.Placement {
	c := paproxy.Conclude{Outcome: paproxy.Unknown, Reason: paproxy.Reason(v.Reason), Status: v.Status, ComeBack: v.RetryAfter}
	switch v.Outcome {
	case paledger.EndedAnswered:
		c.Outcome = paproxy.Answered
	case paledger.EndedNotRun:
		c.Outcome = paproxy.NotRun
	}
	return c
}
