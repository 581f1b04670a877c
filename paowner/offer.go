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
	if _, ok := o.requests[r.ID]; ok {
		panic("paowner: a request was offered twice")
	}
	s := o.services[r.Service]
	if s == nil {
		return append(into, Refuse{Request: r.ID, Reason: NoService, RetryAfter: MaxRetryAfter})
	}
	switch {
	case o.stopping:
		return o.refuse(now, s, r.ID, Stopping, 0, into)
	case o.overLimits(r):
		// Load: one of few entry VMs is lost and the others get its callers. Harm prevented: an entry
		// VM past its own room slows every request down. The bound is this VM's, given by SetRoom.
		return o.refuse(now, s, r.ID, OverRoom, 0, into)
	}
	rs := o.addRequest(now, r)
	rs.cost, rs.maxCost = s.predictRun(r)
	if r.Attempt == 0 {
		s.budget.Deposit(s.load(now))
	}
	return o.place(now, s, rs, into)
}

// place sends a request on, queues it or refuses it.
func (o *Owner) place(now time.Time, s *service, rs *requestState, into []Decision) []Decision {
	r := rs.request
	if now.Add(rs.maxCost).After(r.Deadline) {
		return o.endRefused(now, s, rs, DeadlineTooNear, 0, into)
	}
	slots := s.slots(now)
	if slots > 0 && s.queue.Len() == 0 && s.freeSlots(now) > 0 {
		if c, ok := o.pickIdleOwner(now, s, rs); ok {
			return o.forward(now, s, rs, c, 0, into)
		}
		return o.enqueue(now, s, rs, into)
	}
	wait := s.wait(now, rs)
	c, ok := o.chooseCandidate(now, s, rs, slots, wait)
	if ok && c.Distance != paplacement.Own {
		return o.forward(now, s, rs, c, wait, into)
	}
	if slots == 0 {
		return o.endRefused(now, s, rs, NoTarget, 0, into)
	}
	// Load: demand above capacity. Harm prevented: a request waits until its deadline and is then
	// refused, when its caller has no time left. So it is refused now, on the predicted wait.
	if r.MaxWait > 0 && wait > r.MaxWait {
		return o.endRefused(now, s, rs, WaitTooLong, wait, into)
	}
	if bound := s.queue.MaxWait(now, rs.item()); wait > bound {
		return o.endRefused(now, s, rs, s.waitRefusal(), wait, into)
	}
	return o.enqueue(now, s, rs, into)
}

// pickIdleOwner returns an owner of the region without any work for one in spreadEvery requests that could run
// here, each of them in turn.
//
// Load: callers behind one address, who all have the same first entry VM, and not much work. Harm
// prevented: the targets of the other owners get nothing for hours; nobody knows whether they answer,
// and the first burst finds them cold.
func (o *Owner) pickIdleOwner(now time.Time, s *service, rs *requestState) (paplacement.Candidate, bool) {
	if rs.request.Origin != Caller || rs.attempt > 0 || o.config.Candidates == nil {
		return paplacement.Candidate{}, false
	}
	s.offers++
	if s.offers%idleOwnerInterval != 0 {
		return paplacement.Candidate{}, false
	}
	o.candidates = o.config.Candidates.Candidates(now, rs.request.Service, o.candidates[:0])
	idle := slices.DeleteFunc(o.candidates, func(c paplacement.Candidate) bool {
		return c.Distance != paplacement.SameRegion || c.Slots <= 0 || c.Free < c.Slots || c.Full || c.Age > paplacement.MaxReportAge
	})
	if len(idle) == 0 {
		return paplacement.Candidate{}, false
	}
	s.sentToIdle++
	return idle[s.sentToIdle%uint64(len(idle))], true
}

