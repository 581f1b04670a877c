package paowner

import (
	"slices"
	"time"

	"papayahead/paplacement"
	"papayahead/paqueue"
	"papayahead/paretry"
)

// Offer decides on a new request and appends the decisions.
func (o *Owner) Offer(now time.Time, r Request, into []Decision) []Decision {
	if _, ok := o.flights[r.ID]; ok {
		panic("paowner: a request was offered twice")
	}
	s := o.services[r.Service]
	if s == nil {
		return append(into, Refuse{Request: r.ID, Reason: NoService, RetryAfter: MaxRetryAfter})
	}
	switch {
	case o.stopping:
		return o.refuse(now, s, r.ID, Stopping, 0, into)
	case o.overRoom(r):
		// Load: one of few entry VMs is lost and the others get its callers. Harm prevented: an entry
		// VM past its own room slows every request down. The bound is this VM's, given by SetRoom.
		return o.refuse(now, s, r.ID, OverRoom, 0, into)
	}
	f := o.newFlight(now, r)
	f.cost, f.high = s.expect(r)
	if r.Attempt == 0 {
		s.budget.Deposit(s.load(now))
	}
	return o.place(now, s, f, into)
}

// place sends a request on, queues it or refuses it.
func (o *Owner) place(now time.Time, s *service, f *flight, into []Decision) []Decision {
	r := f.request
	if now.Add(f.high).After(r.Deadline) {
		return o.end(now, s, f, DeadlineTooNear, 0, into)
	}
	slots := s.slots(now)
	if slots > 0 && s.queue.Len() == 0 && s.room(now) > 0 {
		if c, ok := o.spread(now, s, f); ok {
			return o.forward(now, s, f, c, 0, into)
		}
		return o.enqueue(now, s, f, into)
	}
	wait := s.wait(now, f)
	c, ok := o.choose(now, s, f, slots, wait)
	if ok && c.Distance != paplacement.Own {
		return o.forward(now, s, f, c, wait, into)
	}
	if slots == 0 {
		return o.end(now, s, f, NoTarget, 0, into)
	}
	// Load: demand above capacity. Harm prevented: a request waits until its deadline and is then
	// refused, when its caller has no time left. So it is refused now, on the predicted wait.
	if r.MaxWait > 0 && wait > r.MaxWait {
		return o.end(now, s, f, WaitTooLong, wait, into)
	}
	if bound := s.queue.MaxWait(now, f.item()); wait > bound {
		return o.end(now, s, f, s.reason(), wait, into)
	}
	return o.enqueue(now, s, f, into)
}

// spread returns an owner of the region without any work for one in spreadEvery requests that could run
// here, each of them in turn.
//
// Load: callers behind one address, who all have the same first entry VM, and not much work. Harm
// prevented: the targets of the other owners get nothing for hours; nobody knows whether they answer,
// and the first burst finds them cold.
func (o *Owner) spread(now time.Time, s *service, f *flight) (paplacement.Candidate, bool) {
	if f.request.Origin != Caller || f.attempt > 0 || o.config.Candidates == nil {
		return paplacement.Candidate{}, false
	}
	s.offers++
	if s.offers%spreadEvery != 0 {
		return paplacement.Candidate{}, false
	}
	o.candidates = o.config.Candidates.Candidates(now, f.request.Service, o.candidates[:0])
	idle := slices.DeleteFunc(o.candidates, func(c paplacement.Candidate) bool {
		return c.Distance != paplacement.SameRegion || c.Slots <= 0 || c.Free < c.Slots || c.Full || c.Age > paplacement.MaxReportAge
	})
	if len(idle) == 0 {
		return paplacement.Candidate{}, false
	}
	s.spread++
	return idle[s.spread%uint64(len(idle))], true
}

