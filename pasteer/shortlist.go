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
	usable int
	cold   bool
}

// sampleMost is how many targets of one distance are weighed for a request without homes.
const sampleMost = 16

// shortlistOf returns the targets that the request may go to: for an object the first of its ranking and those
// where it is warm, for a request without homes some of each distance. Where too few of them may get it, all
// targets of the service are taken.
func (s *Balancer) shortlistOf(g *service, q Request, now time.Time) shortlist {
	l := shortlist{all: s.scratch[:0]}
	if q.bound() {
		for _, r := range g.ranks.of(q.key(), g.targets) {
			s.consider(&l, r, q, now)
		}
		for _, t := range s.warmAt[q.key()] {
			if !l.has(t) {
				s.consider(&l, ranked{t, rendezvous(q.key(), t.hash)}, q, now)
			}
		}
	} else {
		g.turn++
		for _, all := range g.near {
			for i := range min(sampleMost, len(all)) {
				s.consider(&l, ranked{target: all[g.place(i, len(all))]}, q, now)
			}
		}
	}
	if l.usable < min(homesMost, len(g.targets)) {
		return s.wholeList(g, q, now)
	}
	return s.sorted(l, q)
}

// wholeList returns all targets that the request may go to.
func (s *Balancer) wholeList(g *service, q Request, now time.Time) shortlist {
	l := shortlist{all: s.scratch[:0]}
	for i := range g.targets {
		t := g.targets[g.place(i, len(g.targets))]
		s.consider(&l, ranked{t, rendezvous(q.key(), t.hash)}, q, now)
	}
	return s.sorted(l, q)
}

// place returns where the i-th of a number of targets stands in their list. The list begins one later with each
// request without an object, and elsewhere at each entry VM.
//
// Load: less work than slots. Harm prevented: of targets that are alike the first in the list gets all requests of all
// entry VMs, and the others are cold when they are needed.
func (g *service) place(i, targets int) int { return int((g.turn + uint64(i)) % uint64(targets)) }

// sorted puts the best targets first: those of an object by its ranking, others by their distance.
func (s *Balancer) sorted(l shortlist, q Request) shortlist {
	s.scratch = l.all
	if q.bound() {
		slices.SortFunc(l.all, byRank)
	} else {
		slices.SortStableFunc(l.all, func(a, b candidate) int { return cmp.Compare(a.target.near, b.target.near) })
	}
	return l
}

func (l *shortlist) has(t *target) bool {
	return slices.ContainsFunc(l.all, func(c candidate) bool { return c.target == t })
}

func byRank(a, b candidate) int { return cmp.Compare(b.hash, a.hash) }

// consider adds a target to the list if it may handle the request.
func (s *Balancer) consider(l *shortlist, r ranked, q Request, now time.Time) {
	t := r.target
	if !mayHandle(t, q) {
		return
	}
	c := candidate{ranked: r, usable: s.reachable(t, now)}
	if c.usable && t.isCold(now) && !s.takesCold(t, now) {
		c.usable, l.cold = false, true
	}
	if c.usable {
		l.usable++
	}
	l.all = append(l.all, c)
}

// mayHandle says whether the target may get the request at all.
func mayHandle(t *target, q Request) bool {
	return !t.closed && q.allows(t.region) && !slices.Contains(q.Tried, t.member.ID)
}

// takesCold says whether this entry VM may send a request to the cold target now.
func (s *Balancer) takesCold(t *target, now time.Time) bool {
	return s.Config.Off.ColdShares || !now.Before(t.cold.full) && s.coldRate(t, now) > 0
}

// mayTake says whether the target may get the request now.
func (s *Balancer) mayTake(t *target, q Request, now time.Time) bool {
	return mayHandle(t, q) && s.reachable(t, now) && (!t.isCold(now) || s.takesCold(t, now))
}

// firstIn returns the first target of the ranking in a region that may get the request now, or nil.
func (s *Balancer) firstIn(g *service, region string, q Request, now time.Time) *target {
	var first *target
	var most uint64
	for _, t := range g.regions[region] {
		if h := rendezvous(q.key(), t.hash); (first == nil || h > most) && s.mayTake(t, q, now) {
			first, most = t, h
		}
	}
	return first
}
