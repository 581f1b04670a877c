package pasteer

import (
	"math"
	"time"

	"papayahead/paroute"
)

const (
	// homesTime is the time of cold runs that an object's homes may cost one after the other; by it an
	// object of quick work has more homes, of which one is sooner near, than one of long work.
	homesTime = 3 * time.Second
	// homesMost bounds the homes: beyond it the chance of a near one hardly rises.
	homesMost = 6
	// homeFill is the part of a target's slots that the objects whose home it is may keep busy on the mean. The rest
	// is for bursts and for the cold runs of others.
	homeFill = 0.6
	// homeShare is how many times the mean of objects for a target it may always be the home of.
	homeShare = 1.25
	// crowdedCost is what a warm run costs at a target that has too many objects, in times that a cold run takes more
	// than a warm one: more than a cold run at a target with room does.
	crowdedCost = 2 + coldCost
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

// homeRoom is how many objects of a service a target may be the home of, for each of its slots.
func (s *Steer) homeRoom(g *service, q Request, now time.Time) float64 {
	objects := float64(max(1, s.known[q.Service]))
	busy := s.rate(g, now) * s.expected(q, true).Seconds() / objects
	if busy <= 0 || s.Config.Off.SpreadHomes {
		return math.MaxInt32
	}
	return max(homeFill/busy, homeShare*objects/max(1, g.slots))
}

// rate estimates how many requests a second all entry VMs together get for the service.
func (s *Steer) rate(g *service, now time.Time) float64 {
	if s.Config.RetryWindow < windowSlots {
		return 0
	}
	first, _ := g.budget.sums(now, s.Config.RetryWindow)
	seconds := min(now.Sub(g.since), s.Config.RetryWindow).Seconds()
	if g.since.IsZero() || seconds < rateLeast.Seconds() {
		return 0
	}
	return float64(first) / seconds * float64(s.entries)
}

// rateLeast is the time before which the requests that came say nothing of their rate.
const rateLeast = 5 * time.Second

// crowded says whether the target is the home of enough other objects.
//
// Load: fewer objects than targets, each keeping half of a target's slots busy. Harm prevented: a hash makes two or
// three of them share a target, which is full in every burst, while a third of the targets has nothing to do. Which
// of them stay is told by their hashes, so that all entry VMs move the same ones.
func (t *target) crowded(q Request, room float64) bool {
	most := max(1, int(room*t.slots()))
	if len(t.warm.seen) < most {
		return false
	}
	own, before := rendezvous(q.key(), t.hash), 0
	for key := range t.warm.seen {
		if key != q.key() && rendezvous(key, t.hash) > own {
			before++
		}
	}
	return before >= most
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

// homes marks the candidates where the object may run cold and those that are crowded. In the place of a crowded home
// it adds the first target of the same region that is not, so that no object changes its region for it.
func (s *Steer) homes(g *service, all []candidate, q Request, now time.Time) []candidate {
	room := s.homeRoom(g, q, now)
	for i := range all {
		c := &all[i]
		c.home = s.mayBeHome(all, i, q.Route) || s.Config.Off.WarmWait
		if c.home || c.target.warm.has(q.key(), now) {
			c.crowded = c.target.crowded(q, room)
		}
	}
	for i := range all {
		if !all[i].home || !all[i].crowded {
			continue
		}
		if t := s.uncrowded(g, all[i].target.region, q, room, now); t != nil {
			all[i].home = false
			all = withHome(all, t, q)
		}
	}
	return all
}

// withHome marks the target as a home, and adds it where it is no candidate.
func withHome(all []candidate, t *target, q Request) []candidate {
	for i := range all {
		if all[i].target == t {
			all[i].home = true
			return all
		}
	}
	return append(all, candidate{ranked: ranked{t, rendezvous(q.key(), t.hash)}, usable: true, home: true})
}

// uncrowded returns the first target of the ranking within a region that may get the request and is not crowded.
func (s *Steer) uncrowded(g *service, region string, q Request, room float64, now time.Time) *target {
	r := g.regionRanks[region]
	if r == nil {
		r = &ranks{}
		g.regionRanks[region] = r
	}
	for _, e := range r.of(q.key(), g.regions[region]) {
		if s.mayTake(e.target, q, now) && !e.target.crowded(q, room) {
			return e.target
		}
	}
	return nil
}
