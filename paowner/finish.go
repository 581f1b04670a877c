package paowner

import (
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// Finish reports the end of an attempt and appends what follows from it. No decision on the request
// itself follows an answer: the caller passes it on.
func (o *Owner) Finish(now time.Time, id RequestID, res Result, into []Decision) []Decision {
	rs, ok := o.requests[id]
	// Failure: the end of an attempt that was given up arrives after the next one began. It shows as
	// a request that ends twice. The attempt's number tells them apart.
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
		// A new bundle has no such service any more: there is nowhere to try again.
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

// recordAttempt frees the slot and learns.
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

// Cancel gives up a request whose caller has gone. One that waits is forgotten. One that runs keeps
// its slot until Finish: the target is busy until then.
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

// Probed reports the end of a probe.
func (o *Owner) Probed(now time.Time, name pabundle.TargetName, ok bool, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil || !t.Probing() {
		return into
	}
	t.EndProbe(now, ok)
	return o.dispatch(now, t.service, into)
}

// probeIfNeeded appends a probeIfNeeded when the target needs one and nothing waits for the slot that it takes:
// live traffic stands in for a probeIfNeeded. A silent connection is judged at once.
func (o *Owner) probeIfNeeded(now time.Time, t *target, into []Decision) []Decision {
	if !t.NeedsProbe(now) || !t.Doubted() && t.service.queue.Len() > 0 {
		return into
	}
	t.BeginProbe()
	return append(into, Probe{Target: t.name})
}

// removeIdleDropped forgets the targets that were given up, once nothing runs there: until then one that
// comes back has to remember what holds its slots.
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
