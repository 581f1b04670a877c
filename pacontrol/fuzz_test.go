package pacontrol

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayahead/pabundle"
	"papayahead/patarget"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes runs repeatable; flags override it and the number of checks.
	for name, value := range map[string]string{"rapid.seed": "2026", "rapid.checks": "40"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	m.Run()
}

// settleTime is the time to start up, faultTime how long faults are injected, recoveryTime how long
// requests then have to end.
const (
	settleTime   = 14 * time.Second
	faultTime    = 10 * time.Second
	recoveryTime = 4 * time.Second
)

// Under crashes, freezes, network partitions, late, lost and duplicated messages, and copies of each key
// sent through two of four entry VMs, a key runs at most once, a sequence never decreases, every
// request ends, and each entry VM serves again after the faults.
func TestWholeControlUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lossy"))
		w.run(settleTime)
		scheduleFaults(t, w)
		w.run(faultTime)
		clear(w.cuts)
		w.run(recoveryTime)
		for key, n := range w.keyRuns {
			if n > 1 {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
		for _, r := range w.requests {
			if !r.ended && r.entry.generation == r.generation {
				t.Fatalf("request %d of %s has no end", r.id, r.entry.self.Name)
			}
		}
		for name, n := range w.running {
			if n != 0 {
				t.Fatalf("target %s still runs %d", name, n)
			}
		}
		checkServing(t, w)
	})
}

// scheduleFaults schedules requests and faults at random times within faultTime.
func scheduleFaults(t *rapid.T, w *simulation) {
	for i := range 60 {
		at := time.Duration(rapid.IntRange(0, int(faultTime/time.Millisecond)).Draw(t, "at")) * time.Millisecond
		n := rapid.IntRange(0, 3).Draw(t, "entry")
		keyed := rapid.Bool().Draw(t, "keyed")
		second := rapid.IntRange(0, 3).Draw(t, "second")
		late := time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond
		w.after(at, func() {
			if !keyed {
				w.offer(n, "", time.Time{})
				return
			}
			key, sent := fmt.Sprintf("key-%d", i), w.now
			w.offer(n, key, sent)
			w.after(late, func() { w.offer(second, key, sent) })
		})
	}
	for range rapid.IntRange(0, 5).Draw(t, "faults") {
		at := time.Duration(rapid.IntRange(0, int(faultTime/time.Millisecond)).Draw(t, "fault at")) * time.Millisecond
		n := rapid.IntRange(0, 3).Draw(t, "victim")
		other := rapid.IntRange(0, 3).Draw(t, "other")
		span := time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond
		kind := rapid.SampledFrom([]string{"crash", "freeze", "cut", "cut one way"}).Draw(t, "kind")
		w.after(at, func() { w.injectFault(kind, n, other, span) })
	}
}

func (w *simulation) injectFault(kind string, n, other int, span time.Duration) {
	switch kind {
	case "crash":
		w.crash(n)
	case "freeze":
		w.entries[n].frozen = w.now.Add(span)
	default:
		w.cuts[[2]int{n, other}] = true
		if kind == "cut" {
			w.cuts[[2]int{other, n}] = true
		}
		w.after(span, func() {
			delete(w.cuts, [2]int{n, other})
			delete(w.cuts, [2]int{other, n})
		})
	}
}

// checkServing checks that each entry VM answers again after the faults.
func checkServing(t *rapid.T, w *simulation) {
	w.lossRate = 0
	w.run(15 * time.Second)
	for n := range w.entries {
		before := len(w.requests)
		w.offer(n, "", time.Time{})
		w.run(1200 * time.Millisecond)
		if r := w.requests[before]; r.outcome != patarget.Answered {
			t.Fatalf("%s does not serve after all has healed: %s %s", w.entries[n].self.Name, r.outcome, r.reason)
		}
	}
}

// At full load, with late messages as the only fault, no target runs more requests than it has slots.
func TestSlotsHoldUnderLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), 0)
		w.run(settleTime)
		for range 400 {
			n := rapid.IntRange(0, 3).Draw(t, "entry")
			w.after(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at"))*time.Millisecond, func() { w.offer(n, "", time.Time{}) })
		}
		w.run(4 * time.Second)
		for name, n := range w.peak {
			if n > testSlots {
				t.Fatalf("target %s ran %d requests, it has %d slots", name, n, testSlots)
			}
		}
	})
}

// All targets of the east drain and its shares move west under the cap, when one of its entry VMs
// restarts. It knows only the schedule, which sends all of the east's callers to the east, and must take
// over the shares of its peer, which has followed the failover.
func TestRestartedDaemonAdoptsThePeersShares(t *testing.T) {
	w := newSimulation(1, 0)
	w.run(settleTime)
	// No target of the east takes work any more: its shares leave it under the cap.
	for _, e := range w.entries[:2] {
		for _, g := range w.bundle().Services[0].Targets[:2] {
			w.step(e, Draining{Target: g.Name})
		}
	}
	w.run(16 * time.Second)
	stands := shareOf(w.entries[0], "east", "west")
	if stands < 0.05 {
		t.Fatalf("the failover has not begun: %v", stands)
	}
	w.crash(1)
	w.run(5 * time.Second)
	if got := shareOf(w.entries[1], "east", "west"); got < stands {
		t.Errorf("the restarted daemon sends %v of east's callers west, its peer %v", got, stands)
	}
}

func shareOf(e *entry, from, to pabundle.RegionName) float64 {
	for _, s := range e.control.table.ShareState(testService).Shares {
		if s.From == from && s.To == to {
			return s.Share
		}
	}
	return 0
}
