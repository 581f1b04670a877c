package pashift

import (
	"math"
	"slices"
	"time"

	"papayahead/pabundle"
)

// MaxClockSkew is the largest difference between the clocks of two machines that the caps tolerate.
//
// Entry VMs and operators' machines synchronize their clocks over the network. An entry VM that
// restarts with a different clock is at another point of the schedule. 5 s is the worst case that
// operators state; healthy clocks differ a thousand times less.
const MaxClockSkew = 5 * time.Second

// skewMargin lengthens the window of a cap. An entry VM whose clock is ahead of the operator's has
// moved further along the old shift when a roll-back reaches it, and moves back by the same
// amount: twice MaxClockSkew in total.
const skewMargin = 2 * MaxClockSkew

// ServiceShares are the shares that each region sends to each region, by service. The shares of one From
// region add up to 1.
type ServiceShares map[pabundle.ServiceName][]pabundle.Share

// RollOut is the part of a roll-out that determines the schedule.
type RollOut struct {
	// Bundle is the bundle in force.
	Bundle *pabundle.Bundle
	// Start are the shares at RolledAt of the services whose shares the bundle changes (ChangedShares);
	// other services are at their goal. It is stored in the head of the roll-out.
	Start ServiceShares
	// RolledAt is when the operator's command wrote the head.
	RolledAt time.Time
}

// row is the shares of one region's requests by destination; index i stands for regions[i] of its owner.
type row []float64

// GoalShares returns the shares that the bundle specifies.
func GoalShares(b *pabundle.Bundle) ServiceShares {
	p := make(ServiceShares, len(b.Services))
	for _, s := range b.Services {
		p[s.Name] = slices.Clone(s.Shares)
	}
	return p
}

// ChangedShares returns the current shares p of the services whose shares the bundle changes, or nil if
// there are none. They go into the head of the bundle's roll-out as its Start.
//
// Without them, a roll-out during a shift would make shares jump: an entry VM that starts later knows
// the bundles, but not that the first shift never reached its end.
func ChangedShares(p ServiceShares, b *pabundle.Bundle) ServiceShares {
	moved := ServiceShares{}
	for _, s := range b.Services {
		if was, ok := p[s.Name]; ok && !sameShares(was, s.Shares) {
			moved[s.Name] = was
		}
	}
	if len(moved) == 0 {
		return nil
	}
	return moved
}

// sameShares reports whether two sets of shares are equal, regardless of order and of zero shares.
func sameShares(a, b []pabundle.Share) bool {
	sum := map[[2]pabundle.RegionName]float64{}
	for _, x := range a {
		sum[[2]pabundle.RegionName{x.From, x.To}] += x.Share
	}
	for _, x := range b {
		sum[[2]pabundle.RegionName{x.From, x.To}] -= x.Share
	}
	for _, x := range sum {
		if math.Abs(x) > shareEpsilon {
			return false
		}
	}
	return true
}

// shareEpsilon is the largest difference of equal shares: far below one request per day.
const shareEpsilon = 1e-9

// SharesAt returns the scheduled shares of the roll-out at now.
//
// A planned shift moves traffic to targets with cold caches. Each row moves linearly from its start to
// its goal, as fast as the cap allows for its fastest share, so the row always adds up to 1.
func SharesAt(r RollOut, now time.Time) ServiceShares {
	p := make(ServiceShares, len(r.Bundle.Services))
	regions := regionsOf(r)
	w := make(row, len(regions))
	for i := range r.Bundle.Services {
		s := &r.Bundle.Services[i]
		var shares []pabundle.Share
		for _, from := range regions {
			p := newTransition(r, s, from, regions)
			p.at(now.Sub(r.RolledAt), w)
			for j, x := range w {
				if x > 0 {
					shares = append(shares, pabundle.Share{From: from, To: regions[j], Share: x})
				}
			}
		}
		p[s.Name] = shares
	}
	return p
}

// EndsAt returns the time at which the schedule of the roll-out reaches its goal. It ignores services
// whose cap does not allow any movement.
func EndsAt(r RollOut) time.Time {
	var most time.Duration
	regions := regionsOf(r)
	for i := range r.Bundle.Services {
		s := &r.Bundle.Services[i]
		for _, from := range regions {
			if p := newTransition(r, s, from, regions); p.speed > 0 && !math.IsInf(p.speed, 1) {
				most = max(most, time.Duration(float64(time.Second)/p.speed))
			}
		}
	}
	return r.RolledAt.Add(most)
}

// rate returns how far a share may move per second. It is 0 for a cap without a window.
func rate(c pabundle.ShiftCap) float64 {
	if c.Window.Duration <= 0 || c.Share <= 0 {
		return 0
	}
	return c.Share / (c.Window.Duration + skewMargin).Seconds()
}

// transition is the scheduled change of one row from start to goal.
type transition struct {
	start, goal row
	// speed is the fraction of the change per second, infinite if start and goal are equal.
	speed float64
}

func newTransition(r RollOut, s *pabundle.Service, from pabundle.RegionName, regions []pabundle.RegionName) transition {
	start, goal := endpoints(r, s, from, regions)
	p := transition{start: start, goal: goal, speed: math.Inf(1)}
	if gap := maxChange(start, goal); gap > 0 {
		p.speed = rate(s.Shift) / gap
	}
	return p
}

// at writes the row at the given time since the roll-out to into.
func (p *transition) at(passed time.Duration, into row) {
	part := 1.0
	if !math.IsInf(p.speed, 1) {
		part = math.Min(1, max(0, passed.Seconds())*p.speed)
	}
	for i := range into {
		into[i] = p.start[i] + part*(p.goal[i]-p.start[i])
	}
	if part == 1 {
		copy(into, p.goal)
	}
}

// endpoints returns the start and goal of a row. A new service or region has no traffic to move and
// starts at its goal.
func endpoints(r RollOut, s *pabundle.Service, from pabundle.RegionName, regions []pabundle.RegionName) (start, goal row) {
	goal = rowOf(s.Shares, from, regions)
	if shares, ok := r.Start[s.Name]; ok {
		start = rowOf(shares, from, regions)
	}
	if start == nil || start.sum() == 0 {
		start = goal
	}
	if goal.sum() == 0 {
		goal = start
	}
	return start, goal
}

func regionsOf(r RollOut) []pabundle.RegionName {
	var names []pabundle.RegionName
	for _, g := range r.Bundle.Regions {
		names = append(names, g.Name)
	}
	for _, shares := range r.Start {
		for _, s := range shares {
			names = append(names, s.From, s.To)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func rowOf(shares []pabundle.Share, from pabundle.RegionName, regions []pabundle.RegionName) row {
	w := make(row, len(regions))
	for _, s := range shares {
		if i := slices.Index(regions, s.To); s.From == from && i >= 0 {
			w[i] += s.Share
		}
	}
	return w
}

func (w row) sum() float64 {
	var t float64
	for _, x := range w {
		t += x
	}
	return t
}

// maxChange returns the largest difference of a single share between two rows.
func maxChange(a, b row) float64 {
	var d float64
	for i := range a {
		d = math.Max(d, math.Abs(a[i]-b[i]))
	}
	return d
}
