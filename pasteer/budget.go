package pasteer

import "time"

// budgetShare is the part of the retry budget that is used. The rest covers windows that differ from
// the platform's and an entry VM more or less than is known.
const budgetShare = 0.75

// windowBuckets is the number of parts of a window.
const windowBuckets = 10

// rollingCounter counts requests and further attempts over the last RetryWindow.
type rollingCounter struct {
	ticks    [windowBuckets]int64
	requests [windowBuckets]int
	events   [windowBuckets]int
}

func (w *rollingCounter) bucketAt(now time.Time, length time.Duration) int {
	tick := now.UnixNano() / int64(length/windowBuckets)
	i := int(tick % windowBuckets)
	if w.ticks[i] != tick {
		w.ticks[i], w.requests[i], w.events[i] = tick, 0, 0
	}
	return i
}

func (w *rollingCounter) totals(now time.Time, length time.Duration) (requests, events int) {
	tick := now.UnixNano() / int64(length/windowBuckets)
	for i := range w.ticks {
		if w.ticks[i] > tick-windowBuckets {
			requests += w.requests[i]
			events += w.events[i]
		}
	}
	return requests, events
}

// countRequest counts a request for the service.
func (b *Balancer) countRequest(svc *service, now time.Time) {
	svc.budget.requests[svc.budget.bucketAt(now, b.Config.RetryWindow)]++
}

// TakeRetry spends one further attempt of the service's budget and says whether there was one.
//
// Load: many targets fail or shed at once. Harm prevented: further attempts take slots from first
// ones when there are none to spare. The floor is shared evenly among entry VMs, so that no message
// is needed to keep their sum within it.
func (b *Balancer) TakeRetry(service string, now time.Time) bool {
	svc := b.services[service]
	if svc == nil {
		return false
	}
	requests, retries := svc.budget.totals(now, b.Config.RetryWindow)
	limit := budgetShare * (b.Config.RetryRatio*float64(requests) + b.Config.RetryFloor/float64(b.entryCount))
	if b.Config.Off.SecondSends || float64(retries+1) > limit && !b.Config.Off.RetryBudget {
		return false
	}
	svc.budget.events[svc.budget.bucketAt(now, b.Config.RetryWindow)]++
	return true
}
