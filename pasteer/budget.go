package pasteer

import "time"

// budgetShare is the fraction of the retry budget that is used. The rest allows for windows that are not aligned with the
// platform's and for a count of entry VMs that is off by one.
const budgetShare = 0.75

// windowBuckets is the number of buckets of a rollingCounter.
const windowBuckets = 10

// rollingCounter counts, over a rolling window, requests and the retries or region shifts among them. The zero value is
// ready for use.
type rollingCounter struct {
	// ticks holds the bucket number that each bucket was last reset for.
	ticks    [windowBuckets]int64
	requests [windowBuckets]int
	events   [windowBuckets]int
}

// bucketAt returns the index of the current bucket, after resetting it if it is from an earlier window.
func (c *rollingCounter) bucketAt(now time.Time, length time.Duration) int {
	tick := now.UnixNano() / int64(length/windowBuckets)
	i := int(tick % windowBuckets)
	if c.ticks[i] != tick {
		c.ticks[i], c.requests[i], c.events[i] = tick, 0, 0
	}
	return i
}

// totals returns the sums over the window of the given length that ends now.
func (c *rollingCounter) totals(now time.Time, length time.Duration) (requests, events int) {
	tick := now.UnixNano() / int64(length/windowBuckets)
	for i := range c.ticks {
		if c.ticks[i] > tick-windowBuckets {
			requests += c.requests[i]
			events += c.events[i]
		}
	}
	return requests, events
}

// countRequest adds a request to those that the service's retry budget is computed from.
func (b *Balancer) countRequest(svc *service, now time.Time) {
	svc.budget.requests[svc.budget.bucketAt(now, b.Config.RetryWindow)]++
}

// TakeRetry takes one retry from the service's budget and reports whether there was one.
//
// Retries are bounded because they compete with first attempts for slots. When many targets fail or shed requests at once,
// no slots are to spare, and unbounded retries would add to the overload. RetryFloor is divided evenly among the entry VMs,
// so that all of them together stay within it without exchanging messages.
func (b *Balancer) TakeRetry(service string, now time.Time) bool {
	svc := b.services[service]
	if svc == nil {
		return false
	}
	requests, retries := svc.budget.totals(now, b.Config.RetryWindow)
	if b.Config.Off.SecondSends || float64(retries+1) > b.retryLimit(requests) && !b.Config.Off.RetryBudget {
		return false
	}
	svc.budget.events[svc.budget.bucketAt(now, b.Config.RetryWindow)]++
	return true
}

// retryLimit returns how many retries the budget allows beside a number of requests.
func (b *Balancer) retryLimit(requests int) float64 {
	return budgetShare * (b.Config.RetryRatio*float64(requests) + b.Config.RetryFloor/float64(b.entryCount))
}

// RetriesLeft returns how many retries of a service the budget allows now, and the number of entry VMs that share it.
func (b *Balancer) RetriesLeft(service string, now time.Time) (left float64, entries int) {
	svc := b.services[service]
	if svc == nil {
		return 0, b.entryCount
	}
	requests, retries := svc.budget.totals(now, b.Config.RetryWindow)
	return b.retryLimit(requests) - float64(retries), b.entryCount
}

// RetrySharers returns the number of entry VMs that share the retry budgets.
func (b *Balancer) RetrySharers() int { return b.entryCount }
