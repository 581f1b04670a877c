package palookup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/pamember"
)

// The parameters of balancing callers over entry VMs. Callers keep an answer for its time to live, so that a change of
// the weights shows in the reported headroom some ten seconds later.
const (
	// DefaultTimeToLive is how long a caller may use an answer. Ten seconds keep the look-ups of 1.7 million callers a
	// second at some 800 a second per daemon; a caller whose entry VM died tries the next ones of its list meanwhile.
	DefaultTimeToLive = 10 * time.Second
	// weightTimeConstant is the time constant by which weights follow the headroom: four times the delay of ten
	// seconds. With a shorter one callers oscillate between entry VMs. Near full load the loop's gain is load/weight,
	// at most 4 with minWeight, and a first-order lag with a delay d and a gain k is stable while k*d/time is less than
	// pi/2.
	weightTimeConstant = 4 * DefaultTimeToLive
	// minWeight is the weight of an entry VM without headroom. It bounds the loop's gain, and leaves some callers to an
	// entry VM whose measurements stopped; beyond its capacity it rejects requests by itself.
	minWeight = 0.25
	// unknownWeight is the weight of entry VMs without a load report, such as those of other regions.
	unknownWeight = 0.5
	// maxInRegion and maxOtherRegions bound an answer's list. Three in the region cover a loss in the zone and one
	// more; two elsewhere cover the loss of the region.
	maxInRegion     = 3
	maxOtherRegions = 2
)

// Planner follows the membership and makes Plans. Its zero value is ready to use; it is not safe for concurrent use.
type Planner struct {
	weights map[pabundle.EntryName]float64
	last    time.Time
}

// Plan holds the candidates that look-ups choose from; it is immutable and safe for any number of readers.
type Plan struct {
	self    pamember.Identity
	regions []planRegion
}

type planRegion struct {
	name    pabundle.RegionName
	hash    uint64
	entries []candidate
	// reachable says that at least one entry VM of the region is not Unreachable.
	reachable bool
}

// candidate is an entry VM that callers may be sent to.
type candidate struct {
	entry  Entry
	hash   uint64
	weight float64
	// tier is compared before the score: alive, then suspected, then unreachable from this daemon.
	tier uint8
}

const (
	tierAlive uint8 = iota
	tierSuspected
	tierUnreachable
)

// Update returns the Plan for a view. The set of candidates follows the view at once; the share of callers of each
// follows its headroom with weightTimeConstant, because callers use an answer for its whole time to live.
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

// smoothWeight moves a member's weight towards its headroom. A new member starts at minWeight, so that a process that
// just started does not get its full share at once.
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
	c := candidate{
		entry: Entry{Name: m.Name, Zone: m.Zone, Address: m.CallerAddress}, hash: hashName(string(m.Name)),
		weight: weight, tier: tier,
	}
	p.regions[i].entries = append(p.regions[i].entries, c)
	p.regions[i].reachable = p.regions[i].reachable || tier < tierUnreachable
}
