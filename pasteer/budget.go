package pasteer

import (
	"time"

	"papayahead/paretry"
)

// windowBuckets is the number of buckets of a rollingCounter.
const windowBuckets = 10

// rollingCounter counts, over a rolling window, requests and the region shifts among them. The zero value is
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

// retryAllowance is what the platform allows all entry VMs together.
func (b *Balancer) retryAllowance() paretry.Allowance {
	return paretry.Allowance{Ratio: b.Config.RetryRatio, Floor: b.Config.RetryFloor, Window: b.Config.RetryWindow}
}

// countRequest adds a request to those that earn the service's retries.
func (b *Balancer) countRequest(svc *service, now time.Time) {
	svc.retries.Deposit(b.retryAllowance(), now)
}

// AccrueRetries adds what the retry budgets of all services earn by time. part returns this entry VM's part of a budget's floor that is
// divided into a number of parts. It is to be called several times a second.
func (b *Balancer) AccrueRetries(part func(service string, parts int) float64, now time.Time) {
	a := b.retryAllowance()
	for name, svc := range b.services {
		svc.retries.Accrue(a, part(name, a.FloorParts()), now)
	}
}

// TakeRetry takes one retry from the service's budget and reports whether there was one.
//
// Retries are bounded because they compete with first attempts for slots. When many targets fail or shed requests at once,
// no slots are to spare, and unbounded retries would add to the overload.
func (b *Balancer) TakeRetry(service string, now time.Time) bool {
	svc := b.services[service]
	if svc == nil || b.Config.Off.SecondSends {
		return false
	}
	return svc.retries.TryWithdraw(now) || b.Config.Off.RetryBudget
}

// RetriesLeft returns how many retries of a service the budget allows now.
func (b *Balancer) RetriesLeft(service string, now time.Time) float64 {
	svc := b.services[service]
	if svc == nil {
		return 0
	}
	return svc.retries.Left(now)
}
