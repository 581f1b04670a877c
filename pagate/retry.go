package pagate

import (
	"maps"
	"time"

	"papayahead/paevent"
	"papayahead/pafleet"
)

// retryLogInterval is the time between two log lines on the retries of a service.
const retryLogInterval = time.Second

// retryLog counts the retries that were granted and refused since the last log line. The zero value is ready for use.
type retryLog struct {
	services map[string]*retryCounts
	loggedAt time.Time
}

// retryCounts are the retries of one service that were granted and refused.
type retryCounts struct{ granted, refused int }

// count counts a decision.
func (l *retryLog) count(service string, granted bool) {
	if l.services == nil {
		l.services = map[string]*retryCounts{}
	}
	c := l.services[service]
	if c == nil {
		c = &retryCounts{}
		l.services[service] = c
	}
	if granted {
		c.granted++
	} else {
		c.refused++
	}
}

// retryAllowed reports whether the retry budget allows another attempt, and charges it.
func (g *Gate) retryAllowed(x *exchange, now time.Time) bool {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	ok := g.balancer.TakeRetryFor(x.service, x.priority(), now)
	g.retries.count(x.service, ok)
	g.meter.countRetry(x.service, ok)
	return ok
}

// updateShares counts the entry VMs that share with this one, and adds what the retry budgets earn by time; it is called once a tick.
// A process that shuts down earns nothing, as the others may not count it any more.
func (g *Gate) updateShares(v *pafleet.View, now time.Time) {
	s, uptime := g.state.Load(), g.uptime()
	g.census.Observe(maps.Keys(v.Entries), uint64(v.Entries[g.self.Name].Revision), uptime)
	sharers := g.census.Count(uptime)
	g.sharers.Store(int64(sharers))
	part := func(service string, parts int) float64 { return g.census.Part(service, parts, g.age(s), uptime) }
	if g.shuttingDown.Load() {
		part = func(string, int) float64 { return 0 }
	}
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	g.balancer.SetSharers(sharers)
	g.balancer.AccrueRetries(part, now)
}

// shareMaxAge is the age of the state from which this entry VM has no part of what all share. Usual states are half as old at most.
func shareMaxAge(s Settings) time.Duration { return 2 * max(maxAge, s.MaxPropagation) }

// logRetries logs, at most once per retryLogInterval, the retries of each service that has had any since.
func (g *Gate) logRetries(now time.Time) {
	g.balancerMutex.Lock()
	if now.Sub(g.retries.loggedAt) < retryLogInterval || len(g.retries.services) == 0 {
		g.balancerMutex.Unlock()
		return
	}
	var lines []paevent.RetriesDecided
	for service, c := range g.retries.services {
		lines = append(lines, paevent.RetriesDecided{
			Subject: paevent.Subject{Service: service}, Granted: c.granted, Refused: c.refused,
			Left: g.balancer.RetriesLeft(service, now), Entries: int(g.sharers.Load()),
		})
	}
	g.retries = retryLog{loggedAt: now}
	g.balancerMutex.Unlock()
	for _, line := range lines {
		g.record(line)
	}
}
