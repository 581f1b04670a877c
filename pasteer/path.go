package pasteer

import (
	"slices"
	"time"
)

// path is what this entry VM knows of its own network path to a target. The zero value is a path that works.
type path struct {
	// lostSince is when connections to the target began to fail; zero while they succeed. Only a new connection ends
	// it: requests on open ones may work while none can be opened.
	lostSince time.Time
	// probeAt is when the next connection is to be tried, and reachedAt when the target last responded.
	probeAt, reachedAt time.Time
	// before holds the marks on the target from before its latest failures; rememberedAt is when they were saved.
	before       marks
	rememberedAt time.Time
	// own is set once all targets of the service are lost in several regions at once: no target restarted, whatever the
	// other entry VMs reach.
	own bool
}

// marks are what failures leave on a target.
type marks struct {
	failures         int
	backoffUntil     time.Time
	suspectColdUntil time.Time
	errors           errorRate
	fullSince        time.Time
	warm             warmSet
}

const (
	// minLostTargets is how many targets of a service must be lost at once before this entry VM's path may be the
	// cause; one alone has more likely failed.
	minLostTargets = 2
	// marksTTL is how long the marks from before a failure are kept for the case that further failures follow:
	// connections are reset, or acknowledge nothing for about two seconds, before the first new one fails.
	marksTTL = 4 * time.Second
	// probeInterval is the time between two attempts to connect to a lost target.
	probeInterval = 500 * time.Millisecond
)

// LostPath is how many targets of a service an entry VM cannot connect to. Relays says that it hands the requests for them
// to other entry VMs.
type LostPath struct {
	Targets int
	Relays  bool
}

// rememberMarks saves the marks on a target before a failure changes them, unless it failed a moment ago.
func (t *target) rememberMarks(now time.Time) {
	if !t.path.lostSince.IsZero() || now.Sub(t.path.rememberedAt) < marksTTL {
		return
	}
	t.path.rememberedAt = now
	t.path.before = marks{
		failures: t.failures, backoffUntil: t.backoffUntil, suspectColdUntil: t.suspectColdUntil, errors: t.errors,
		fullSince: t.fullSince,
	}
}

// pathFailed records that a connection to the target could not be opened, or acknowledged nothing for too long.
//
// One entry VM's experience of a target is not the target's state: if the entry VM's own links fail, all targets seem
// to have failed at once, while other entry VMs reach them. So the target is marked as failed, and the marks are taken
// back if judgePath finds that the path is the cause.
func (b *Balancer) pathFailed(t *target, now time.Time) {
	if t.path.lostSince.IsZero() {
		t.path.lostSince = now
	}
	t.path.probeAt = now.Add(probeInterval)
	svc := b.services[t.state.Service]
	if t.viaRelay {
		return
	}
	if t.path.reachedAt.IsZero() && t.inFlight == 0 {
		// It still waits for its first request.
		t.used = false
	}
	t.backOff(now)
	if len(t.path.before.warm.uses) == 0 {
		t.path.before.warm = t.warm
	}
	b.clearWarm(t)
	if svc != nil {
		b.judgePath(svc, now)
	}
}

// pathRestored records that a connection to the target was opened.
func (b *Balancer) pathRestored(t *target, now time.Time) {
	t.path.reachedAt = now
	if t.path.lostSince.IsZero() && !t.viaRelay {
		return
	}
	if t.path.own {
		b.restoreMarks(t)
	}
	t.path = path{reachedAt: now}
	t.viaRelay = false
	t.failures, t.backoffUntil = 0, time.Time{}
	if t.inFlight == 0 {
		t.unresponsiveAt = time.Time{}
	}
	if svc := b.services[t.state.Service]; svc != nil {
		b.judgePath(svc, now)
	}
}

// lostTargets returns how many of the service's targets that may get requests are lost, and how many there are.
func (svc *service) lostTargets() (lost, all int) {
	for _, t := range svc.targets {
		if t.excluded {
			continue
		}
		all++
		if !t.path.lostSince.IsZero() {
			lost++
		}
	}
	return lost, all
}

// judgePath decides whether the service's lost targets are lost to this entry VM alone, and its requests for them are
// handed to other entry VMs: several are lost at once, and another entry VM reaches more of them. It answers the load of
// an entry VM whose own links failed. Without the comparison, a zone that loses power would have all entry VMs hand
// requests to each other.
func (b *Balancer) judgePath(svc *service, now time.Time) {
	lost, all := svc.lostTargets()
	if lost == all {
		svc.noteOwnPath()
	}
	least := min(minLostTargets, all)
	if svc.relays {
		// The last target is regained a moment after the others.
		least = 1
	}
	svc.relays = lost > 0 && lost >= least && b.anyPeerReaches(svc, lost, now)
	relays, reached := svc.relays && !b.Config.Off.Relays, svc.reachesAny(now)
	for _, t := range svc.targets {
		lost := !t.path.lostSince.IsZero()
		if !lost {
			// While none is reached, those that were not tried are taken for lost too, rather than dialed with requests.
			t.viaRelay = relays && !reached
			continue
		}
		if t.viaRelay == relays {
			continue
		}
		if t.viaRelay = relays; t.viaRelay {
			b.restoreMarks(t)
			continue
		}
		t.backOff(now)
		b.clearWarm(t)
	}
}

// reachedTTL is how long a response counts as a sign that the path to a target works. Probes renew it.
const reachedTTL = 2 * probeInterval

// reachesAny reports whether any target that is not lost responded lately.
func (svc *service) reachesAny(now time.Time) bool {
	return slices.ContainsFunc(svc.targets, func(t *target) bool {
		return t.path.lostSince.IsZero() && now.Sub(t.path.reachedAt) < reachedTTL
	})
}

// noteOwnPath marks the targets as lost by the fault of this entry VM's path if they are in several regions.
//
// A target that refused connections may have restarted, and counts as cold for seconds. After a fault that cut off all entry
// VMs, each would otherwise refuse most requests for these seconds.
func (svc *service) noteOwnPath() {
	regions := map[string]bool{}
	for _, t := range svc.targets {
		if !t.excluded {
			regions[t.region] = true
		}
	}
	if len(regions) < minLostRegions {
		return
	}
	for _, t := range svc.targets {
		t.path.own = !t.path.lostSince.IsZero()
	}
}

// minLostRegions is how many regions must be lost at once for that: more than may lose power together.
const minLostRegions = 2

// restoreMarks takes back what the failures of this entry VM's path left on a target.
func (b *Balancer) restoreMarks(t *target) {
	m := t.path.before
	t.failures, t.backoffUntil, t.suspectColdUntil = m.failures, m.backoffUntil, m.suspectColdUntil
	t.errors, t.fullSince, t.unresponsiveAt = m.errors, m.fullSince, time.Time{}
	for key, u := range m.warm.uses {
		b.addWarm(t, key, u.object, u.at)
	}
	t.path.before = marks{}
}

// LostServices returns the services of which this entry VM cannot connect to some targets.
func (b *Balancer) LostServices() map[string]LostPath {
	var all map[string]LostPath
	for name, svc := range b.services {
		if lost, _ := svc.lostTargets(); lost > 0 {
			if all == nil {
				all = map[string]LostPath{}
			}
			all[name] = LostPath{Targets: lost, Relays: svc.relays}
		}
	}
	return all
}
