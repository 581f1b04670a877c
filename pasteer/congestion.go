package pasteer

import (
	"math"
	"time"
)

const (
	// excessWeight is the weight of the latest run in how much longer than usual runs in a region take, and pressHalf the
	// time in which that is half forgotten.
	excessWeight   = 0.1
	excessHalfLife = 5 * time.Second
	// congestedRatio is the part of the target latency by which runs must take longer for the region to count as pressed.
	congestedRatio = 0.35
)

// excessTime is how much longer than usual the runs at a service's targets in a region take. The zero value is not at all.
type excessTime struct {
	value time.Duration
	at    time.Time
}

// decayed returns it as far as it is not forgotten.
func (p *excessTime) decayed(now time.Time) time.Duration {
	if p == nil || p.value == 0 {
		return 0
	}
	return time.Duration(float64(p.value) * math.Exp2(-float64(now.Sub(p.at))/float64(excessHalfLife)))
}

// observe takes a run that took longer than usual by some time, or not.
func (p *excessTime) observe(excess time.Duration, now time.Time) {
	previous := p.decayed(now)
	p.value, p.at = previous+time.Duration(excessWeight*float64(max(0, excess)-previous)), now
}

// observeExcess takes a run at a target.
func (b *Balancer) observeExcess(t *target, r Report, now time.Time) {
	svc, usual := b.services[t.member.Service], b.runTimesOf(r.Route).of(r.Warm)
	if svc == nil || usual == 0 {
		return
	}
	p := svc.excess[t.region]
	if p == nil {
		p = &excessTime{}
		svc.excess[t.region] = p
	}
	excess := r.Duration - roundTripTime[t.distance] - usual
	if r.LoadKnown && r.Waiting == 0 {
		// Nothing waits: the work itself took longer.
		excess = 0
	}
	p.observe(excess, now)
}

// congestion returns how much longer than usual a run in a region is taken to last, if that is enough to go elsewhere.
//
// Load: a region with few targets and many callers, some of whose requests may run nowhere else. Harm prevented: what
// may run elsewhere fills its queues, since each entry VM sees few of the requests there and takes its targets for
// free; all wait there longer than their target latency while targets of other regions have nothing to do.
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
	// No region does better: what moves would run cold, and be behind all the same.
	return 0
}
