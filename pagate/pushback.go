package pagate

import (
	"strings"

	"papayahead/paevent"
	"papayahead/paheader"
	"papayahead/pasteer"
)

// observePushback takes the Retry-After values of a 503 response as soon as its header is read, and reports whether the target asks
// for no requests. The body may take long to arrive.
func (g *Gate) observePushback(c pasteer.Choice, values []string) bool {
	wait, unreadable := paheader.ParseRetryAfter(values, pasteer.MaxPushback)
	if unreadable {
		g.noteUnreadablePushback(c.Target, strings.Join(values, ","))
	}
	if wait <= 0 {
		return false
	}
	g.balancerMutex.Lock()
	now := g.config.Clock.Now()
	g.balancer.PushBack(c.Target, c.Born, wait, now)
	changes := g.balancer.PushbackChanges(now)
	g.balancerMutex.Unlock()
	g.recordPushbacks(changes)
	return true
}

// maySend reports whether a request may still be sent to the target that was chosen for it.
func (g *Gate) maySend(c pasteer.Choice) bool {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	return g.balancer.MaySend(c, g.config.Clock.Now())
}

// unwilling returns targets of a service that want no requests from this entry VM now.
func (g *Gate) unwilling(service string) []string {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	return g.balancer.Unwilling(service, g.config.Clock.Now())
}

// recordPushbacks logs which targets want no requests from now on, or no longer.
func (g *Gate) recordPushbacks(all []pasteer.PushbackChange) {
	for _, c := range all {
		if !c.Ended {
			g.meter.pushbacks.Inc()
		}
		if !g.pushbackLines.Take(g.config.Clock.Now()) {
			continue
		}
		if c.Ended {
			g.record(paevent.TargetPushbackEnded{Target: c.Target, Service: c.Service, Seconds: c.Wait.Seconds()})
		} else {
			g.record(paevent.TargetPushback{Target: c.Target, Service: c.Service, Seconds: c.Wait.Seconds()})
		}
	}
}

// endPushbacks logs the pushbacks that are over; it is called once a tick.
func (g *Gate) endPushbacks() {
	g.balancerMutex.Lock()
	changes := g.balancer.PushbackChanges(g.config.Clock.Now())
	g.balancerMutex.Unlock()
	g.recordPushbacks(changes)
}

// noteUnreadablePushback logs once for each target that its Retry-After is no number of seconds.
func (g *Gate) noteUnreadablePushback(target, value string) {
	if _, known := g.unreadablePushbacks.LoadOrStore(target, true); !known {
		g.record(paevent.TargetPushbackUnreadable{Target: target, Value: value[:min(len(value), maxLoggedLimit)]})
	}
}
