package pasteer

import (
	"slices"
	"time"

	"papayahead/paroute"
)

const (
	// homesTime is the time of cold runs that an object's homes may cost one after the other; by it an
	// object of quick work has more homes, of which one is sooner near, than one of long work.
	homesTime = 3 * time.Second
	// homesMost bounds the homes: beyond it the chance of a near one hardly rises.
	homesMost = 6
)

// homesOf returns how many targets of the ranking may be an object's home. Its first is, but where that
// is in another region, the first of them in the own one is. A cold run takes about the target latency.
func (s *Balancer) homesOf(r *paroute.Route) int {
	if s.Config.Off.FurtherHomes {
		return 1
	}
	if r.TargetLatency <= 0 {
		return homesMost
	}
	return max(1, min(homesMost, int((homesTime+r.TargetLatency/2)/r.TargetLatency)))
}

// firstHome returns the index of the first candidate whose region is not pressed, or of the first of all.
func (s *Balancer) firstHome(g *service, all []candidate, q Request, now time.Time) int {
	i := slices.IndexFunc(all, func(c candidate) bool { return s.pressOf(g, c.target.region, q, now) == 0 })
	return max(0, i)
}

// mayBeHome says whether an object may run cold at the candidate i: at the first home, or at one of the next few
// that is in the own region where the first is not.
func (s *Balancer) mayBeHome(g *service, all []candidate, first, i int, q Request, now time.Time) bool {
	return i == first || s.isFurtherHome(all, first, i, q.Route) && s.pressOf(g, all[i].target.region, q, now) == 0
}

// isFurtherHome says whether the candidate i is a home beside the first.
func (s *Balancer) isFurtherHome(all []candidate, first, i int, r *paroute.Route) bool {
	return i > first && i < first+s.homesOf(r) && all[i].target.near < nearNone && all[first].target.near == nearNone
}

// homeOf returns the index of the candidate where an object runs first as long as no target is full and no region pressed.
func (s *Balancer) homeOf(all []candidate, r *paroute.Route) int {
	for i := range all {
		if all[i].target.near < nearNone && (i == 0 || s.isFurtherHome(all, 0, i, r)) {
			return i
		}
	}
	return 0
}
