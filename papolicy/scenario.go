package papolicy

import (
	"time"

	"papayahead/pabundle"
)

// Scenario is a load and what happens during it.
type Scenario struct {
	Name string
	// Warm is how long the load runs before the measurement, which lasts for Length.
	Warm, Length time.Duration
	// Load is the demand as a multiple of the capacity, per service and region of the callers, at
	// a time since the beginning. Nil means 0.5 everywhere.
	Load func(at time.Duration, s pabundle.ServiceName, r pabundle.RegionName) float64
	// Block chooses the callers' client block from a number drawn between 0 and 1; nil spreads
	// them evenly over 64.
	Block func(draw float64) uint32
	// Change prepares the deployment before the run.
	Change func(d *Deployment)
	// Faults happen at a time since the beginning.
	Faults []Fault
}

// Fault is something that happens during a scenario.
type Fault struct {
	At time.Duration
	// Target and Mode change the behaviour of one target.
	Target pabundle.TargetName
	Mode   Mode
	// LoseEntry kills an entry VM, LoseRegion all machines of a region.
	LoseEntry  pabundle.EntryName
	LoseRegion pabundle.RegionName
	// Silence stops all measurements between machines for a while.
	Silence time.Duration
}

// Mode is how a target behaves.
type Mode int

// The modes.
const (
	// Healthy targets answer.
	Healthy Mode = iota
	// Slow targets take SlowTimes as long.
	Slow
	// FailsFast targets answer at once that they failed.
	FailsFast
	// Dead targets accept nothing.
	Dead
)

// SlowTimes is how much longer a slow target takes.
const SlowTimes = 10

func everywhere(load float64) func(time.Duration, pabundle.ServiceName, pabundle.RegionName) float64 {
	return func(time.Duration, pabundle.ServiceName, pabundle.RegionName) float64 { return load }
}

// Scenarios returns the loads and faults that the policy is measured under, for a deployment.
func Scenarios(d Deployment) []Scenario {
	short, bulk := d.Bundle.Services[0].Name, d.Bundle.Services[3].Name
	region := d.Bundle.Regions[0].Name
	victim := d.Bundle.Services[0].Targets[1].Name
	const warm = defaultWarm
	return []Scenario{
		{Name: "half load", Load: everywhere(0.5)},
		{Name: "bursts", Load: bursts},
		{Name: "one service at 2x", Load: skew(func(s pabundle.ServiceName, _ pabundle.RegionName) bool { return s == short })},
		{Name: "one region at 2x", Load: skew(func(_ pabundle.ServiceName, r pabundle.RegionName) bool { return r == region })},
		{Name: "one block floods", Load: everywhere(1.5), Block: flood},
		{Name: "slow target", Load: everywhere(0.6), Faults: []Fault{{At: warm, Target: victim, Mode: Slow}}},
		{Name: "fast-failing target", Load: everywhere(0.6), Faults: []Fault{{At: warm, Target: victim, Mode: FailsFast}}},
		{Name: "long and short mixed", Load: everywhere(0.9), Change: mixed},
		{Name: "saturation 1.5x", Load: everywhere(1.5)},
		{Name: "saturation 3x", Load: everywhere(3)},
		{Name: "region lost at 70 %", Load: everywhere(0.7), Length: 40 * time.Second,
			Faults: []Fault{{At: warm + 5*time.Second, LoseRegion: region}}},
		{Name: "link filled by " + string(bulk), Load: restores(bulk, region)},
		{Name: "measurements stop 60 s", Load: everywhere(0.9), Length: 70 * time.Second,
			Faults: []Fault{{At: warm + 2*time.Second, Silence: time.Minute}}},
		{Name: "entry VM lost at 80 %", Load: everywhere(0.8),
			Faults: []Fault{{At: warm + 2*time.Second, LoseEntry: d.Entries[3].Name}}},
	}
}

// bursts is three times the capacity for half a second in every four.
func bursts(at time.Duration, _ pabundle.ServiceName, _ pabundle.RegionName) float64 {
	if at%(4*time.Second) < 500*time.Millisecond {
		return 3
	}
	return 0.4
}

func skew(hot func(pabundle.ServiceName, pabundle.RegionName) bool) func(time.Duration, pabundle.ServiceName, pabundle.RegionName) float64 {
	return func(_ time.Duration, s pabundle.ServiceName, r pabundle.RegionName) float64 {
		if hot(s, r) {
			return 2
		}
		return 0.3
	}
}

// flood lets two thirds of the requests come from one client block.
func flood(draw float64) uint32 {
	if draw < 2.0/3 {
		return 1
	}
	return 2 + uint32(draw*192)%62
}

// mixed makes a tenth of the first service's requests twenty times as long as the rest.
func mixed(d *Deployment) {
	d.Traffic[0].Classes = []Work{
		{Run: 20 * time.Millisecond, Share: 0.9, Request: 1_000, Answer: 8_000},
		{Run: 400 * time.Millisecond, Share: 0.1, Request: 1_000, Answer: 8_000},
	}
}

// restores puts four times the capacity of the bulk service on one region, whose overflow goes over the links.
func restores(bulk pabundle.ServiceName, region pabundle.RegionName) func(time.Duration, pabundle.ServiceName, pabundle.RegionName) float64 {
	return func(_ time.Duration, s pabundle.ServiceName, r pabundle.RegionName) float64 {
		switch {
		case r != region:
			return 0.3
		case s == bulk:
			return 4
		default:
			return 1.2
		}
	}
}
