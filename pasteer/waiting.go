package pasteer

import (
	"math"
	"slices"
	"time"

	"papayahead/pawaiting"
)

// Under an overload the queues of the targets fill up, in the order of arrival. What is there can be neither overtaken nor taken
// back, so that the most urgent requests are answered late behind long runs of others. So a request to a contended service is
// sent only while its target is believed to have a free slot for it; otherwise it waits in this entry VM. Each time that a slot may
// have become free, the one that goes next is chosen a target anew.

// Waiter is a request to be sent to a target now or once there is a free slot for it.
type Waiter struct {
	Request Request
	// Workspace is the workspace that sent it; empty if it is unknown.
	Workspace string
	// Bytes is the memory that its body takes.
	Bytes int64
	// Arrived is when it arrived.
	Arrived time.Time
	// Choice is its target or refusal once that is decided. A target was passed to Start unless it is a relay.
	Choice Choice

	item pawaiting.Item
}

// Waits reports whether the request waits.
func (w *Waiter) Waits() bool { return w.item.Waits() }

// Overtaken returns how many later requests were sent before it while it waited.
func (w *Waiter) Overtaken() int { return w.item.Overtaken }

const (
	// minRecheck is the least time after which a request that waits is chosen a target anew, and recheckPerWaiter what is added for
	// each that waits, so that a full room costs a few percent of a core.
	minRecheck       = 20 * time.Millisecond
	recheckPerWaiter = 300 * time.Microsecond
	// maxDispatched bounds the requests that are chosen a target when one becomes free.
	maxDispatched = 64
)

// Contended reports whether requests to the service may wait here.
func (b *Balancer) Contended(service string) bool {
	svc := b.services[service]
	return svc != nil && b.contended(svc)
}

// waitsHere reports whether requests for the target wait here rather than at the target.
func (b *Balancer) waitsHere(t *target) bool {
	return !b.Config.Off.WaitingRoom && b.Contended(t.state.Service)
}

// Admit decides on a request that arrives: it is sent or refused at once, or it waits.
func (b *Balancer) Admit(w *Waiter, now time.Time) (waits bool) {
	q := &w.Request
	contended := !b.Config.Off.WaitingRoom && b.Contended(q.Service)
	if contended {
		b.room.CountArrival(w.Workspace, now)
	}
	c := b.Choose(*q, now)
	t := b.targets[c.Target]
	switch {
	case t == nil || c.Relay:
		w.Choice = c
		return false
	case !contended:
		b.startWaiter(w, c, now)
		return false
	case b.room.Next(c.Target, now) == nil && b.canSend(t, *q, now):
		b.room.CountSent(w.Workspace, now)
		b.startWaiter(w, c, now)
		return false
	}
	return b.enqueue(w, c, now)
}

func (b *Balancer) startWaiter(w *Waiter, c Choice, now time.Time) {
	w.Choice = c
	b.Start(c, w.Request, now)
}

// enqueue lets a request wait for the target of a choice, unless the room is full.
func (b *Balancer) enqueue(w *Waiter, c Choice, now time.Time) (waits bool) {
	q := &w.Request
	w.item = pawaiting.Item{
		Target: c.Target, Priority: q.Priority, Workspace: w.Workspace, Bytes: w.Bytes, Arrived: w.Arrived,
		Due: w.Arrived.Add(q.Route.TargetLatency), Deadline: q.Deadline, Run: c.finish - c.wait,
	}
	evicted, ok := b.room.Add(&w.item, now)
	for _, i := range evicted {
		b.refuse(b.waiters[i], Choice{Reason: ReasonRoomFull, RetryAfter: retryAfterFull + c.wait/2})
	}
	if !ok {
		w.Choice = Choice{Reason: ReasonRoomFull, RetryAfter: retryAfterFull + c.wait/2, Load: c.Load}
		return false
	}
	q.waiting = &w.item
	b.waiters[&w.item] = w
	b.dispatch(c.Target, now)
	if !w.Waits() {
		b.released = slices.DeleteFunc(b.released, func(o *Waiter) bool { return o == w })
	}
	return w.Waits()
}

// refuse ends the wait of a request that is not sent from here: it is refused, or goes to a relay.
func (b *Balancer) refuse(w *Waiter, c Choice) {
	b.room.Remove(&w.item)
	b.release(w, c)
}

func (b *Balancer) release(w *Waiter, c Choice) {
	delete(b.waiters, &w.item)
	w.Choice, w.Request.waiting = c, nil
	b.released = append(b.released, w)
}

// Withdraw ends the wait of a request whose caller left, or that cannot be sent any more; it does nothing if the wait is over.
func (b *Balancer) Withdraw(w *Waiter, reason Reason, now time.Time) {
	if !w.Waits() {
		return
	}
	target := w.item.Target
	b.refuse(w, Choice{Reason: reason, RetryAfter: retryAfterFull})
	b.dispatch(target, now)
}

// Released returns the requests whose wait ended since the previous call.
func (b *Balancer) Released() []*Waiter {
	all := b.released
	b.released = nil
	return all
}

