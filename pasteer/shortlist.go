package pasteer

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a target in the order of preference.
type candidate struct {
	ranked
	// usable says that the target may get the request now; one that does not answer, or is cold and has all
	// that it bears, may not, but stays the home of its objects.
	usable bool
}

// shortlist is the targets that a decision weighs.
type shortlist struct {
	// all are those that may handle the request, best first.
	all []candidate
	// usable is how many of them may get it now; cold says that there are cold ones that may not take more now.
	usable      int
	coldLimited bool
}

// maxPerDistance is how many targets of one distance are weighed for a request without homes.
const maxPerDistance = 16

// buildShortlist returns the targets that the request may go to: for an object the first of its ranking and those
// where it is warm, for a request without homes some of each distance. Where too few of them may get it, all
// targets of the service are taken.
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

// fullList returns all targets that the request may go to.
func (b *Balancer) fullList(svc *service, q Request, now time.Time) shortlist {
	l := shortlist{all: b.scratch[:0]}
	for i := range svc.targets {
		t := svc.targets[svc.rotatedIndex(i, len(svc.targets))]
		b.addCandidate(&l, ranked{t, rendezvousWeight(q.key(), t.hash)}, q, now)
	}
	return b.sorted(l, q)
}

// rotatedIndex returns where the i-th of a number of targets stands in their list. The list begins one later with each
// request without an object, and elsewhere at each entry VM.
//
// Load: less work than slots. Harm prevented: of targets that are alike the first in the list gets all requests of all
// entry VMs, and the others are cold when they are needed.
func (svc *service) rotatedIndex(i, targets int) int {
	return int((svc.rotation + uint64(i)) % uint64(targets))
}

// sorted puts the best targets first: those of an object by its ranking, others by their distance.
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

func byRank(a, b candidate) int { return cmp.Compare(b.hash, a.hash) }

// addCandidate adds a target to the list if it may handle the request.
func (b *Balancer) addCandidate(l *shortlist, r ranked, q Request, now time.Time) {
	t := r.target
	if !eligible(t, q) {
		return
	}
	c := candidate{ranked: r, usable: b.available(t, now)}
	if c.usable && t.isCold(now) && !b.mayTakeCold(t, now) {
		c.usable, l.coldLimited = false, true
	}
	if c.usable {
		l.usable++
	}
	l.all = append(l.all, c)
}

// eligible says whether the target may get the request at all.
func eligible(t *target, q Request) bool {
	return !t.excluded && q.allows(t.region) && !slices.Contains(q.Tried, t.member.ID)
}

// mayTakeCold says whether this entry VM may send a request to the cold target now.
func (b *Balancer) mayTakeCold(t *target, now time.Time) bool {
	return b.Config.Off.ColdShares || !now.Before(t.coldBucket.refilledAt) && b.coldRate(t, now) > 0
}

// usableNow says whether the target may get the request now.
func (b *Balancer) usableNow(t *target, q Request, now time.Time) bool {
	return eligible(t, q) && b.available(t, now) && (!t.isCold(now) || b.mayTakeCold(t, now))
}

// bestInRegion returns the first target of the ranking in a region that may get the request now, or nil.
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
