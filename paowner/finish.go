package paowner

import (
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// Finish reports the end of an attempt and appends the decisions that follow from it. After an answer
// there is no decision on the request itself: the caller of Finish relays the answer.
func (o *Owner) Finish(now time.Time, id RequestID, res Result, into []Decision) []Decision {
	rs, ok := o.requests[id]
	// The attempt number identifies the late end of an abandoned attempt, which may arrive after the
	// next attempt began. Without the check the request would end twice.
	if !ok || rs.attempt != res.Attempt || rs.target == nil && rs.entry == "" {
		return into
	}
	s := rs.service(o)
	t := rs.target
	if t != nil {
		into = o.recordAttempt(now, rs, res, into)
	}
	switch {
	case rs.abandoned, res.Outcome == patarget.Answered, res.Outcome == patarget.Abandoned:
		o.removeRequest(rs)
	case s == nil && res.Outcome.DidNotRun():
		// The service is gone from the current bundle, so that no target is left for a retry.
		o.removeRequest(rs)
		into = append(into, Refuse{Request: id, Reason: NoService, RetryAfter: MaxRetryAfter})
	case s == nil:
		o.removeRequest(rs)
		into = append(into, Fail{Request: id, Outcome: res.Outcome})
	default:
		into = o.retryOrEnd(now, s, rs, res, into)
	}
	if t != nil {
		into = o.dispatch(now, t.service, into)
	}
	return into
}

// recordAttempt frees the slot of an attempt and updates the target's health and the run time
// estimates. Run times of a slow target don't count for the service.
func (o *Owner) recordAttempt(now time.Time, rs *requestState, res Result, into []Decision) []Decision {
	t := rs.target
	s := t.service
	class := rs.request.Class % Classes
	r := patarget.Result{
		Outcome:  res.Outcome,
		Run:      res.Run,
		Expected: s.peerRun(t, class),
		Deadline: rs.request.Deadline,
		Only:     s.isOnly(now, t),
	}
	if t.End(now, r) {
		into = append(into, CloseConnections{Target: t.name})
	}
	if res.Outcome == patarget.Answered {
		t.classes[class].add(res.Run, targetEstimateWeight)
		if !t.Slow() {
			s.classes[class].add(res.Run, estimateWeight)
			s.anyClass.add(res.Run, estimateWeight)
		}
	}
	return o.probeIfNeeded(now, t, into)
}

// Cancel abandons a request whose caller has gone. A queued request is removed. A running one keeps
// its slot until Finish, because the target is busy until then.
func (o *Owner) Cancel(now time.Time, id RequestID, into []Decision) []Decision {
	rs, ok := o.requests[id]
	if !ok {
		return into
	}
	if rs.target != nil || rs.entry != "" {
		rs.abandoned = true
		return into
	}
	s := rs.service(o)
	o.removeRequest(rs)
	if s == nil {
		return into
	}
	s.queue.Remove(uint64(id))
	return o.dispatch(now, s, into)
}

// Probed reports the result of a probe; ok says whether the target answered it.
func (o *Owner) Probed(now time.Time, name pabundle.TargetName, ok bool, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil || !t.Probing() {
		return into
	}
	t.EndProbe(now, ok)
	return o.dispatch(now, t.service, into)
}

// probeIfNeeded appends a Probe if the target needs one. While requests are queued no probe takes a
// slot from them, because their outcomes show the target's health as well; only a target in doubt
// after a silent connection is probed regardless.
func (o *Owner) probeIfNeeded(now time.Time, t *target, into []Decision) []Decision {
	if !t.NeedsProbe(now) || !t.Doubted() && t.service.queue.Len() > 0 {
		return into
	}
	t.BeginProbe()
	return append(into, Probe{Target: t.name})
}

// removeIdleDropped deletes the state of targets that are no longer owned and run no requests. Until
// then the state is kept, because a target that is assigned again has to count the requests that
// still hold its slots.
func (o *Owner) removeIdleDropped(now time.Time) {
	o.dropped = slices.DeleteFunc(o.dropped, func(t *target) bool {
		if !t.Idle(now) {
			return false
		}
		if o.targets[t.name] == t {
			delete(o.targets, t.name)
		}
		return true
	})
}
