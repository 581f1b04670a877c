package pagate

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var (
	retrySoakSeed  = flag.Uint64("retry.seed", 3, "the first seed of the soak of the retry budget")
	retrySoakSeeds = flag.Int("retry.seeds", 2, "the number of seeds of that soak")
)

const (
	// retrySoakTime is how long a soak disturbs the fleet, retrySoakStep the longest time between two events.
	retrySoakTime = 30 * time.Second
	retrySoakStep = time.Second
	// retryLoadStep is the time between two moments at which requests arrive.
	retryLoadStep = 20 * time.Millisecond
	// retryLookUpAge is how long callers go on sending to an entry VM that stops.
	retryLookUpAge = 3 * time.Second
	// retryRatio and retryWindow are those of the modelled fleet's settings.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// retryLoad sends requests to a modelled fleet in virtual time. While failing is set, each first attempt fails and asks for another.
type retryLoad struct {
	*modelFleet
	// perSecond is the number of requests a second; due is the part of a request that is to be sent.
	perSecond, due float64
	failing        bool
	// stopping are the entry VMs that shut down, and since when.
	stopping map[*modelEntry]time.Time
	// requests and repeats are when requests arrived, and when another attempt was granted.
	requests, repeats []time.Time
	refused           int
}

// newRetryLoad starts a fleet whose registrations lapse with their leases.
func newRetryLoad(n int, perSecond float64, seed uint64) *retryLoad {
	l := &retryLoad{modelFleet: newModelFleet(n, seed, spreadBound), perSecond: perSecond, stopping: map[*modelEntry]time.Time{}}
	l.store.mutex.Lock()
	l.store.lapses = true
	l.store.mutex.Unlock()
	time.Sleep(modelLead)
	return l
}

// run sends requests for a time.
func (l *retryLoad) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(retryLoadStep) {
		l.startEnded()
		taking := slices.DeleteFunc(slices.Clone(l.entries), func(e *modelEntry) bool { return !l.takes(e) })
		for l.due += l.perSecond * retryLoadStep.Seconds(); l.due >= 1; l.due-- {
			if len(taking) > 0 {
				l.send(taking[l.random.IntN(len(taking))].gate.Load())
			}
		}
	}
}

// takes reports whether callers send to the entry VM.
func (l *retryLoad) takes(e *modelEntry) bool {
	select {
	case <-e.done:
		return false
	default:
	}
	since, stops := l.stopping[e]
	return e.gate.Load().state.Load().table != nil && (!stops || time.Since(since) < retryLookUpAge)
}

// send has a request arrive at an entry VM, and its first attempt fail while failing is set.
func (l *retryLoad) send(g *Gate) {
	now := time.Now()
	x := &exchange{route: &g.state.Load().table.Config.Routes[0], arrived: now}
	x.service = g.pickService(x)
	l.requests = append(l.requests, now)
	if !l.failing {
		return
	}
	if g.retryAllowed(x, now) {
		l.repeats = append(l.repeats, now)
	} else {
		l.refused++
	}
}

// stopEntry begins a graceful shutdown of an entry VM, which is started again at its end.
func (l *retryLoad) stopEntry(e *modelEntry) {
	if _, stops := l.stopping[e]; stops {
		return
	}
	l.stopping[e] = time.Now()
	e.stop()
	done := e.done
	l.spawn(func() {
		<-done
		l.network.Reset(e.address)
	})
}

// restart stops the entry VMs some at a time.
func (l *retryLoad) restart(together int, gap time.Duration) {
	for i, e := range l.entries {
		l.stopEntry(e)
		if i%together == together-1 {
			l.run(gap)
		}
	}
}

// startEnded starts the entry VMs whose shutdown is complete.
func (l *retryLoad) startEnded() {
	for e := range l.stopping {
		select {
		case <-e.done:
			delete(l.stopping, e)
			e.start(false)
		default:
		}
	}
}

// kill kills processes and starts them again.
func (l *retryLoad) kill(all []*modelEntry) {
	for _, e := range all {
		e.crash()
		delete(l.stopping, e)
	}
	for _, e := range all {
		e.start(false)
	}
}