// choose compares the own queue with the places elsewhere. A request that was forwarded here stays:
// otherwise owners could pass it round.
func (o *Owner) choose(now time.Time, s *service, f *flight, slots int, wait time.Duration) (paplacement.Candidate, bool) {
	if f.request.Origin != Caller || o.config.Candidates == nil || f.bounced == paplacement.OtherRegion {
		return paplacement.Candidate{}, false
	}
	o.candidates = o.candidates[:0]
	if bound := s.queue.MaxWait(now, f.item()); wait <= bound {
		own := paplacement.Candidate{Slots: slots, Wait: wait, Utilization: s.load(now)}
		o.candidates = append(o.candidates, own)
	}
	own := len(o.candidates)
	o.candidates = o.config.Candidates.Candidates(now, f.request.Service, o.candidates)
	// Equal ones take turns: the first in the list would get the overflow of every owner.
	o.config.Rand.Shuffle(len(o.candidates)-own, func(i, j int) {
		o.candidates[own+i], o.candidates[own+j] = o.candidates[own+j], o.candidates[own+i]
	})
	if f.bounced != paplacement.Own {
		// An owner of the region had no room after all: the others' reports are as old as its own.
		o.candidates = slices.DeleteFunc(o.candidates, func(c paplacement.Candidate) bool {
			return c.Distance == paplacement.SameRegion
		})
	}
	r := paplacement.Request{TimeLeft: f.request.Deadline.Sub(now), Run: f.high, Bytes: f.request.Bytes}
	n := paplacement.Choose(o.config.Policy, r, o.candidates)
	if n == paplacement.None {
		return paplacement.Candidate{}, false
	}
	return o.candidates[n], true
}

// forward sends a request to another owner. Load: some owners of a region busy, others not, and
// reports of them that are older than a slot's turn-over. Harm prevented: work goes to where the
// wait is longer than here. The wait here goes with the request; whoever cannot undercut it sends
// the request back at once, which costs one round trip within the region.
func (o *Owner) forward(now time.Time, s *service, f *flight, c paplacement.Candidate, wait time.Duration, into []Decision) []Decision {
	d := Forward{Request: f.request.ID, Entry: c.Entry, Region: c.Region, Attempt: f.attempt + 1}
	if c.Distance == paplacement.SameRegion && s.slots(now) > 0 && wait <= s.queue.MaxWait(now, f.item()) {
		d.MaxWait = max(wait, 1)
	}
	f.attempt++
	f.entry = c.Entry
	f.target = nil
	f.bounced = c.Distance
	return append(into, d)
}

func (o *Owner) enqueue(now time.Time, s *service, f *flight, into []Decision) []Decision {
	out, displaced, ok := s.queue.Push(f.item())
	if !ok {
		return o.end(now, s, f, QueueFull, s.wait(now, f), into)
	}
	f.target = nil
	f.entry = ""
	if displaced {
		into = o.drop(now, s, out, QueueFull, into)
	}
	return o.pump(now, s, into)
}

// pump starts what waits while targets have room, then shortens a queue that stands.
func (o *Owner) pump(now time.Time, s *service, into []Decision) []Decision {
	for s.queue.Len() > 0 {
		if i, ok := s.queue.Expire(now); ok {
			into = o.drop(now, s, i, DeadlineTooNear, into)
			continue
		}
		if !s.hasRoom(now) {
			break
		}
		i, _ := s.queue.Pop()
		into = o.start(now, s, o.flights[RequestID(i.ID)], into)
	}
	for _, t := range s.targets {
		if t.Phase() != t.told {
			t.told = t.Phase()
			into = append(into, PhaseChanged{Target: t.name, Phase: t.told})
		}
	}
	slots := s.slots(now)
	if slots == 0 {
		return o.placeAnew(now, s, into)
	}
	s.queue.StandingWait = s.standing()
	s.queue.Observe(now, slots)
	for {
		i, ok := s.queue.Shorten(slots)
		if !ok {
			return into
		}
		into = o.drop(now, s, i, QueueStands, into)
	}
}

