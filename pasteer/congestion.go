package pasteer

import (
	"math"
	"time"
)

const (
	// excessWeight is the weight of the latest run in the moving average of an excessTime, and excessHalfLife the time in
	// which the average decays to a half.
	excessWeight   = 0.1
	excessHalfLife = 5 * time.Second
	// congestedRatio is the fraction of the target latency by which runs must exceed their usual time for the region to
	// count as congested.
	congestedRatio = 0.35
)

// excessTime is a decaying average of how much longer than usual the runs at a service's targets in a region take. The zero
// value is an average of 0.
type excessTime struct {
	value time.Duration
	at    time.Time
}

// decayed returns the average, decayed until now.
func (e *excessTime) decayed(now time.Time) time.Duration {
	if e == nil || e.value == 0 {
		return 0
	}
	return time.Duration(float64(e.value) * math.Exp2(-float64(now.Sub(e.at))/float64(excessHalfLife)))
}

// observe adds a run to the average. A negative excess counts as 0.
func (e *excessTime) observe(excess time.Duration, now time.Time) {
	previous := e.decayed(now)
	e.value, e.at = previous+time.Duration(excessWeight*float64(max(0, excess)-previous)), now
}

// observeExcess adds a run at a target to the average of the target's region.
func (b *Balancer) observeExcess(t *target, r Report, now time.Time) {
	svc, usual := b.services[t.state.Service], b.runTimesOf(r.Route).of(r.Warm)
	if svc == nil || usual == 0 {
		return
	}
	average := svc.excess[t.region]
	if average == nil {
		average = &excessTime{}
		svc.excess[t.region] = average
	}
	excess := r.Duration - roundTripTime[t.distance] - usual
	if r.LoadKnown && r.Waiting == 0 {
		// Nothing is queued at the target: the run itself took longer.
		excess = 0
	}
	average.observe(excess, now)
}

// congestion returns how much longer than usual a run in the region is expected to take if that justifies sending the
// request to another region, and 0 otherwise.
//
// A region may have few targets and many callers, and some of their requests may run nowhere else. Each entry VM sees few
// of the requests there and takes the targets for free, so that requests that may run elsewhere fill the queues. All of
// them then exceed their target latency while targets of other regions are idle.
func (b *Balancer) congestion(svc *service, region string, q Request, now time.Time) time.Duration {
	if b.Config.Off.PressedRegions || len(q.Regions) > 0 {
		return 0
	}
	excess, threshold := svc.excess[region].decayed(now), time.Duration(congestedRatio*float64(q.Route.TargetLatency))
	if excess < threshold {
		return 0
	}
	for other := range svc.byRegion {
		if other != region && q.allows(other) && svc.excess[other].decayed(now) < threshold/2 {
			return excess
		}
	}
	// No other region is better: requests that move would run cold and be late all the same.
	return 0
}
