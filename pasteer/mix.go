package pasteer

import "time"

// countsInMix reports whether the request is one of this entry VM's own callers that is sent or refused for the first time. It is
// counted once, when it arrives.
func (b *Balancer) countsInMix(q Request) bool {
	return len(q.Tried) == 0 && len(q.Unreached) == 0 && !q.Direct && !b.countedByReceiver(q)
}

// arriveInMix counts a request that arrives.
func (b *Balancer) arriveInMix(now time.Time) {
	if b.mix.Advance(now) {
		b.mix.SetTargets(b.reachableByRegion(now), now)
	}
	b.mix.Arrive(now)
}

// reachableByRegion counts the targets by region that are expected to answer.
func (b *Balancer) reachableByRegion(now time.Time) map[string]int {
	n := map[string]int{}
	for _, t := range b.targets {
		if b.reachable(t, now) {
			n[t.region]++
		}
	}
	return n
}

// mayRunIn reports whether one more request of the region's callers may run in a region.
//
// When the callers of several zones come to this region, its targets are full at once. The requests whose objects run in other
// regions are served there, the others are refused, so that most of what runs changes its region within a second. With this bound the
// former are refused as well beyond what the platform allows.
func (b *Balancer) mayRunIn(region string, now time.Time) bool {
	return b.Config.MaxShift <= 0 || b.Config.Off.MixBound || b.mix.Allows(region, b.Config.MaxShift, now)
}
