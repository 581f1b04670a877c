package pasteer

import (
	"slices"
	"time"

	"papayahead/paroute"
)

const (
	// coldRunBudget is the time of cold runs that an object's homes may cost one after the other; by it an
	// object of quick work has more homes, of which one is sooner near, than one of long work.
	coldRunBudget = 3 * time.Second
	// maxHomes bounds the homes: beyond it the chance of a near one hardly rises.
	maxHomes = 6
)

// homeCount returns how many targets of the ranking may be an object's home. Its first is, but where that
// is in another region, the first of them in the own one is. A cold run takes about the target latency.
func (b *Balancer) homeCount(r *paroute.Route) int {
	if b.Config.Off.FurtherHomes {
		return 1
	}
	if r.TargetLatency <= 0 {
		return maxHomes
	}
	return max(1, min(maxHomes, int((coldRunBudget+r.TargetLatency/2)/r.TargetLatency)))
}

// firstUncongested returns the index of the first candidate whose region is not pressed, or of the first of all.
func (b *Balancer) firstUncongested(svc *service, all []candidate, q Request, now time.Time) int {
	i := slices.IndexFunc(all, func(c candidate) bool { return b.congestion(svc, c.target.region, q, now) == 0 })
	return max(0, i)
}

// mayRunCold says whether an object may run cold at the candidate i: at the first home, or at one of the next few
// that is in the own region where the first is not.
func (b *Balancer) mayRunCold(svc *service, all []candidate, first, i int, q Request, now time.Time) bool {
	return i == first || b.isAlternateHome(all, first, i, q.Route) && b.congestion(svc, all[i].target.region, q, now) == 0
}

// isAlternateHome says whether the candidate i is a home beside the first.
func (b *Balancer) isAlternateHome(all []candidate, first, i int, r *paroute.Route) bool {
	return i > first && i < first+b.homeCount(r) && all[i].target.distance < otherRegion && all[first].target.distance == otherRegion
}

// defaultHome returns the index of the candidate where an object runs first as long as no target is full and no region pressed.
func (b *Balancer) defaultHome(all []candidate, r *paroute.Route) int {
	for i := range all {
		if all[i].target.distance < otherRegion && (i == 0 || b.isAlternateHome(all, 0, i, r)) {
			return i
		}
	}
	return 0
}