// start sends a request to the best own target that has room.
func (o *Owner) start(now time.Time, s *service, f *flight, into []Decision) []Decision {
	o.options = o.options[:0]
	for _, t := range s.targets {
		o.options = append(o.options, t.option(now, f.tried))
	}
	t := s.targets[paplacement.PickTarget(o.options)]
	t.Begin()
	s.starts++
	t.starts = s.starts
	f.target = t
	f.entry = ""
	f.attempt++
	f.starts++
	return append(into, Start{Request: f.request.ID, Target: t.name, Attempt: f.attempt})
}

// placeAnew empties the queue of a service whose last target left: what waits has not run.
func (o *Owner) placeAnew(now time.Time, s *service, into []Decision) []Decision {
	for {
		i, ok := s.queue.Pop()
		if !ok {
			return into
		}
		f := o.flights[RequestID(i.ID)]
		into = o.place(now, s, f, into)
	}
}

// again decides what follows an attempt that brought no answer.
func (o *Owner) again(now time.Time, s *service, f *flight, res Result, into []Decision) []Decision {
	notRun := res.Outcome.DidNotRun()
	may := paretry.CanRetry(f.request.Idempotent, notRun) && f.attempt < MaxAttempts
	// Another owner's refusal cost no target anything, so that it needs no budget.
	free := notRun && f.target == nil
	if may && !now.Add(f.high).After(f.request.Deadline) && (free || s.budget.TryWithdraw()) {
		f.tried = f.target
		f.target = nil
		f.entry = ""
		return o.place(now, s, f, into)
	}
	if notRun {
		return o.end(now, s, f, Attempts, res.RetryAfter, into)
	}
	o.forget(f)
	return append(into, Fail{Request: f.request.ID, Outcome: res.Outcome})
}

// drop refuses an item that the queue gave up.
func (o *Owner) drop(now time.Time, s *service, i paqueue.Item, why Reason, into []Decision) []Decision {
	f := o.flights[RequestID(i.ID)]
	return o.end(now, s, f, why, s.queue.DrainTime(s.slots(now)), into)
}

// end refuses a request for good.
func (o *Owner) end(now time.Time, s *service, f *flight, why Reason, wait time.Duration, into []Decision) []Decision {
	o.forget(f)
	return o.refuse(now, s, f.request.ID, why, wait, into)
}

func (o *Owner) refuse(now time.Time, s *service, id RequestID, why Reason, wait time.Duration, into []Decision) []Decision {
	return append(into, Refuse{Request: id, Reason: why, RetryAfter: o.comeBack(now, s, wait)})
}

// comeBack books the refused caller behind the others that were refused, at the rate at which the
// slots turn over, and adds jitter. Load: more callers refused than the service has slots. Harm
// prevented: they all return when the first of them could be served.
func (o *Owner) comeBack(now time.Time, s *service, wait time.Duration) time.Duration {
	if s.booked.Before(now) {
		s.booked = now
	}
	mean, _ := s.expectAny()
	s.booked = s.booked.Add(mean / time.Duration(max(1, s.slots(now))))
	if most := now.Add(MaxRetryAfter); s.booked.After(most) {
		s.booked = most
	}
	d := max(MinRetryAfter, wait, s.booked.Sub(now))
	jitter := time.Duration(RetryAfterJitter * o.config.Rand.Float64() * float64(d))
	return min(d, MaxRetryAfter) + jitter
}

func (o *Owner) newFlight(now time.Time, r Request) *flight {
	var f *flight
	if n := len(o.unused); n > 0 {
		f = o.unused[n-1]
		o.unused = o.unused[:n-1]
	} else {
		f = &flight{}
	}
	*f = flight{request: r, arrived: now}
	o.bytes += r.Bytes
	o.flights[r.ID] = f
	return f
}

// forget ends a flight. What it holds stays readable until the next request is offered.
func (o *Owner) forget(f *flight) {
	delete(o.flights, f.request.ID)
	o.bytes -= f.request.Bytes
	o.unused = append(o.unused, f)
}

func (o *Owner) overRoom(r Request) bool {
	if o.room.Requests > 0 && len(o.flights) >= o.room.Requests {
		return true
	}
	return o.room.Bytes > 0 && o.bytes+r.Bytes > o.room.Bytes
}
