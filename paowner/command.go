package paowner

import (
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// Configure takes a new bundle into force. What waits for a service that is gone is refused.
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

// SetTargets says which targets the entry VM owns from now on. A target that is no longer among
// them gets no new work; what runs there goes on.
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

// moveRequests moves what still runs at a target to the new state of it. Failure: a target is given up and
// comes back before its requests have ended; it shows as more requests there than slots.
func (o *Owner) moveRequests(from, to *target) {
	to.Adopt(&from.Target)
	for _, rs := range o.requests {
		if rs.target == from {
			rs.target = to
		}
	}
}

// MarkLeaving says that a target is about to stop, by the VM list or by observation; it gets no new
// work from here on. What waits is not bound to a target, so that it goes to the others.
func (o *Owner) MarkLeaving(now time.Time, name pabundle.TargetName, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil {
		return into
	}
	t.Leave()
	return o.dispatch(now, t.service, into)
}

// Report takes a target's own report of its load.
func (o *Owner) Report(now time.Time, name pabundle.TargetName, l patarget.Load, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil {
		return into
	}
	t.Report(now, l)
	return o.dispatch(now, t.service, into)
}

// Release takes a former owner's word that n of its requests at a target have ended.
func (o *Owner) Release(now time.Time, name pabundle.TargetName, n int, into []Decision) []Decision {
	t := o.targets[name]
	if t == nil {
		return into
	}
	t.Target.Release(n)
	return o.dispatch(now, t.service, into)
}

// SetLimits says how much the entry VM itself can hold.
func (o *Owner) SetLimits(r Limits) { o.limits = r }

// Stop refuses every new request from here on; what is held goes on to its end.
func (o *Owner) Stop() { o.stopping = true }

// Tick lets time pass: it refuses what cannot end in time any more, starts what targets have room
// for again, and probes. Call it at NextTick or every few milliseconds.
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

// tryEjected gives failing targets an early trial when the service has no other left. Failure: the good
// targets leave while the rest is ejected; it shows as a service that refuses all for up to
// patarget.EjectMost. A trial is one request at a time, so that it is safe as often as once a second.
func (s *service) tryEjected(now time.Time) {
	if s.slots(now) > 0 {
		return
	}
	for _, t := range s.targets {
		t.Try(now)
	}
}
