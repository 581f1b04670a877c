package pagate

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"papayahead/paplatform"
)

var (
	spreadSoakSeed  = flag.Uint64("spread.seed", 1, "the first seed of the soak of operators' changes")
	spreadSoakSeeds = flag.Int("spread.seeds", 3, "the number of seeds of that soak")
)

const (
	spreadSoakTime = 30 * time.Second
	// spreadSoakStep is the longest time between two events.
	spreadSoakStep = 800 * time.Millisecond
	// spreadContact is how long an entry VM must have been without a fault of its own to be held to the bound.
	spreadContact = 4 * time.Second
)

// spreadSoak is a fleet under random faults that overlap, while operators write. All of it runs in one goroutine.
type spreadSoak struct {
	*modelFleet
	// faulty are the entry VMs that have a fault, excused the times in which entry VMs are not held to the bound.
	faulty  map[*modelEntry]bool
	excused []soakTime
	due     []soakEvent
	// evacuated are the zones that are evacuated, lastWrite the latest write on each zone.
	evacuated map[string]bool
	writes    []soakWrite
	versions  map[*Gate]int64
	problems  []string
}

// soakTime is a time in which an entry VM, or with nil the whole fleet, is not held to the bound.
type soakTime struct {
	entry      *modelEntry
	begin, end time.Time
}

// soakEvent is something that is to be done.
type soakEvent struct {
	at time.Time
	do func()
}

// soakWrite is a write by an operator, on a zone or, where zone is empty, on the configuration.
type soakWrite struct {
	*modelWrite
	zone string
}

func newSpreadSoak(n int, seed uint64) *spreadSoak {
	return &spreadSoak{
		modelFleet: newModelFleet(n, seed, spreadBound), faulty: map[*modelEntry]bool{}, evacuated: map[string]bool{},
		versions: map[*Gate]int64{},
	}
}

// run lets the fleet live through random events, and then in peace until each write is due.
func (s *spreadSoak) run() {
	time.Sleep(modelLead)
	s.until(time.Now().Add(spreadSoakTime), true)
	s.until(time.Now().Add(spreadSoakTime/2), false)
}

func (s *spreadSoak) until(end time.Time, random bool) {
	next := time.Now()
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		s.observe()
		for len(s.due) > 0 && !time.Now().Before(s.due[0].at) {
			e := s.due[0]
			s.due = s.due[1:]
			e.do()
		}
		if random && time.Now().After(next) {
			next = time.Now().Add(time.Duration(s.random.Int64N(int64(spreadSoakStep))))
			s.step()
		}
	}
}

// after does something in a while.
func (s *spreadSoak) after(d time.Duration, do func()) {
	s.due = append(s.due, soakEvent{time.Now().Add(d), do})
	slices.SortStableFunc(s.due, func(a, b soakEvent) int { return a.at.Compare(b.at) })
}

// observe looks for entry VMs that went back to an older configuration.
func (s *spreadSoak) observe() {
	for _, e := range s.entries {
		g := e.gate.Load()
		v := g.state.Load().configVersion()
		if v < s.versions[g] {
			s.problems = append(s.problems, fmt.Sprintf("%s went from configuration %d back to %d", e.name, s.versions[g], v))
		}
		s.versions[g] = max(v, s.versions[g])
	}
}

// step lets one random event happen.
func (s *spreadSoak) step() {
	d := time.Second + time.Duration(s.random.Int64N(int64(8*time.Second)))
	nothing := func(*modelEntry) {}
	switch s.random.IntN(14) {
	case 0, 1, 2:
		s.writes = append(s.writes, soakWrite{modelWrite: s.writeConfig()})
	case 3, 4:
		s.writeZone()
	case 5:
		s.writeZone()
		s.writes = append(s.writes, soakWrite{modelWrite: s.writeConfig()})
		s.writeZone()
	case 6, 7:
		s.fault(d, false, storeFaultOf(paplatform.Limited), storeFaultOf(paplatform.None))
	case 8:
		s.fault(d, false, func(e *modelEntry) { s.store.setFault(e.name, storeFault{silent: true}) }, storeFaultOf(paplatform.None))
	case 9:
		s.fault(d/4, true, (*modelEntry).crash, func(e *modelEntry) { e.start(false) })
	case 10:
		s.fault(d, false, func(e *modelEntry) { e.cutFromOthers(true) }, func(e *modelEntry) { e.cutFromOthers(false) })
	case 11:
		s.fault(d, true, func(e *modelEntry) { e.cutFromOthers(true); e.cutStore(true) },
			func(e *modelEntry) { e.cutFromOthers(false); e.cutStore(false) })
	case 12:
		s.loseHistory()
	case 13:
		s.network.setBusy(0.8 * s.random.Float64())
		s.fault(d, false, nothing, nothing)
	}
}

