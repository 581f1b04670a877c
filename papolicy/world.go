package papolicy

import (
	"math/rand/v2"
	"time"

	"papayahead/pabundle"
	"papayahead/paowner"
	"papayahead/paqueue"
)

// System is what decides in a run.
type System int

// The systems that are compared.
const (
	// Papayahead is the whole control state of the daemons, which talk to each other by messages.
	Papayahead System = iota
	// OwnersOnly is the decisions of owners alone (package paowner), which place work in other
	// regions by expected completion; reports, credits and link budgets are simple stand-ins.
	OwnersOnly
	// RoundRobin sends each request to the next target of the region; targets queue without bound.
	RoundRobin
	// LeastOutstanding sends to the target with the fewest own requests and queues a bounded number.
	LeastOutstanding
)

var systemNames = [...]string{"Papayahead", "OwnersOnly", "RoundRobin", "LeastOutstanding"}

// String returns the name of the system.
func (s System) String() string {
	if s < 0 || int(s) >= len(systemNames) {
		return "System?"
	}
	return systemNames[s]
}

// Setup says how a scenario is run.
type Setup struct {
	System System
	// Seed makes the run repeatable: the same seed gives the same figures.
	Seed uint64
	// Order replaces the queue order of OwnersOnly.
	Order paqueue.Order
	// Tuning replaces constants of OwnersOnly.
	Tuning paowner.Tuning
}

// decider is what a System runs at each entry VM.
type decider interface {
	Offer(now time.Time, r paowner.Request, into []paowner.Decision) []paowner.Decision
	Finish(now time.Time, id paowner.RequestID, r paowner.Result, into []paowner.Decision) []paowner.Decision
	Cancel(now time.Time, id paowner.RequestID, into []paowner.Decision) []paowner.Decision
	Tick(now time.Time, into []paowner.Decision) []paowner.Decision
}

// region is what the simulation counts of a region.
type region struct {
	running int
	limit   int
	lost    bool
}

// world is a deployment while it is simulated.
type world struct {
	engine
	deployment Deployment
	scenario   Scenario
	setup      Setup
	// demand draws the calls, rand all else, so that systems are compared under the same calls.
	demand, rand *rand.Rand
	began        time.Time
	hosts        []*host
	machines     map[pabundle.TargetName]*machine
	list         []*machine
	regions      map[pabundle.RegionName]*region
	links        map[direction]*link
	measure      *measure
	silentTill   time.Time
	// head and pieces are what the store holds.
	head   pabundle.Head
	pieces map[pabundle.Digest][]byte
}

const (
	// defaultWarm lets membership, agreements and first credits settle after a start of all at once.
	defaultWarm   = 15 * time.Second
	defaultLength = 20 * time.Second
	// settle lets the last callers end.
	settle = 6 * time.Second
	// sampling is how often the use of regions is looked at.
	sampling = 10 * time.Millisecond
	// tickEvery is how often an entry VM lets time pass.
	tickEvery = 5 * time.Millisecond
	// gossipEvery is how often entry VMs tell each other of their room.
	gossipEvery = 500 * time.Millisecond
	// detection is how long the loss of an entry VM goes unnoticed by its neighbours.
	detection = 3 * time.Second
)

// Run simulates one scenario and returns what its callers saw.
func Run(d Deployment, s Scenario, setup Setup) Report {
	d.Traffic = append([]Traffic(nil), d.Traffic...)
	if s.Warm == 0 {
		s.Warm = defaultWarm
	}
	if s.Length == 0 {
		s.Length = defaultLength
	}
	if s.Load == nil {
		s.Load = everywhere(0.5)
	}
	if s.Change != nil {
		s.Change(&d)
	}
	w := newWorld(d, s, setup)
	w.start()
	w.run(w.began.Add(s.Warm + s.Length + settle))
	return w.measure.report()
}

func newWorld(d Deployment, s Scenario, setup Setup) *world {
	w := &world{
		deployment: d, scenario: s, setup: setup,
		rand:     rand.New(rand.NewPCG(setup.Seed, uint64(len(s.Name)))),
		demand:   rand.New(rand.NewPCG(setup.Seed, 1)),
		began:    time.Unix(1_700_000_000, 0).UTC(),
		machines: map[pabundle.TargetName]*machine{},
		regions:  map[pabundle.RegionName]*region{},
		links:    map[direction]*link{},
	}
	w.now = w.began
	w.measure = newMeasure(w)
	for _, r := range d.Bundle.Regions {
		w.regions[r.Name] = &region{limit: r.MaxInFlight}
	}
	for _, l := range d.Bundle.Links {
		w.links[direction{l.From, l.To}] = &link{capacity: l.Capacity}
	}
	for _, sv := range d.Bundle.Services {
		for _, t := range sv.Targets {
			m := &machine{world: w, target: t, service: sv.Name, region: d.regionOf(t.Zone)}
			w.machines[t.Name] = m
			w.list = append(w.list, m)
		}
	}
	w.publish()
	for _, e := range d.Entries {
		w.hosts = append(w.hosts, newHost(w, e))
	}
	w.assign()
	return w
}

// publish puts the bundle into the store.
func (w *world) publish() {
	s, err := w.deployment.Bundle.Split()
	if err != nil {
		panic("papolicy: the bundle cannot be split: " + err.Error())
	}
	w.pieces = s.Pieces
	w.head = pabundle.Head{
		Deployment: w.deployment.Bundle.Deployment, Sequence: 1, Digest: s.Digest, RolledAt: w.began,
		RollID: "simulated", Operator: "simulated",
	}
}

func (w *world) start() {
	for _, h := range w.hosts {
		h.start()
	}
	for i := range w.deployment.Traffic {
		for _, r := range w.deployment.Bundle.Regions {
			w.nextCall(&w.deployment.Traffic[i], r.Name)
		}
	}
	for _, f := range w.scenario.Faults {
		w.after(f.At, func() { w.fault(f) })
	}
	w.after(w.scenario.Warm, w.measure.sample)
}

// measuring says whether the measured part of the scenario runs.
func (w *world) measuring() bool {
	at := w.now.Sub(w.began)
	return at >= w.scenario.Warm && at < w.scenario.Warm+w.scenario.Length
}

func (w *world) fault(f Fault) {
	if f.Target != "" {
		w.machines[f.Target].mode = f.Mode
	}
	if f.Silence > 0 {
		w.silentTill = w.now.Add(f.Silence)
	}
	for _, h := range w.hosts {
		if h.Name == f.LoseEntry || h.Region == f.LoseRegion {
			h.die()
		}
	}
	if r := w.regions[f.LoseRegion]; r != nil {
		r.lost = true
		for _, m := range w.list {
			if m.region == f.LoseRegion {
				m.mode = Dead
			}
		}
	}
	w.after(detection, w.assign)
}

// assign gives each target to a live entry VM of its zone, else of its region.
func (w *world) assign() {
	for n, m := range w.list {
		var zone, region []*host
		for _, h := range w.hosts {
			if h.dead {
				continue
			}
			if h.Zone == m.target.Zone {
				zone = append(zone, h)
			}
			if h.Region == m.region {
				region = append(region, h)
			}
		}
		if len(zone) == 0 {
			zone = region
		}
		if len(zone) > 0 {
			zone[n/6%len(zone)].own(m)
		}
	}
	for _, h := range w.hosts {
		h.setTargets()
	}
}
