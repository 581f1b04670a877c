package pasteer

import (
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
func (s *Steer) homesOf(r *paroute.Route) int {
	if s.Config.Off.FurtherHomes {
		return 1
	}
	if r.TargetLatency <= 0 {
		return homesMost
	}
	return max(1, min(homesMost, int((homesTime+r.TargetLatency/2)/r.TargetLatency)))
}

// mayBeHome says whether an object may run cold at the candidate i: at the first, or at one of the next few
// that is in the own region where the first is not.
func (s *Steer) mayBeHome(all []candidate, i int, r *paroute.Route) bool {
	if i == 0 {
		return true
	}
	return i < s.homesOf(r) && all[i].target.near < nearNone && all[0].target.near == nearNone
}

// homeOf returns the index of the candidate where an object runs first as long as no target is full.
func (s *Steer) homeOf(all []candidate, r *paroute.Route) int {
	for i := range all {
		if all[i].target.near < nearNone && s.mayBeHome(all, i, r) {
			return i
		}
	}
	return 0
}