// chooseCandidate compares the own queue with the places elsewhere. A request that was forwarded here stays:
// otherwise owners could pass it round.
func (o *Owner) chooseCandidate(now time.Time, s *service, rs *requestState, slots int, wait time.Duration) (paplacement.Candidate, bool) {
	if rs.request.Origin != Caller || o.config.Candidates == nil || rs.forwardDistance == paplacement.OtherRegion {
		return paplacement.Candidate{}, false
	}
	o.candidates = o.candidates[:0]
	if bound := s.queue.MaxWait(now, rs.item()); wait <= bound {
		own := paplacement.Candidate{Slots: slots, Wait: wait, Utilization: s.load(now)}
		o.candidates = append(o.candidates, own)
	}
	own := len(o.candidates)
	o.candidates = o.config.Candidates.Candidates(now, rs.request.Service, o.candidates)
	// Equal ones take turns: the first in the list would get the overflow of every owner.
	o.config.Rand.Shuffle(len(o.candidates)-own, func(i, j int) {
		o.candidates[own+i], o.candidates[own+j] = o.candidates[own+j], o.candidates[own+i]
	})
	if rs.forwardDistance != paplacement.Own {
		// An owner of the region had no room after all: the others' reports are as old as its own.
		o.candidates = slices.DeleteFunc(o.candidates, func(c paplacement.Candidate) bool {
			return c.Distance == paplacement.SameRegion
		})
	}
	r := paplacement.Request{TimeLeft: rs.request.Deadline.Sub(now), Run: rs.maxCost, Bytes: rs.request.Bytes}
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
func (o *Owner) forward(now time.Time, s *service, rs *requestState, c paplacement.Candidate, wait time.Duration, into []Decision) []Decision {
	d := Forward{Request: rs.request.ID, Entry: c.Entry, Region: c.Region, Attempt: rs.attempt + 1}
	if c.Distance == paplacement.SameRegion && s.slots(now) > 0 && wait <= s.queue.MaxWait(now, rs.item()) {
		d.MaxWait = max(wait, 1)
	}
	rs.attempt++
	rs.entry = c.Entry
	rs.target = nil
	rs.forwardDistance = c.Distance
	return append(into, d)
}

func (o *Owner) enqueue(now time.Time, s *service, rs *requestState, into []Decision) []Decision {
	out, displaced, ok := s.queue.Push(rs.item())
	if !ok {
		return o.endRefused(now, s, rs, QueueFull, s.wait(now, rs), into)
	}
	rs.target = nil
	rs.entry = ""
	if displaced {
		into = o.refuseItem(now, s, out, QueueFull, into)
	}
	return o.dispatch(now, s, into)
}

// dispatch starts what waits while targets have room, then shortens a queue that stands.
func (o *Owner) dispatch(now time.Time, s *service, into []Decision) []Decision {
	for s.queue.Len() > 0 {
		if i, ok := s.queue.Expire(now); ok {
			into = o.refuseItem(now, s, i, DeadlineTooNear, into)
			continue
		}
		if !s.hasFreeSlot(now) {
			break
		}
		i, _ := s.queue.Pop()
		into = o.start(now, s, o.requests[RequestID(i.ID)], into)
	}
	for _, t := range s.targets {
		if t.Phase() != t.reported {
			t.reported = t.Phase()
			into = append(into, PhaseChanged{Target: t.name, Phase: t.reported})
		}
	}
	slots := s.slots(now)
	if slots == 0 {
		return o.redistributeQueue(now, s, into)
	}
	s.queue.StandingWait = s.standingWait()
	s.queue.Observe(now, slots)
	for {
		i, ok := s.queue.Shorten(slots)
		if !ok {
			return into
		}
		into = o.refuseItem(now, s, i, QueueStands, into)
	}
}

// start sends a request to the best own target that has room.
func (o *Owner) start(now time.Time, s *service, rs *requestState, into []Decision) []Decision {
	o.options = o.options[:0]
	for _, t := range s.targets {
		o.options = append(o.options, t.option(now, rs.lastTried))
	}
	t := s.targets[paplacement.PickTarget(o.options)]
	t.Begin()
	s.starts++
	t.lastStart = s.starts
	rs.target = t
	rs.entry = ""
	rs.attempt++
	rs.starts++
	return append(into, Start{Request: rs.request.ID, Target: t.name, Attempt: rs.attempt})
}

// redistributeQueue empties the queue of a service whose last target left: what waits has not run.
func (o *Owner) redistributeQueue(now time.Time, s *service, into []Decision) []Decision {
	for {
		i, ok := s.queue.Pop()
		if !ok {
			return into
		}
		rs := o.requests[RequestID(i.ID)]
		into = o.place(now, s, rs, into)
	}
}

// retryOrEnd decides what follows an attempt that brought no answer.
func (o *Owner) retryOrEnd(now time.Time, s *service, rs *requestState, res Result, into []Decision) []Decision {
	notRun := res.Outcome.DidNotRun()
	may := paretry.CanRetry(rs.request.Idempotent, notRun) && rs.attempt < MaxAttempts
	// Another owner's refusal cost no target anything, so that it needs no budget.
	free := notRun && rs.target == nil
	if may && !now.Add(rs.maxCost).After(rs.request.Deadline) && (free || s.budget.TryWithdraw()) {
		rs.lastTried = rs.target
		rs.target = nil
		rs.entry = ""
		return o.place(now, s, rs, into)
	}
	if notRun {
		return o.endRefused(now, s, rs, Attempts, res.RetryAfter, into)
	}
	o.removeRequest(rs)
	return append(into, Fail{Request: rs.request.ID, Outcome: res.Outcome})
}

// refuseItem refuses an item that the queue gave up.
func (o *Owner) refuseItem(now time.Time, s *service, i paqueue.Item, why Reason, into []Decision) []Decision {
	rs := o.requests[RequestID(i.ID)]
	return o.endRefused(now, s, rs, why, s.queue.DrainTime(s.slots(now)), into)
}

// endRefused refuses a request for good.
func (o *Owner) endRefused(now time.Time, s *service, rs *requestState, why Reason, wait time.Duration, into []Decision) []Decision {
	o.removeRequest(rs)
	return o.refuse(now, s, rs.request.ID, why, wait, into)
}

func (o *Owner) refuse(now time.Time, s *service, id RequestID, why Reason, wait time.Duration, into []Decision) []Decision {
	return append(into, Refuse{Request: id, Reason: why, RetryAfter: o.retryAfter(now, s, wait)})
}

// retryAfter books the refused caller behind the others that were refused, at the rate at which the
// slots turn over, and adds jitter. Load: more callers refused than the service has slots. Harm
// prevented: they all return when the first of them could be served.
func (o *Owner) retryAfter(now time.Time, s *service, wait time.Duration) time.Duration {
	if s.nextReturn.Before(now) {
		s.nextReturn = now
	}
	mean, _ := s.predictAnyRun()
	s.nextReturn = s.nextReturn.Add(mean / time.Duration(max(1, s.slots(now))))
	if most := now.Add(MaxRetryAfter); s.nextReturn.After(most) {
		s.nextReturn = most
	}
	d := max(MinRetryAfter, wait, s.nextReturn.Sub(now))
	jitter := time.Duration(RetryAfterJitter * o.config.Rand.Float64() * float64(d))
	return min(d, MaxRetryAfter) + jitter
}

func (o *Owner) addRequest(now time.Time, r Request) *requestState {
	var rs *requestState
	if n := len(o.freeStates); n > 0 {
		rs = o.freeStates[n-1]
		o.freeStates = o.freeStates[:n-1]
	} else {
		rs = &requestState{}
	}
	*rs = requestState{request: r, arrived: now}
	o.bytes += r.Bytes
	o.requests[r.ID] = rs
	return rs
}

// removeRequest ends a flight. What it holds stays readable until the next request is offered.
func (o *Owner) removeRequest(rs *requestState) {
	delete(o.requests, rs.request.ID)
	o.bytes -= rs.request.Bytes
	o.freeStates = append(o.freeStates, rs)
}

func (o *Owner) overLimits(r Request) bool {
	if o.limits.Requests > 0 && len(o.requests) >= o.limits.Requests {
		return true
	}
	return o.limits.Bytes > 0 && o.bytes+r.Bytes > o.limits.Bytes
}
