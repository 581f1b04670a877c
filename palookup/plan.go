package palookup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/pamember"
)

// The numbers of spreading callers over entry VMs. The load is callers that keep an answer for its time to live, so
// that a change of the weights shows in the room some ten seconds later.
const (
	// DefaultTimeToLive is how long a caller may use an answer. Ten seconds keep the look-ups of 1.7 million callers a
	// second at some 800 a second per daemon; a caller whose entry VM died goes on along its list meanwhile.
	DefaultTimeToLive = 10 * time.Second
	// weightTimeConstant is the time constant by which weights follow the room: four times the delay. The harm is callers
	// swinging between entry VMs: near full load the loop's gain is load/weight, at most 4 with leastWeight, and a
	// first-order follower with a delay d and a gain k is stable while k*d/time is under pi/2.
	weightTimeConstant = 4 * DefaultTimeToLive
	// minWeight is the weight of an entry VM without room. It bounds the loop's gain, and leaves an entry VM whose
	// measurements stopped some of its callers instead of none; beyond its room it refuses by itself.
	minWeight = 0.25
	// unknownWeight stands for entry VMs whose room is not known, as of other regions.
	unknownWeight = 0.5
	// maxInRegion and maxElsewhere bound an answer's list. Three of the region cover a loss in the zone and one
	// more; two elsewhere cover the loss of the region.
	maxInRegion     = 3
	maxOtherRegions = 2
)

// Planner follows the membership and makes Plans. It is for one goroutine; its zero value is ready.
type Planner struct {
	weights map[pabundle.EntryName]float64
	last    time.Time
}

// Plan is what look-ups are answered by; it is immutable and safe for any number of readers.
type Plan struct {
	self    pamember.Identity
	regions []planRegion
}

type planRegion struct {
	name    pabundle.RegionName
	hash    uint64
	entries []candidate
	// reachable says that at least one entry VM is not Unreachable.
	reachable bool
}

// candidate is an entry VM that callers may be sent to.
type candidate struct {
	entry  Entry
	hash   uint64
	weight float64
	// tier sorts before the hash: usable ones, then suspected, then those that only this daemon can't reach.
	tier uint8
}

const (
	tierAlive uint8 = iota
	tierSuspected
	tierUnreachable
)

// Update returns the Plan for a view. Who is a candidate follows the view at once; how many callers each gets follows
// its room with weightTime, because callers act on an answer for its whole time to live.
func (p *Planner) Update(now time.Time, v *pamember.View) *Plan {
	step := 1.0
	if !p.last.IsZero() {
		step = 1 - math.Exp(-float64(now.Sub(p.last))/float64(weightTimeConstant))
	}
	p.last = now
	weights := make(map[pabundle.EntryName]float64, len(v.Members))
	plan := &Plan{self: v.Self}
	for _, m := range v.Members {
		tier, ok := tierOf(m.State)
		if !ok {
			continue
		}
		w := p.smoothWeight(m, step)
		weights[m.Name] = w
		plan.add(m, tier, w)
	}
	p.weights = weights
	slices.SortFunc(plan.regions, func(a, b planRegion) int { return cmp.Compare(a.name, b.name) })
	return plan
}

// smoothWeight moves a member's weight towards its room. A new one begins at the least, so that a process that just started
// is not sent its full part at once.
func (p *Planner) smoothWeight(m pamember.MemberView, step float64) float64 {
	aim := unknownWeight
	if m.Load.Stamp > 0 {
		aim = max(float64(m.Load.Headroom)/math.MaxUint8, minWeight)
	}
	old, known := p.weights[m.Name]
	if !known {
		old = minWeight
		if p.weights == nil {
			old = aim
		}
	}
	return old + step*(aim-old)
}

func tierOf(s pamember.State) (uint8, bool) {
	switch s {
	case pamember.Alive:
		return tierAlive, true
	case pamember.Suspected:
		return tierSuspected, true
	case pamember.Unreachable:
		return tierUnreachable, true
	default:
		return 0, false
	}
}

func (p *Plan) add(m pamember.MemberView, tier uint8, weight float64) {
	i := slices.IndexFunc(p.regions, func(r planRegion) bool { return r.name == m.Region })
	if i < 0 {
		i = len(p.regions)
		p.regions = append(p.regions, planRegion{name: m.Region, hash: hashName(string(m.Region))})
	}
	c := candidate{entry: Entry{Name: m.Name, Zone: m.Zone, Address: m.CallerAddress}, hash: hashName(string(m.Name)), weight: weight, tier: tier}
	p.regions[i].entries = append(p.regions[i].entries, c)
	p.regions[i].reachable = p.regions[i].reachable || tier < tierUnreachable
}
