package pasteer

import (
	"slices"
	"time"
)

const (
	// shiftWindow is the time over which the platform bounds how much of a region's traffic changes its region.
	shiftWindow = 2 * time.Second
	// shiftShare is the part of that bound which is spent on requests that go elsewhere than before: the
	// requests that follow for the same objects change their region with them.
	shiftShare = 0.5
	// placesMost is how many objects' targets are remembered, twice over: those of a few minutes.
	placesMost = 4096
)

// places remembers the target that handled each object last, by the object's hash: callers choose how long their
// names are. The zero value is ready.
type places struct {
	recent, older map[uint64]string
}

func (p *places) get(object uint64) string {
	if t, ok := p.recent[object]; ok {
		return t
	}
	return p.older[object]
}

func (p *places) put(object uint64, target string) {
	if p.recent == nil || len(p.recent) >= placesMost {
		p.older, p.recent = p.recent, map[uint64]string{}
	}
	p.recent[object] = target
}

// placeKey is the key of the request's place: what is bound to some regions says nothing of where the rest should go.
func (q Request) placeKey() uint64 {
	key := q.key()
	for _, r := range q.Regions {
		key ^= hashOf(q.Service, r)
	}
	return key
}

// settled returns the region that the request goes to if nothing shifts: that of the target of the object's
// last request here, of one that is warm by what neighbours tell, or of its home. It is empty where the object
// has to move: its target drains, its availability zone is evacuated, or none in that region is usable.
//
// Load: the entry VMs of a region are stopped, and their callers come here. Harm prevented: taken for requests of
// this region, they were kept in it, and each object ran cold though it was warm where it had always run.
func (s *Balancer) settled(g *service, all, usable []candidate, q Request, now time.Time) string {
	if !q.bound() || len(q.Tried) > 0 {
		return ""
	}
	home := all[s.homeOf(all, q.Route)].target
	if last := s.places.get(q.placeKey()); last != "" {
		home = s.targets[last]
	} else if i := slices.IndexFunc(usable, func(c candidate) bool { return c.target.warm.has(q.key(), now) }); i >= 0 {
		home = usable[i].target
	}
	if home == nil || !mayHandle(home, q) {
		return ""
	}
	if slices.ContainsFunc(usable, func(c candidate) bool { return c.target.region == home.region }) || s.firstIn(g, home.region, q, now) != nil {
		return home.region
	}
	return ""
}

// mayShift says whether one more request may change its region now.
//
// Load: the targets of a small region are full, and all that waits there looks quicker elsewhere. Harm
// prevented: half of the region's traffic moves within two seconds onto links and targets that others use,
// and each object that moves runs cold there first. What does not fit waits or is refused, and moves at the
// pace that the platform allows.
func (s *Balancer) mayShift(now time.Time) bool {
	if s.Config.MaxShift <= 0 || s.Config.Off.ShiftBound {
		return true
	}
	requests, shifted := s.shifts.sums(now, shiftWindow)
	return float64(shifted) < max(1, s.Config.MaxShift*shiftShare*float64(requests))
}

// notePlace counts a request that is sent. What a second attempt reaches says nothing of where the object's
// next request should go.
func (s *Balancer) notePlace(c Choice, q Request, now time.Time) {
	if !q.bound() || len(q.Tried) > 0 {
		return
	}
	i := s.shifts.slot(now, shiftWindow)
	s.shifts.first[i]++
	if c.Shifted {
		s.shifts.further[i]++
	}
	s.places.put(q.placeKey(), c.Target)
}