func storeFaultOf(f paplatform.Fault) func(e *modelEntry) {
	return func(e *modelEntry) { e.fleet.store.setFault(e.name, storeFault{refuses: f}) }
}

// loseHistory lets the store lose its history; until it speaks again nobody is held to the bound.
func (s *spreadSoak) loseHistory() {
	s.store.setDeaf(true)
	begin := time.Now()
	s.after(spreadSilence, func() {
		s.store.dropHistory()
		s.excused = append(s.excused, soakTime{begin: begin, end: time.Now()})
	})
}

// writeZone begins or ends the evacuation of a random zone.
func (s *spreadSoak) writeZone() {
	zone := s.entries[s.random.IntN(len(s.entries))].zone
	s.evacuated[zone] = !s.evacuated[zone]
	s.writes = append(s.writes, soakWrite{modelWrite: s.evacuate(zone, s.evacuated[zone]), zone: zone})
}

// fault lets an entry VM have a fault for a time; a store reader as often as any other one, and at most a third of the fleet.
func (s *spreadSoak) fault(d time.Duration, excused bool, begin, end func(e *modelEntry)) {
	e := s.entries[s.random.IntN(len(s.entries))]
	if s.random.IntN(2) == 0 {
		readers := s.readers()
		e = readers[s.random.IntN(len(readers))]
	}
	if s.faulty[e] || 3*len(s.faulty) >= len(s.entries) {
		return
	}
	s.faulty[e] = true
	begin(e)
	t := soakTime{entry: e, begin: time.Now()}
	s.after(d, func() {
		end(e)
		delete(s.faulty, e)
		if t.end = time.Now(); excused {
			s.excused = append(s.excused, t)
		}
	})
}

// check returns which writes were late at which entry VMs, and which problems were seen before.
func (s *spreadSoak) check() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, w := range s.writes {
		for _, e := range s.entries {
			if s.isExcused(e, w.at) || s.isReplaced(i) {
				continue
			}
			if d, ok := w.held[e.name]; !ok || d > spreadBound {
				s.problems = append(s.problems, fmt.Sprintf("%s held the write on %q at %v after %v (%v)", e.name, w.zone, w.at.Format("05.000"), d, ok))
			}
		}
	}
	return s.problems
}

// isExcused reports whether an entry VM is not held to the bound of a write: it had a fault of its own shortly before, or had one
// before the write was due.
func (s *spreadSoak) isExcused(e *modelEntry, at time.Time) bool {
	return slices.ContainsFunc(s.excused, func(t soakTime) bool {
		mine := t.entry == e && t.begin.Before(at.Add(spreadBound)) && t.end.Add(spreadContact).After(at)
		all := t.entry == nil && t.begin.Before(at.Add(spreadBound)) && t.end.After(at)
		return mine || all
	})
}

// isReplaced reports whether another write on the same zone came before a write was due.
func (s *spreadSoak) isReplaced(i int) bool {
	w := s.writes[i]
	return w.zone != "" && slices.ContainsFunc(s.writes[i+1:], func(o soakWrite) bool {
		return o.zone == w.zone && o.at.Sub(w.at) < spreadBound
	})
}

// Store readers and others are refused, killed, cut off and started again, the store loses its history and links are busy, in
// turn and together, and what operators write is in force everywhere within its bound and never goes back.
func TestOperatorWordSoak(t *testing.T) {
	for seed := *spreadSoakSeed; seed < *spreadSoakSeed+uint64(*spreadSoakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSpreadSoak([]int{7, 12, 20}[seed%3], seed)
				defer s.close()
				s.run()
				for i, p := range s.check() {
					if i < 10 {
						t.Errorf("seed %d: %s", seed, p)
					}
				}
				t.Logf("%d entry VMs, %d writes, %d faults", len(s.entries), len(s.writes), len(s.excused))
			})
		})
	}
}
