package pasteer

import (
	"slices"
	"time"

	"papayahead/paroute"
)

const (
	// coldRunBudget is the total time of the cold runs that an object may cost at all its homes. Objects with short runs
	// thus have more homes, of which one is more likely to be near.
	coldRunBudget = 3 * time.Second
	// maxHomes is the most homes of an object; with more of them a near one is hardly more likely.
	maxHomes = 6
)

// homeCount returns how many targets of an object's ranking are considered for its home. The home is the first of the ranking.
// If that is in another region, it is the first of the next homeCount-1 targets that is in this region. The count assumes
// that a cold run takes the target latency.
func (b *Balancer) homeCount(r *paroute.Route) int {
	if b.Config.Off.FurtherHomes {
		return 1
	}
	if r.TargetLatency <= 0 {
		return maxHomes
	}
	return max(1, min(maxHomes, int((coldRunBudget+r.TargetLatency/2)/r.TargetLatency)))
}

// firstUncongested returns the index of the first candidate whose region is not congested, or 0.
func (b *Balancer) firstUncongested(svc *service, all []candidate, q Request, now time.Time) int {
	i := slices.IndexFunc(all, func(c candidate) bool { return b.congestion(svc, c.target.region, q, now) == 0 })
	return max(0, i)
}

// mayRunCold reports whether an object may run cold at candidate i: at the first home or, if that is in another region,
// at one of the next few in this region, unless this region is congested.
func (b *Balancer) mayRunCold(svc *service, all []candidate, first, i int, q Request, now time.Time) bool {
	return i == first || b.isAlternateHome(all, first, i, q.Route) && b.congestion(svc, all[i].target.region, q, now) == 0
}

// isAlternateHome reports whether candidate i is a home in this region while the first home is in another one.
func (b *Balancer) isAlternateHome(all []candidate, first, i int, r *paroute.Route) bool {
	return i > first && i < first+b.homeCount(r) && all[i].target.distance < otherRegion && all[first].target.distance == otherRegion
}

// defaultHome returns the index of the candidate where an object runs first if no target is full and no region congested.
func (b *Balancer) defaultHome(all []candidate, r *paroute.Route) int {
	for i := range all {
		if all[i].target.distance < otherRegion && (i == 0 || b.isAlternateHome(all, 0, i, r)) {
			return i
		}
	}
	return 0
}
