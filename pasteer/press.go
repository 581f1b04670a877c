package pasteer

import (
	"math"
	"time"
)

const (
	// pressWeight is the weight of the latest run in how much longer than usual runs in a region take, and pressHalf the
	// time in which that is half forgotten.
	pressWeight = 0.1
	pressHalf   = 5 * time.Second
	// pressShare is the part of the target latency by which runs must take longer for the region to count as pressed.
	pressShare = 0.35
)

// press is how much longer than usual the runs at a service's targets in a region take. The zero value is not at all.
type press struct {
	extra time.Duration
	at    time.Time
}

// now returns it as far as it is not forgotten.
func (p *press) now(now time.Time) time.Duration {
	if p == nil || p.extra == 0 {
		return 0
	}
	return time.Duration(float64(p.extra) * math.Exp2(-float64(now.Sub(p.at))/float64(pressHalf)))
}

// add takes a run that took longer than usual by some time, or not.
func (p *press) add(extra time.Duration, now time.Time) {
	was := p.now(now)
	p.extra, p.at = was+time.Duration(pressWeight*float64(max(0, extra)-was)), now
}

// notePress takes a run at a target.
func (s *Balancer) notePress(t *target, r Report, now time.Time) {
	g, usual := s.services[t.member.Service], s.workOf(r.Route).of(r.Warm)
	if g == nil || usual == 0 {
		return
	}
	p := g.press[t.region]
	if p == nil {
		p = &press{}
		g.press[t.region] = p
	}
	extra := r.Duration - wayTime[t.near] - usual
	if r.LoadKnown && r.Waiting == 0 {
		// Nothing waits: the work itself took longer.
		extra = 0
	}
	p.add(extra, now)
}

// pressOf returns how much longer than usual a run in a region is taken to last, if that is enough to go elsewhere.
//
// Load: a region with few targets and many callers, some of whose requests may run nowhere else. Harm prevented: what
// may run elsewhere fills its queues, since each entry VM sees few of the requests there and takes its targets for
// free; all wait there longer than their target latency while targets of other regions have nothing to do.
func (s *Balancer) pressOf(g *service, region string, q Request, now time.Time) time.Duration {
	if s.Config.Off.PressedRegions || len(q.Regions) > 0 {
		return 0
	}
	extra, most := g.press[region].now(now), time.Duration(pressShare*float64(q.Route.TargetLatency))
	if extra < most {
		return 0
	}
	for other := range g.regions {
		if other != region && q.allows(other) && g.press[other].now(now) < most/2 {
			return extra
		}
	}
	// No region does better: what moves would run cold, and be behind all the same.
	return 0
}
