package pasteer

import (
	"cmp"
	"slices"
	"time"
)

// candidate is an eligible target for a request.
type candidate struct {
	ranked
	// usable is set if the target may get the request now. A target that is in backoff or unresponsive, or cold and gets
	// as many requests as it bears, is not usable but remains the home of its objects. avoided is set if it is not usable because
	// others are preferred.
	usable, avoided bool
}

// shortlist contains the targets that a decision compares.
type shortlist struct {
	// all are the eligible targets, best first.
	all []candidate
	// usable is the number of usable ones; coldLimited is set if a cold target is not usable because of its request rate.
	usable      int
	coldLimited bool
	// avoided is how many are not usable because others are preferred.
	avoided int
	// limitWait is the shortest time until a target may get a request that is not usable because of the limit that it names;
	// limited is set if there is one.
	limited   bool
	limitWait time.Duration
	// pushbackWait is the shortest time until a target may get a request that wants none now; pushedBack is set if there is one, and
	// unavailable if there is one that is not usable because requests to it fail.
	pushedBack   bool
	pushbackWait time.Duration
	unavailable  bool
}

// maxPerDistance is how many targets of each distance are compared for a request without affinity.
const maxPerDistance = 16

// buildShortlist returns the targets to compare for a request: with affinity, the first ones of the object's ranking and
// those that are warm for it; without, some of each distance. If too few of them are usable, it returns all eligible
// targets of the service.
func (b *Balancer) buildShortlist(svc *service, q Request, now time.Time) shortlist {
	l := shortlist{all: b.scratch[:0]}
	if q.hasAffinity() {
		for _, r := range svc.rankings.get(q.key(), svc.targets) {
			b.addCandidate(&l, r, q, now)
		}
		for _, t := range b.warmTargets[q.key()] {
			if !l.has(t) {
				b.addCandidate(&l, ranked{t, rendezvousWeight(q.key(), t.hash)}, q, now)
			}
		}
	} else {
		svc.rotation++
		for _, all := range svc.byDistance {
			for i := range min(maxPerDistance, len(all)) {
				b.addCandidate(&l, ranked{target: all[svc.rotatedIndex(i, len(all))]}, q, now)
			}
		}
	}
	if l.usable < min(maxHomes, len(svc.targets)) {
		return b.fullList(svc, q, now)
	}
	return b.sorted(l, q)
}

// fullList returns all eligible targets of the service.
func (b *Balancer) fullList(svc *service, q Request, now time.Time) shortlist {
	l := shortlist{all: b.scratch[:0]}
	for i := range svc.targets {
		t := svc.targets[svc.rotatedIndex(i, len(svc.targets))]
		b.addCandidate(&l, ranked{t, rendezvousWeight(q.key(), t.hash)}, q, now)
	}
	return b.sorted(l, q)
}

// rotatedIndex returns the index of the i-th target of a list that is rotated by one with each request without affinity,
// and by a different amount on each entry VM.
//
// While there are more slots than requests, the first of several equal targets in the list would otherwise get the requests
// of all entry VMs, and the others would be cold when they are needed.
func (svc *service) rotatedIndex(i, targets int) int {
	return int((svc.rotation + uint64(i)) % uint64(targets))
}

// sorted sorts the list, with affinity by the object's ranking and else by distance.
func (b *Balancer) sorted(l shortlist, q Request) shortlist {
	b.scratch = l.all
	if q.hasAffinity() {
		slices.SortFunc(l.all, byRank)
	} else {
		slices.SortStableFunc(l.all, func(a, b candidate) int { return cmp.Compare(a.target.distance, b.target.distance) })
	}
	return l
}

func (l *shortlist) has(t *target) bool {
	return slices.ContainsFunc(l.all, func(c candidate) bool { return c.target == t })
}

// byRank orders candidates by their rendezvous weight, the highest first.
func byRank(a, b candidate) int { return cmp.Compare(b.hash, a.hash) }

// addCandidate adds a target to the list if it is eligible.
func (b *Balancer) addCandidate(l *shortlist, r ranked, q Request, now time.Time) {
	t := r.target
	if !eligible(t, q) {
		return
	}
	c := candidate{ranked: r, usable: b.available(t, now)}
	if wait := t.pushbackWait(now); wait > 0 {
		if !l.pushedBack || wait < l.pushbackWait {
			l.pushedBack, l.pushbackWait = true, wait
		}
	} else if !c.usable {
		l.unavailable = true
	}
	if c.usable && !t.viaRelay && t.isCold(now) && !b.mayTakeCold(t, now) {
		c.usable, l.coldLimited = false, true
	}
	if c.usable && !t.viaRelay && !b.mayTakeLimited(t, now) {
		c.usable = false
		if wait := t.limitWait(now); !l.limited || wait < l.limitWait {
			l.limited, l.limitWait = true, wait
		}
	}
	if c.usable && t.isAvoided(now) {
		c.usable, c.avoided = false, true
		l.avoided++
	}
	if c.usable {
		l.usable++
	}
	l.all = append(l.all, c)
}

// eligible reports whether the target may handle the request at all: it is not excluded, in an allowed region, not tried
// yet, wants requests of the entry VM that received this one, and is within reach of this entry VM if no other may take the request.
func eligible(t *target, q Request) bool {
	if t.excluded || !q.allows(t.region) || slices.Contains(q.Tried, t.state.ID) || slices.Contains(q.Avoid, t.state.ID) {
		return false
	}
	if t.viaRelay {
		return !q.Direct
	}
	return !slices.Contains(q.Unreached, t.state.ID)
}

// mayTakeCold reports whether the rate limit of a cold target allows this entry VM to send it a request now.
func (b *Balancer) mayTakeCold(t *target, now time.Time) bool {
	return b.Config.Off.ColdShares || !now.Before(t.coldBucket.refilledAt) && b.coldRate(t, now) > 0
}

// usableNow reports whether the target is eligible and may get the request now.
func (b *Balancer) usableNow(t *target, q Request, now time.Time) bool {
	return eligible(t, q) && b.available(t, now) && !t.isAvoided(now) && (t.viaRelay || (!t.isCold(now) || b.mayTakeCold(t, now)) && b.mayTakeLimited(t, now))
}

// bestInRegion returns the target that ranks first for the request's object among the usable ones of a region, or nil.
func (b *Balancer) bestInRegion(svc *service, region string, q Request, now time.Time) *target {
	var best *target
	var bestWeight uint64
	for _, t := range svc.byRegion[region] {
		if h := rendezvousWeight(q.key(), t.hash); (best == nil || h > bestWeight) && b.usableNow(t, q, now) {
			best, bestWeight = t, h
		}
	}
	return best
}