// disturb lets a random event happen to one, some or all entry VMs.
func (l *retryLoad) disturb() {
	some := l.random.Perm(len(l.entries))[:1+l.random.IntN(len(l.entries))]
	var hit []*modelEntry
	for _, i := range some {
		hit = append(hit, l.entries[i])
	}
	switch l.random.IntN(6) {
	case 0:
		l.kill(hit)
	case 1, 2:
		for _, e := range hit {
			l.stopEntry(e)
		}
	case 3:
		l.eachFor(hit, (*modelEntry).cutStore)
	case 4:
		l.eachFor(hit, func(e *modelEntry, cut bool) { e.cutStore(cut); e.cutFromOthers(cut) })
	case 5:
		l.eachFor(l.entries, func(e *modelEntry, silent bool) { l.store.setFault(e.name, storeFault{silent: silent}) })
	}
}

// eachFor begins a fault of entry VMs and ends it within ten seconds.
func (l *retryLoad) eachFor(hit []*modelEntry, do func(e *modelEntry, begin bool)) {
	for _, e := range hit {
		do(e, true)
	}
	d := time.Duration(l.random.Int64N(int64(10 * time.Second)))
	l.spawn(func() {
		if l.alive(d) {
			for _, e := range hit {
				do(e, false)
			}
		}
	})
}

// countBetween returns how many of the times are in [from, to).
func countBetween(all []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(all, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(all, to, time.Time.Compare)
	return last - first
}

// worstWindow returns the window in which repeats exceed what is allowed the most, or come nearest to it.
func (l *retryLoad) worstWindow() (begin time.Time, repeats int, allowed float64) {
	for _, at := range l.repeats {
		n := countBetween(l.repeats, at, at.Add(retryWindow))
		requests := max(
			countBetween(l.requests, at, at.Add(retryWindow)), countBetween(l.requests, at.Add(-retryWindow), at),
			countBetween(l.requests, at.Add(-retryWindow/2), at.Add(retryWindow/2)),
		)
		if a := retryRatio*float64(requests) + modelRetryFloor; repeats == 0 || float64(n)-a > float64(repeats)-allowed {
			begin, repeats, allowed = at, n, a
		}
	}
	return begin, repeats, allowed
}

// checkRetries plays a day on fleets of seven with few and with many requests, and checks that no window has more repeats than allowed.
func checkRetries(t *testing.T, day func(l *retryLoad)) {
	for _, perSecond := range []float64{10, 30, 140} {
		t.Run(fmt.Sprintf("%v requests a second", perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newRetryLoad(7, perSecond, 1)
				defer l.close()
				l.run(12 * time.Second)
				l.failing = true
				l.run(3 * time.Second)
				day(l)
				l.check(t)
			})
		})
	}
}

// check checks that no window has more repeats than allowed, and that there were some.
func (l *retryLoad) check(t *testing.T) {
	_, repeats, allowed := l.worstWindow()
	t.Logf("%d requests, %d repeats, %d refused; worst window: %d, allowed %.1f", len(l.requests), len(l.repeats), l.refused, repeats, allowed)
	if float64(repeats) > allowed {
		t.Errorf("%d repeats in %v, allowed %.1f", repeats, retryWindow, allowed)
	}
	if repeats == 0 {
		t.Error("no repeat was granted")
	}
}

// Guards against entry VMs that stop: they serve on without a registration, and each takes the whole floor of the budget for itself.
func TestRetryBudgetHoldsWhileEntryVMsStop(t *testing.T) {
	checkRetries(t, func(l *retryLoad) {
		l.restart(6, 500*time.Millisecond)
		l.run(15 * time.Second)
	})
}

// Guards against processes that forget what their former lifetime was granted within the window.
func TestRetryBudgetHoldsWhileEntryVMsAreKilled(t *testing.T) {
	checkRetries(t, func(l *retryLoad) {
		for range 3 {
			l.kill(l.entries)
			l.run(2500 * time.Millisecond)
		}
		l.run(10 * time.Second)
	})
}

// Guards against a budget that is exceeded when stops, kills, cuts and outages of the store overlap at random.
func TestRetryBudgetSoak(t *testing.T) {
	for seed := *retrySoakSeed; seed < *retrySoakSeed+uint64(*retrySoakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := newRetryLoad([]int{7, 12, 20}[seed%3], []float64{15, 60, 200}[seed/3%3], seed)
				defer l.close()
				l.run(12 * time.Second)
				l.failing = true
				for end := time.Now().Add(retrySoakTime); time.Now().Before(end); {
					l.run(time.Duration(l.random.Int64N(int64(retrySoakStep))))
					l.disturb()
				}
				l.check(t)
			})
		})
	}
}
