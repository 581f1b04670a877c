package pasteer

import (
	"slices"
	"time"

	"papayahead/pahash"
	"papayahead/pamix"
)

const (
	// shiftWindow is the time over which the platform limits the fraction of a region's traffic that changes region.
	shiftWindow = pamix.Window
	// shiftShare is the fraction of that limit that is used for requests whose object changes region. The rest is for the
	// following requests for these objects, which change region with them.
	shiftShare = 0.5
	// maxLastTargets is how many objects each of the two generations of lastTargets holds: together a few minutes of them.
	maxLastTargets = 4096
)

// lastTargets records the target that last handled each object. It stores hashes of objects, since callers choose the
// length of the names. The zero value is ready for use.
type lastTargets struct {
	recent, previous map[uint64]string
}

func (l *lastTargets) get(object uint64) string {
	if t, ok := l.recent[object]; ok {
		return t
	}
	return l.previous[object]
}

func (l *lastTargets) put(object uint64, target string) {
	if l.recent == nil || len(l.recent) >= maxLastTargets {
		l.previous, l.recent = l.recent, map[uint64]string{}
	}
	l.recent[object] = target
}

// lastTargetKey is the request's key in lastTargets. It includes the regions that the workspace allows, since requests that
// are restricted to some regions do not tell where the others should go.
func (q Request) lastTargetKey() uint64 {
	key := q.key()
	for _, r := range q.Regions {
		key ^= pahash.Pair(q.Service, r)
	}
	return key
}

// currentRegion returns the region in which the request's object runs now: that of the target of its last request at this
// entry VM, else of a target that is warm for it according to neighbours, else of its home. It is empty if the object has
// to move: its target drains, the target's availability zone is evacuated, or no target in that region is usable.
//
// When the entry VMs of a region are stopped, their callers come here. Treated as requests of this region they would be
// held in it, and each object would run cold although it is warm where it ran before.
func (b *Balancer) currentRegion(svc *service, all, usable []candidate, q Request, now time.Time) string {
	if !q.hasAffinity() || len(q.Tried) > 0 {
		return ""
	}
	current := all[b.defaultHome(all, q.Route)].target
	if last := b.lastTargets.get(q.lastTargetKey()); last != "" {
		current = b.targets[last]
	} else if i := slices.IndexFunc(usable, func(c candidate) bool { return c.target.warm.has(q.key(), now) }); i >= 0 {
		current = usable[i].target
	}
	if current == nil || !eligible(current, q) {
		return ""
	}
	if slices.ContainsFunc(usable, func(c candidate) bool { return c.target.region == current.region }) ||
		b.bestInRegion(svc, current.region, q, now) != nil {
		return current.region
	}
	return ""
}

// mayShift reports whether one more request may change its region now.
//
// When the targets of a small region are full, other regions seem faster to all requests that wait there. Without the limit
// half of the region's traffic moves within two seconds to links and targets that others use, and each object that moves
// first runs cold there. With it the remaining requests wait or are refused, and move at the rate that the platform allows.
func (b *Balancer) mayShift(now time.Time) bool {
	if b.Config.MaxShift <= 0 || b.Config.Off.ShiftBound {
		return true
	}
	requests, shifted := b.shifts.totals(now, shiftWindow)
	return float64(shifted) < max(1, b.Config.MaxShift*shiftShare*float64(requests))
}

// recordSent counts a request that is sent and records its target. It ignores retries, since the target of a retry does not
// tell where the object's next request should go.
func (b *Balancer) recordSent(c Choice, q Request, now time.Time) {
	if t := b.targets[c.Target]; t != nil && b.countsInMix(q) {
		b.mix.Send(t.region, now)
	}
	if !q.hasAffinity() || len(q.Tried) > 0 {
		return
	}
	i := b.shifts.bucketAt(now, shiftWindow)
	if !b.countedByReceiver(q) {
		b.shifts.requests[i]++
	}
	if c.Shifted {
		b.shifts.events[i]++
	}
	b.lastTargets.put(q.lastTargetKey(), c.Target)
}
