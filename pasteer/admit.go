package pasteer

import (
	"time"

	"papayahead/paroute"
)

// tooLate says that the chosen target would not answer in time, or turns more away. A queue that stands counts also
// where the choice knows of no wait, since what the target told of its load is older than a run.
func (s *Balancer) tooLate(c Choice, q Request, now time.Time) bool {
	if c.Load >= queueMost {
		return true
	}
	if c.wait > 0 && now.Add(c.finish).After(q.Deadline) {
		return true
	}
	t := s.targets[c.Target]
	return t != nil && !s.Config.Off.StandingQueues && t.standing(now, q.Route) && s.lateBehind(t, q, c, now)
}

// standing says that the target has had no free slot for longer than a burst lasts.
//
// Load: more than the targets bear, for seconds. Harm prevented: the queue grows until each request in it
// is answered just before its deadline, and none within its target latency, though the targets do as much
// work as with a short queue. So a queue that does not empty takes only what can still be answered within
// the target latency; a burst's queue takes all that can be answered at all.
func (t *target) standing(now time.Time, r *paroute.Route) bool {
	return !t.fullSince.IsZero() && now.Sub(t.fullSince) > standingAfter*r.TargetLatency
}

// queueLife is how long what a target told of its queue counts where that queue stands: targets answer
// each entry VM less often then, and a queue that is forgotten between two answers fills up.
const queueLife = 2 * time.Second

// lateBehind says that the request would be answered after its target latency.
func (s *Balancer) lateBehind(t *target, q Request, c Choice, now time.Time) bool {
	load := float64(t.inFlight) + t.othersIn(now, c.wait > 0)
	wait := max(0, (load+1-t.slots())/t.slots()) * float64(s.expected(q, true))
	if wait <= 0 {
		return false
	}
	return c.finish-c.wait+time.Duration(wait) > q.Route.TargetLatency
}

// othersIn estimates the requests of others in a queue that stands. Where the choice knows of no wait, its target's last
// word is old, and what it told of is taken to go by and by.
func (t *target) othersIn(now time.Time, waits bool) float64 {
	age := now.Sub(t.othersAt)
	switch {
	case age > queueLife:
		return 0
	case waits:
		return t.others
	default:
		return t.others * (1 - float64(age)/float64(queueLife))
	}
}

// standingAfter is how many target latencies a queue may last: cold runs at the start of a day and a
// burst of some seconds are over by then, and refusing earlier loses answers that callers still take.
const standingAfter = 8

// queueMost is the load over slots beyond which a target sheds: three waiting for each slot.
const queueMost = 4.0
