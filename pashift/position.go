package pashift

import (
	"math"
	"slices"
	"time"

	"papayahead/pabundle"
)

// MaxClockSkew is the largest difference between the clocks of two machines that the caps allow for.
//
// Load: entry VMs and operators' machines set their clocks by the network. Harm: a daemon that
// restarts with another clock stands elsewhere on the schedule. Value: 5 s is the worst case that
// operators state; healthy clocks are a thousand times better.
const MaxClockSkew = 5 * time.Second

// skewMargin lengthens the window of a cap. A daemon ahead of the operator's clock has gone on
// along the old shift when a roll-back reaches it, and comes back by the same way: twice MaxSkew.
const skewMargin = 2 * MaxClockSkew

// ServiceShares is the share that each region sends to each other, by service; the shares of one From
// region add up to 1.
type ServiceShares map[pabundle.ServiceName][]pabundle.Share

// RollOut is what a daemon needs of a roll-out to know the schedule.
type RollOut struct {
	// Bundle is the bundle in force.
	Bundle *pabundle.Bundle
	// Start is where the services stood at RolledAt whose shares the bundle moves (Moves); the others
	// stand at their goal. It travels in the roll-out's head.
	Start ServiceShares
	// RolledAt is when the operator's command wrote the head.
	RolledAt time.Time
}

// row is where the requests of one region go; index i is the region regions[i] of its owner.
type row []float64

// GoalShares returns the shares that the bundle asks for.
func GoalShares(b *pabundle.Bundle) ServiceShares {
	p := make(ServiceShares, len(b.Services))
	for _, s := range b.Services {
		p[s.Name] = slices.Clone(s.Shares)
	}
	return p
}

// ChangedShares returns the part of a position that a bundle changes, for the head that rolls it out: the
// services it has whose shares differ.
//
// Guards against the jump of a second roll in mid-shift: a daemon that boots after it knows the
// bundles, but not that the first shift never reached its end. The position travels with the head.
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

// sameShares compares two sets of shares, whatever their order and with zeros left out or not.
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

// shareEpsilon is the difference under which two shares are the same: far below one request in a day.
const shareEpsilon = 1e-9

// SharesAt returns where the schedule of the roll-out stands at now.
//
// The load is a planned move of traffic onto cold caches. Each row goes straight from its start to
// its goal, at the pace at which its fastest share keeps the cap, so the row adds up to 1 all along.
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

// EndsAt returns when the schedule of the roll-out has reached all its goals; a service whose cap
// moves nothing is left out.
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

// rate is how fast a share may move, in shares a second; a cap without a window moves nothing.
func rate(c pabundle.ShiftCap) float64 {
	if c.Window.Duration <= 0 || c.Share <= 0 {
		return 0
	}
	return c.Share / (c.Window.Duration + skewMargin).Seconds()
}

// transition is the way of one row from its start to its goal.
type transition struct {
	start, goal row
	// speed is how much of the way is covered in a second.
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

// at writes where the row stands after the time that passed since the roll-out.
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

// endpoints returns both endpoints of a row's shift. A service or region that is new has no traffic to move
// and starts at its goal.
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

// maxChange is the largest change of a single share between two rows.
func maxChange(a, b row) float64 {
	var d float64
	for i := range a {
		d = math.Max(d, math.Abs(a[i]-b[i]))
	}
	return d
}
