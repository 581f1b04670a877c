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
	f, ok := o.flights[id]
	// Failure: the end of an attempt that was given up arrives after the next one began. It shows as
	// a request that ends twice. The attempt's number tells them apart.
	if !ok || f.attempt != res.Attempt || f.target == nil && f.entry == "" {
		return into
	}
	s := f.service(o)
	t := f.target
	if t != nil {
		into = o.endAttempt(now, f, res, into)
	}
	switch {
	case f.abandoned, res.Outcome == patarget.Answered, res.Outcome == patarget.Abandoned:
		o.forget(f)
	case s == nil && res.Outcome.DidNotRun():
		// A new bundle has no such service any more: there is nowhere to try again.
		o.forget(f)
		into = append(into, Refuse{Request: id, Reason: NoService, RetryAfter: MaxRetryAfter})
	case s == nil:
		o.forget(f)
		into = append(into, Fail{Request: id, Outcome: res.Outcome})
	default:
		into = o.again(now, s, f, res, into)
	}
	if t != nil {
		into = o.pump(now, t.service, into)
	}
	return into
}

// endAttempt frees the slot and learns.
func (o *Owner) endAttempt(now time.Time, f *flight, res Result, into []Decision) []Decision {
	t := f.target
	s := t.service
	class := f.request.Class % Classes
	r := patarget.Result{
		Outcome:  res.Outcome,
		Run:      res.Run,
		Expected: s.peerRun(t, class),
		Deadline: f.request.Deadline,
		Only:     s.only(now, t),
	}
	if t.End(now, r) {
		into = append(into, CloseConnections{Target: t.name})
	}
	if res.Outcome == patarget.Answered {
		t.classes[class].learn(res.Run, targetWeight)
		if !t.Slow() {
			s.classes[class].learn(res.Run, estimateWeight)
			s.all.learn(res.Run, estimateWeight)
		}
	}
	return o.probe(now, t, into)
}

// Cancel gives up a request whose caller has gone. One that waits is forgotten. One that runs keeps
// its slot until Finish: the target is busy until then.
func (o *Owner) Cancel(now time.Time, id RequestID, into []Decision) []Decision {
	f, ok := o.flights[id]
	if !ok {
		return into
	}
	if f.target != nil || f.entry != "" {
		f.abandoned = true
		return into
	}
	s := f.service(o)
	o.forget(f)
	if s == nil {
		return into
	}
	s.queue.Remove(uint64(id))
	return o.pump(now, s, into)
}

// Probed reports the end of a probe.
func (o *Owner) Probed(now time.Time, name pabundle.TargetName, ok bool, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil || !t.Probing() {
		return into
	}
	t.EndProbe(now, ok)
	return o.pump(now, t.service, into)
}

// probe appends a probe when the target needs one and nothing waits for the slot that it takes:
// live traffic stands in for a probe. A silent connection is judged at once.
func (o *Owner) probe(now time.Time, t *target, into []Decision) []Decision {
	if !t.NeedsProbe(now) || !t.Doubted() && t.service.queue.Len() > 0 {
		return into
	}
	t.BeginProbe()
	return append(into, Probe{Target: t.name})
}

// collect forgets the targets that were given up, once nothing runs there: until then one that
// comes back has to remember what holds its slots.
func (o *Owner) collect(now time.Time) {
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
