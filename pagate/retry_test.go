package pagate

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// retryLoadPerEntry is the requests a second for each entry VM of a modelled fleet.
	retryLoadPerEntry = 20
	// retryLoadStep is the time between two moments at which requests arrive.
	retryLoadStep = 20 * time.Millisecond
	// retryLookUpAge is how long callers go on sending to an entry VM that stops.
	retryLookUpAge = 3 * time.Second
	// retryRatio and retryWindow are those of the modelled fleet's settings.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// retryLoad sends requests to a modelled fleet in virtual time. While failing is set, half of the attempts fail and ask for another.
type retryLoad struct {
	*modelFleet
	failing bool
	// stopping are the entry VMs that shut down, and since when.
	stopping map[*modelEntry]time.Time
	// requests and repeats are when requests arrived, and when another attempt was granted.
	requests, repeats []time.Time
	refused           int
}

// newRetryLoad starts a fleet whose registrations lapse with their leases.
func newRetryLoad(n int, seed uint64) *retryLoad {
	l := &retryLoad{modelFleet: newModelFleet(n, seed, spreadBound), stopping: map[*modelEntry]time.Time{}}
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
		for range int(retryLoadPerEntry * retryLoadStep.Seconds() * float64(len(l.entries))) {
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

// send has a request arrive at an entry VM, and its first attempt fail or not.
func (l *retryLoad) send(g *Gate) {
	now := time.Now()
	x := &exchange{route: &g.state.Load().table.Config.Routes[0], arrived: now}
	x.service = g.pickService(x)
	l.requests = append(l.requests, now)
	if !l.failing || l.random.IntN(2) == 0 {
		return
	}
	if g.retryAllowed(x, now) {
		l.repeats = append(l.repeats, now)
	} else {
		l.refused++
	}
}

// restart stops the entry VMs some at a time, and starts each again at its end.
func (l *retryLoad) restart(together int, gap time.Duration) {
	for i, e := range l.entries {
		l.stopping[e] = time.Now()
		e.stop()
		l.spawn(func() {
			<-e.done
			l.network.Reset(e.address)
		})
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

// killAll kills all processes and starts them again.
func (l *retryLoad) killAll() {
	for _, e := range l.entries {
		e.crash()
	}
	for _, e := range l.entries {
		e.start(false)
	}
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

// checkRetries plays a day on a fleet of seven and checks that no window has more repeats than allowed.
func checkRetries(t *testing.T, day func(l *retryLoad)) {
	synctest.Test(t, func(t *testing.T) {
		l := newRetryLoad(7, 1)
		defer l.close()
		begun := time.Now()
		l.run(12 * time.Second)
		l.failing = true
		l.run(3 * time.Second)
		day(l)
		begin, repeats, allowed := l.worstWindow()
		t.Logf("%d requests, %d repeats, %d refused; worst window from %v: %d, allowed %.1f", len(l.requests), len(l.repeats), l.refused, begin.Sub(begun), repeats, allowed)
		if float64(repeats) > allowed {
			t.Errorf("%d repeats in %v, allowed %.1f", repeats, retryWindow, allowed)
		}
		if repeats == 0 {
			t.Error("no repeat was granted")
		}
	})
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
			l.killAll()
			l.run(2500 * time.Millisecond)
		}
		l.run(10 * time.Second)
	})
}
