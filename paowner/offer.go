package paowner

import (
	"slices"
	"time"

	"papayahead/paplacement"
	"papayahead/paqueue"
	"papayahead/paretry"
)

// Offer decides on a new request and appends the decisions. It panics if the ID of the request is
// already in use.
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
		// After the loss of one of few entry VMs the others get its callers. An entry VM beyond its own
		// capacity, which SetLimits gives, would slow down every request.
		return o.refuse(now, s, r.ID, OverRoom, 0, into)
	}
	rs := o.addRequest(now, r)
	rs.cost, rs.maxCost = s.predictRun(r)
	if r.Attempt == 0 {
		s.budget.Deposit(s.load(now))
	}
	return o.place(now, s, rs, into)
}

// place starts, forwards, queues or refuses a request.
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
	// Under overload a request would otherwise wait until its deadline and be refused when its caller
	// has no time left to retry. It is refused now instead, on the predicted wait.
	if r.MaxWait > 0 && wait > r.MaxWait {
		return o.endRefused(now, s, rs, WaitTooLong, wait, into)
	}
	if bound := s.queue.MaxWait(now, rs.item()); wait > bound {
		return o.endRefused(now, s, rs, s.waitRefusal(), wait, into)
	}
	return o.enqueue(now, s, rs, into)
}

// pickIdleOwner returns an idle owner of the same region for one in idleOwnerInterval requests that
// could start here, choosing the idle owners in turn.
//
// At low load, callers behind one address all use the same first entry VM. The targets of the other
// owners would get no requests for hours, so that their health would be unknown and the first burst
// would find them cold.
func (o *Owner) pickIdleOwner(now time.Time, s *service, rs *requestState) (paplacement.Candidate, bool) {
	if rs.request.Origin != Caller || rs.attempt > 0 || o.config.Others == nil {
		return paplacement.Candidate{}, false
	}
	s.offers++
	if s.offers%idleOwnerInterval != 0 {
		return paplacement.Candidate{}, false
	}
	o.candidates = o.config.Others.Candidates(now, rs.request.Service, o.candidates[:0])
	idle := slices.DeleteFunc(o.candidates, func(c paplacement.Candidate) bool {
		return c.Distance != paplacement.SameRegion || c.Slots <= 0 || c.Free < c.Slots || c.Full || c.Age > paplacement.MaxReportAge
	})
	if len(idle) == 0 {
		return paplacement.Candidate{}, false
	}
	s.sentToIdle++
	return idle[s.sentToIdle%uint64(len(idle))], true
}

// chooseCandidate compares this owner's queue with the candidates elsewhere. A request that was
// forwarded here is not forwarded again, which rules out forwarding loops.
func (o *Owner) chooseCandidate(
	now time.Time, s *service, rs *requestState, slots int, wait time.Duration,
) (paplacement.Candidate, bool) {
	if rs.request.Origin != Caller || o.config.Others == nil || rs.forwardDistance == paplacement.OtherRegion {
		return paplacement.Candidate{}, false
	}
	o.candidates = o.candidates[:0]
	if bound := s.queue.MaxWait(now, rs.item()); wait <= bound {
		own := paplacement.Candidate{Slots: slots, Wait: wait, Utilization: s.load(now)}
		o.candidates = append(o.candidates, own)
	}
	own := len(o.candidates)
	o.candidates = o.config.Others.Candidates(now, rs.request.Service, o.candidates)
	// Choose takes the first of several equal candidates, which would get the overflow of every owner
	// if the list were not shuffled.
	o.config.Rand.Shuffle(len(o.candidates)-own, func(i, j int) {
		o.candidates[own+i], o.candidates[own+j] = o.candidates[own+j], o.candidates[own+i]
	})
	if rs.forwardDistance != paplacement.Own {
		// An owner of this region rejected the request in spite of its report. The reports of the region's
		// other owners are as old, so that none of them is tried.
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

// forward sends a request to another owner. Reports from other owners may be older than the time in
// which a slot changes hands, so that the wait there may be longer than here. The predicted wait here
// therefore goes with the request; an owner with a longer wait sends the request back at once, which
// costs one round trip within the region.
func (o *Owner) forward(
	now time.Time, s *service, rs *requestState, c paplacement.Candidate, wait time.Duration, into []Decision,
) []Decision {
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

// dispatch refuses queued requests that can't complete in time, starts others while targets have
// free slots, reports phase changes, and shortens a standing queue.
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

// start sends a request to the best of this owner's targets with a free slot; there has to be one.
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

// redistributeQueue empties the queue of a service without usable targets: each request is forwarded
// or refused, because its current attempt has not started.
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

// retryOrEnd retries a request whose attempt ended without an answer, or ends it if no retry is
// allowed.
func (o *Owner) retryOrEnd(now time.Time, s *service, rs *requestState, res Result, into []Decision) []Decision {
	notRun := res.Outcome.DidNotRun()
	may := paretry.CanRetry(rs.request.Idempotent, notRun) && rs.attempt < MaxAttempts
	// A refusal by another owner used no target, so that a retry after it needs no retry budget.
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

// refuseItem refuses a request that was removed from the queue.
func (o *Owner) refuseItem(now time.Time, s *service, i paqueue.Item, why Reason, into []Decision) []Decision {
	rs := o.requests[RequestID(i.ID)]
	return o.endRefused(now, s, rs, why, s.queue.DrainTime(s.slots(now)), into)
}

// endRefused removes a request and refuses it.
func (o *Owner) endRefused(
	now time.Time, s *service, rs *requestState, why Reason, wait time.Duration, into []Decision,
) []Decision {
	o.removeRequest(rs)
	return o.refuse(now, s, rs.request.ID, why, wait, into)
}

func (o *Owner) refuse(now time.Time, s *service, id RequestID, why Reason, wait time.Duration, into []Decision) []Decision {
	return append(into, Refuse{Request: id, Reason: why, RetryAfter: o.retryAfter(now, s, wait)})
}

// retryAfter returns the retry delay for a refused caller. Refused callers are scheduled one after the
// other, at the rate at which the service completes requests, plus jitter. Otherwise, with more refused
// callers than slots, all of them would return when only the first could be served.
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

// removeRequest deletes a request. Its state stays readable until the next Offer, which may reuse it.
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