// dispatch sends requests that wait for a target as long as it has free slots for them.
func (b *Balancer) dispatch(target string, now time.Time) {
	for range maxDispatched {
		i := b.room.Next(target, now)
		if i == nil {
			return
		}
		w := b.waiters[i]
		if t := b.targets[target]; t != nil && !t.excluded && !b.canSend(t, w.Request, now) && now.Before(b.room.Expires(i)) {
			return
		}
		b.reconsider(w, now)
		if w.Waits() && i.Target == target {
			return
		}
	}
}

// reconsider chooses a target anew for a request that waits, sends or refuses it, or lets it wait on.
func (b *Balancer) reconsider(w *Waiter, now time.Time) {
	i := &w.item
	if !now.Before(b.room.Expires(i)) {
		b.refuse(w, Choice{Reason: ReasonTooLate, RetryAfter: retryAfterFull})
		return
	}
	c := b.Choose(w.Request, now)
	t := b.targets[c.Target]
	switch {
	case c.Reason == ReasonCold || c.Reason == ReasonCrowded:
		return
	case c.Reason == ReasonFull:
		// No target is expected to answer in time any more. Its caller may still return, which it cannot after a longer wait.
		b.refuse(w, Choice{Reason: ReasonTooLate, RetryAfter: c.RetryAfter, Load: c.Load})
		return
	case t == nil || c.Relay:
		b.refuse(w, c)
		return
	}
	b.room.Move(i, c.Target, c.finish-c.wait)
	if b.canSend(t, w.Request, now) && b.room.Next(c.Target, now) == i {
		b.room.Send(i, now)
		b.Start(c, w.Request, now)
		b.release(w, c)
	}
}

// Recheck chooses a target anew for a request that waits, and for the one that goes next there. Not all that frees a slot
// is an event here: reports on load expire, and other entry VMs' requests end unseen.
func (b *Balancer) Recheck(w *Waiter, now time.Time) {
	if !w.Waits() {
		return
	}
	b.reconsider(w, now)
	if w.Waits() {
		b.dispatch(w.item.Target, now)
	}
}

// RecheckAfter returns how long after now to call Recheck.
func (b *Balancer) RecheckAfter(w *Waiter, now time.Time) time.Duration {
	interval := max(minRecheck, b.expectedRun(w.Request, true)/2) + time.Duration(b.room.Len())*recheckPerWaiter
	return max(0, min(interval, b.room.Expires(&w.item).Sub(now)))
}

// reconsiderAll chooses targets anew for all that wait, the most urgent first, as targets are gone or have changed.
func (b *Balancer) reconsiderAll(now time.Time) {
	if b.room.Len() == 0 {
		return
	}
	all := slices.SortedFunc(b.room.All(), func(i, o *pawaiting.Item) int {
		return pawaiting.Compare(i, o, now)
	})
	for _, i := range all {
		if w := b.waiters[i]; w != nil {
			b.reconsider(w, now)
		}
	}
}

// LeaveTarget chooses targets anew for requests that wait for a target which takes no more.
func (b *Balancer) LeaveTarget(target string, now time.Time) { b.dispatch(target, now) }

// SetDeadline brings the deadline of a request that waits forward.
func (b *Balancer) SetDeadline(w *Waiter, deadline time.Time) {
	if deadline.Before(w.Request.Deadline) {
		w.Request.Deadline, w.item.Deadline = deadline, deadline
	}
}

// SetPriority changes the urgency of a request that waits.
func (b *Balancer) SetPriority(w *Waiter, priority int) {
	w.Request.Priority = priority
	if w.Waits() {
		b.room.SetPriority(&w.item, priority)
	}
}

// Waiting returns how many requests of a priority wait.
func (b *Balancer) Waiting(priority int) int { return b.room.Waiting(priority) }

// WaitingRequests returns how many requests wait.
func (b *Balancer) WaitingRequests() int { return b.room.Len() }

// WaitingBytes returns the memory that the bodies of the requests that wait take.
func (b *Balancer) WaitingBytes() int64 { return b.room.Bytes() }

// waitingAhead returns how many requests wait here for the target that go before this one.
func (b *Balancer) waitingAhead(t *target, q Request, now time.Time) float64 {
	switch {
	case b.room.Len() == 0:
		return 0
	case q.waiting != nil && q.waiting.Target == t.state.ID:
		return float64(b.room.Position(q.waiting, now))
	}
	return float64(b.room.Ahead(t.state.ID, q.Priority))
}

// canSend reports whether the target is believed to have a slot for the request by the time it arrives. The most urgent are sent with one
// request more there than others, so that they start as soon as a slot is free.
func (b *Balancer) canSend(t *target, q Request, now time.Time) bool {
	most := t.slots()
	if run := b.expectedRun(q, true); run > 0 {
		most += min(t.slots(), math.Ceil(t.slots()*float64(roundTripTime[t.distance])/float64(run)))
	}
	if q.Priority <= b.mostUrgent && b.mostUrgent < b.leastUrgent {
		most++
	}
	return t.remainingLoad(now) < most
}
