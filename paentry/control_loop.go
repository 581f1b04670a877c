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

// stepBuffer is the capacity of the channel to the control goroutine, enough for a burst on all
// connections at once. With a smaller one, request goroutines block when they only report an event;
// with a larger one, a stuck control goroutine is noticed late.
const stepBuffer = 4096

// step is one event for the control goroutine.
type step struct {
	// event may be nil, to only run then.
	event pacontrol.Event
	// request is set with a pacontrol.Offered event; it receives the placements.
	request *pendingRequest
	// then, if set, runs on the control goroutine after the event and before its effects start; it
	// must not block.
	then func(effects []pacontrol.Effect)
}

// post sends an event to the control goroutine. Once that has returned, events are dropped.
func (d *Daemon) post(e pacontrol.Event) { d.send(step{event: e}) }

func (d *Daemon) send(s step) {
	select {
	case d.steps <- s:
	case <-d.done:
	}
}

// stepAndWait sends an event and returns once the control state has applied it.
func (d *Daemon) stepAndWait(e pacontrol.Event) {
	applied := make(chan struct{})
	d.send(step{event: e, then: func([]pacontrol.Effect) { close(applied) }})
	select {
	case <-applied:
	case <-d.done:
	}
}

// query runs f on the control goroutine and waits for it; f does not run if that has returned.
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

// runControl is the control goroutine: it applies steps and ticks until ctx is cancelled.
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
			d.handle(ctx, step{event: pacontrol.Tick{}})
			pause = d.tickInterval()
			tick.Reset(pause)
		case s := <-d.steps:
			d.handle(ctx, s)
			if next := d.tickInterval(); next < pause {
				pause = next
				tick.Reset(pause)
			}
		}
	}
}

// tickInterval returns the time to the next tick. Without requests in the control state only the
// timers of membership and shares are due, five times a second; a shorter interval would make an idle
// daemon spend more on waking up than on the work.
func (d *Daemon) tickInterval() time.Duration {
	if d.control.InFlight() > 0 {
		return pacontrol.TickInterval
	}
	return pamember.TickInterval
}

// handle applies one step to the control state and starts its effects.
func (d *Daemon) handle(ctx context.Context, s step) {
	if s.request != nil {
		d.waiting[s.request.id] = s.request
	}
	var effects []pacontrol.Effect
	if s.event != nil {
		out := d.control.Step(d.config.Clock.Now(), s.event)
		if out.Snapshot != nil {
			d.snapshot.Store(out.Snapshot)
			d.links.update(out.Snapshot)
			d.updateHeadWatch(out.Snapshot)
		}
		effects = out.Effects
	}
	if s.then != nil {
		s.then(effects)
	}
	d.execute(ctx, effects)
}

// updateHeadWatch starts or stops watching the store's head: a few entry VMs do so for their zone.
func (d *Daemon) updateHeadWatch(s *pacontrol.Snapshot) {
	d.heads.SetFollowing(s.Watches)
	if s.Bundle != nil {
		d.heads.SetHeadKnown()
	}
}

// execute starts the effects that the control state decided on; it must not block.
func (d *Daemon) execute(ctx context.Context, effects []pacontrol.Effect) {
	for _, e := range effects {
		switch v := e.(type) {
		case pacontrol.Start:
			d.deliver(v.Request, d.localPlacement(v))
		case pacontrol.Forward:
			d.deliver(v.Request, d.forwardPlacement(v))
		case pacontrol.Refuse:
			d.deliver(v.Request, paproxy.Refuse{Reason: paproxy.Reason(v.Reason), RetryAfter: v.RetryAfter})
			delete(d.waiting, v.Request)
		case pacontrol.Fail:
			d.deliver(v.Request, paproxy.Refuse{Reason: paproxy.Reason(v.Outcome.String())})
			delete(d.waiting, v.Request)
		case pacontrol.Conclude:
			d.deliver(v.Request, concludePlacement(v))
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
			d.peers.handOverKeys(ctx, v)
		case pacontrol.Send:
			d.peers.sendMember(ctx, v.Envelope)
		case pacontrol.OfferHead:
			d.peers.offerHead(ctx, v)
		case pacontrol.FetchPiece:
			d.fetchPiece(ctx, v)
		case pacontrol.Probe:
			d.probe(ctx, v)
		case pacontrol.CloseConnections:
			d.targets.CloseIdle(v.Address)
		case pacontrol.RecordEvent:
			d.record(v.Event)
		}
	}
}

// deliver sends a placement to the request that waits for it. The placement of a request that has ended
// meanwhile is dropped: the Landed event of that request has released its slot.
func (d *Daemon) deliver(id paowner.RequestID, p paproxy.Placement) {
	f := d.waiting[id]
	if f == nil {
		return
	}
	f.placements <- p
}

// concludePlacement returns the final placement of a repeated request, with the outcome of its earlier copy.
func concludePlacement(v pacontrol.Conclude) paproxy.Placement {
	c := paproxy.Conclude{Outcome: paproxy.Unknown, Reason: paproxy.Reason(v.Reason), Status: v.Status, RetryAfter: v.RetryAfter}
	switch v.Outcome {
	case paledger.EndedAnswered:
		c.Outcome = paproxy.Answered
	case paledger.EndedNotRun:
		c.Outcome = paproxy.NotRun
	}
	return c
}
