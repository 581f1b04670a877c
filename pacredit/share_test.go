package pacredit

import (
	"fmt"
	"testing"
	"time"

	"papayahead/pabundle"
)

const (
	// askInterval and aheadInterval are the times between asks for waiting and for expected requests.
	askInterval, aheadInterval = 50 * time.Millisecond, 200 * time.Millisecond
	oneWayDelay                = 17 * time.Millisecond
	runTime                    = 20 * time.Millisecond
	// maxWait is how long a request waits for a credit, including the round trip to the owner.
	maxWait = 150 * time.Millisecond
)

// simulatedSource is a source in virtual time whose requests arrive at a constant interval.
type simulatedSource struct {
	holder                          *Holder
	interval                        time.Duration
	nextRequest, nextAsk, nextAhead time.Time
	waiting                         []time.Time // arrival times
	served, refused                 int
}

// simulateSources runs sources with the given request intervals against one owner for a minute.
func simulateSources(t *testing.T, slots int, intervals ...time.Duration) []*simulatedSource {
	t.Helper()
	g := &Granter{Self: Identity{owner, 1}}
	g.SetLoad(deposits, Load{Slots: slots})
	var all []*simulatedSource
	for i, p := range intervals {
		at := epoch.Add(time.Duration(i*7) * time.Millisecond)
		name := pabundle.EntryName(fmt.Sprint("source", i))
		all = append(all, &simulatedSource{
			holder: &Holder{Self: Identity{name, 1}}, interval: p, nextRequest: at, nextAsk: at, nextAhead: at,
		})
	}
	var ends []time.Time
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(time.Millisecond) {
		for len(ends) > 0 && !now.Before(ends[0]) {
			ends = ends[1:]
			g.Done(deposits)
		}
		for _, a := range all {
			for range a.step(now, g) {
				ends = append(ends, now.Add(runTime))
			}
		}
	}
	return all
}

// step adds arriving requests, asks for credits and returns the requests that start. The round trip to
// the owner counts as part of the time that a request waits.
func (a *simulatedSource) step(now time.Time, g *Granter) []time.Time {
	if !now.Before(a.nextRequest) {
		a.nextRequest = now.Add(a.interval)
		a.waiting = append(a.waiting, now)
	}
	want := 3 - a.holder.Held(now, owner, deposits)
	switch {
	case len(a.waiting) > 0 && !now.Before(a.nextAsk):
		a.nextAsk = now.Add(askInterval)
		a.holder.Accept(now, g.Ask(now, a.holder.Ask(now, owner, []Item{{deposits, len(a.waiting)}})))
	case want > 0 && !now.Before(a.nextAhead):
		a.nextAhead = now.Add(aheadInterval)
		a.holder.Accept(now, g.AskAhead(now, a.holder.Ask(now, owner, []Item{{deposits, want}})))
	}
	var started []time.Time
	for len(a.waiting) > 0 {
		if now.Sub(a.waiting[0]) > maxWait-2*oneWayDelay {
			a.waiting = a.waiting[1:]
			a.refused++
			continue
		}
		r, ok := a.holder.Spend(now, owner, deposits)
		if !ok || g.Redeem(now, r) != Start {
			break
		}
		a.waiting = a.waiting[1:]
		a.served++
		started = append(started, now)
	}
	return started
}

// Guards against an owner whose few credits are all held unused by the sources that ask first, while
// the requests of another source are refused until the others stop asking.
func TestSourceWithWaitingRequestsIsNotStarved(t *testing.T) {
	const rare, frequent = 2 * time.Second, 200 * time.Millisecond
	for _, intervals := range [][]time.Duration{
		{rare, frequent}, {frequent, rare}, {rare, rare, frequent}, {rare, rare, rare, rare, frequent},
	} {
		for i, a := range simulateSources(t, 3, intervals...) {
			if part := float64(a.served) / float64(a.served+a.refused); part < 0.95 {
				t.Errorf("sources with a request every %v: source %d got %d of %d requests served, want at least 95 in 100",
					intervals, i, a.served, a.served+a.refused)
			}
		}
	}
}

// Guards against always serving the source that asks first: with one credit and more requests than it
// can carry, each source must get about the same.
func TestSourcesThatAllWaitTakeTurns(t *testing.T) {
	const interval = 30 * time.Millisecond
	all := simulateSources(t, 2, interval, interval, interval)
	for i, a := range all {
		if a.served == 0 || a.served > 2*all[0].served || all[0].served > 2*a.served {
			t.Errorf("source %d got %d requests served, the first one %d", i, a.served, all[0].served)
		}
	}
}

// Guards against reserving a slot for a source that no longer asks.
func TestSourceThatStopsAskingLosesItsTurn(t *testing.T) {
	g := &Granter{Self: Identity{owner, 1}}
	g.SetLoad(deposits, Load{})
	gone, stays := Identity{"gone", 1}, Identity{"stays", 1}
	g.Ask(epoch, Ask{gone, 1, []Item{{deposits, 1}}})
	g.SetLoad(deposits, Load{Slots: 2})
	now := epoch.Add(maxShortageAge)
	if n := sum(g.Ask(now, Ask{stays, 1, []Item{{deposits, 1}}}).Items); n != 0 {
		t.Errorf("granted %d credits while an earlier source's requests may wait, want none", n)
	}
	now = now.Add(time.Millisecond)
	if n := sum(g.Ask(now, Ask{stays, 2, []Item{{deposits, 1}}}).Items); n != 1 {
		t.Errorf("granted %d credits after the earlier source stopped asking, want 1", n)
	}
}
