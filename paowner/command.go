package paowner

import (
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// Configure applies the policy and the services of a new bundle. Requests that wait for a service
// that the bundle no longer has are refused.
func (o *Owner) Configure(now time.Time, p pabundle.Policy, services []pabundle.Service, into []Decision) []Decision {
	o.config.Policy = p
	before := slices.Clone(o.order)
	o.setServices(services)
	for _, s := range before {
		if o.services[s.spec.Name] == s {
			continue
		}
		for _, t := range s.targets {
			t.Leave()
		}
		for i, ok := s.queue.Pop(); ok; i, ok = s.queue.Pop() {
			into = o.refuseItem(now, s, i, NoService, into)
		}
	}
	return into
}

// SetTargets replaces the set of targets that the entry VM owns. A target that is not in the new
// set gets no new requests; requests already running there continue.
func (o *Owner) SetTargets(now time.Time, owned []OwnedTarget, into []Decision) []Decision {
	keep := map[pabundle.TargetName]bool{}
	for _, w := range owned {
		keep[w.Target.Name] = true
		o.addTarget(now, w)
	}
	for _, s := range o.order {
		s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
			if keep[t.name] {
				return false
			}
			t.Leave()
			t.dropped = true
			o.dropped = append(o.dropped, t)
			return true
		})
		into = o.dispatch(now, s, into)
	}
	return into
}

// addTarget starts to own a target, or updates the slots and connections of one already owned.
func (o *Owner) addTarget(now time.Time, w OwnedTarget) {
	s := o.services[w.Service]
	if s == nil {
		return
	}
	t := o.targets[w.Target.Name]
	if t != nil && !t.dropped {
		t.Slots = w.Target.Slots
		t.Connections = w.Connections
		if w.Leaving {
			t.Leave()
		}
		return
	}
	n := &target{name: w.Target.Name, service: s}
	n.Slots = w.Target.Slots
	n.Connections = w.Connections
	n.Ramp = o.config.Tuning.Ramp
	n.Takeover = s.takeoverWait()
	n.Start(now, w.Join, w.Running)
	if w.Leaving {
		n.Leave()
	}
	n.reported = n.Phase()
	if t != nil {
		o.moveRequests(t, n)
	}
	o.targets[n.name] = n
	s.targets = append(s.targets, n)
}

// moveRequests transfers the requests that still run at a target to the new state of the same
// target. Without it, a target that is given up and assigned again before its requests have ended
// would run more requests than it has slots.
func (o *Owner) moveRequests(from, to *target) {
	to.Adopt(&from.Target)
	for _, rs := range o.requests {
		if rs.target == from {
			rs.target = to
		}
	}
}

// MarkLeaving records that a target is about to stop, as known from the VM list or by observation;
// the target gets no new requests. Queued requests are not bound to a target, so that they go to
// the other ones.
func (o *Owner) MarkLeaving(now time.Time, name pabundle.TargetName, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil {
		return into
	}
	t.Leave()
	return o.dispatch(now, t.service, into)
}

// Report records the load that a target reported about itself.
func (o *Owner) Report(now time.Time, name pabundle.TargetName, l patarget.Load, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil {
		return into
	}
	t.Report(now, l)
	return o.dispatch(now, t.service, into)
}

// Release records that n requests of a target's former owner have ended and frees their slots.
func (o *Owner) Release(now time.Time, name pabundle.TargetName, n int, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil {
		return into
	}
	t.Target.Release(n)
	return o.dispatch(now, t.service, into)
}

// SetLimits sets how many requests and bytes the entry VM itself may hold.
func (o *Owner) SetLimits(r Limits) { o.limits = r }

// Stop makes Offer refuse every new request; requests already accepted run to their end.
func (o *Owner) Stop() { o.stopping = true }

// Tick applies all changes that are due by now: it refuses queued requests that can no longer
// complete in time, starts queued requests on freed slots, and probes targets. It has to be called
// at NextTick or every few milliseconds.
func (o *Owner) Tick(now time.Time, into []Decision) []Decision {
	o.removeIdleDropped(now)
	for _, s := range o.order {
		for _, t := range s.targets {
			t.Tick(now)
			into = o.probeIfNeeded(now, t, into)
		}
		s.tryEjected(now)
		into = o.dispatch(now, s, into)
	}
	return into
}

// tryEjected gives ejected targets an early trial when the service has no usable target left.
// Otherwise, if the healthy targets leave while the rest are ejected, the service refuses all
// requests for up to patarget.EjectMost. A trial sends one request at a time, so that it is safe as
// often as once a second.
func (s *service) tryEjected(now time.Time) {
	if s.slots(now) > 0 {
		return
	}
	for _, t := range s.targets {
		t.Try(now)
	}
}
