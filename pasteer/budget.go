package pasteer

import "time"

// budgetShare is the part of the retry budget that is used. The rest covers windows that differ from
// the platform's and an entry VM more or less than is known.
const budgetShare = 0.75

// windowSlots is the number of parts of a window.
const windowSlots = 10

// window counts requests and further attempts over the last RetryWindow.
type window struct {
	start   [windowSlots]int64
	first   [windowSlots]int
	further [windowSlots]int
}

func (w *window) slot(now time.Time, length time.Duration) int {
	tick := now.UnixNano() / int64(length/windowSlots)
	i := int(tick % windowSlots)
	if w.start[i] != tick {
		w.start[i], w.first[i], w.further[i] = tick, 0, 0
	}
	return i
}

func (w *window) sums(now time.Time, length time.Duration) (first, further int) {
	tick := now.UnixNano() / int64(length/windowSlots)
	for i := range w.start {
		if w.start[i] > tick-windowSlots {
			first += w.first[i]
			further += w.further[i]
		}
	}
	return first, further
}

// countFirst counts a request for the service.
func (s *Balancer) countFirst(g *service, now time.Time) {
	g.budget.first[g.budget.slot(now, s.Config.RetryWindow)]++
}

// TakeRetry spends one further attempt of the service's budget and says whether there was one.
//
// Load: many targets fail or shed at once. Harm prevented: further attempts take slots from first
// ones when there are none to spare. The floor is shared evenly among entry VMs, so that no message
// is needed to keep their sum within it.
func (s *Balancer) TakeRetry(name string, now time.Time) bool {
	g := s.services[name]
	if g == nil {
		return false
	}
	first, further := g.budget.sums(now, s.Config.RetryWindow)
	most := budgetShare * (s.Config.RetryRatio*float64(first) + s.Config.RetryFloor/float64(s.entries))
	if s.Config.Off.SecondSends || float64(further+1) > most && !s.Config.Off.RetryBudget {
		return false
	}
	g.budget.further[g.budget.slot(now, s.Config.RetryWindow)]++
	return true
}
