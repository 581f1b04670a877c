package pacredit

import (
	"fmt"
	"testing"
	"time"

	"papayahead/pabundle"
)

const (
	// askPause and aheadPause are how often a source asks while requests wait, and ahead of requests.
	askPause, aheadPause = 50 * time.Millisecond, 200 * time.Millisecond
	way                  = 17 * time.Millisecond
	run                  = 20 * time.Millisecond
	// patience is how long a request waits for a credit.
	patience = 150 * time.Millisecond
)

// asker is a source in virtual time whose requests come at a constant pace.
type asker struct {
	holder           *Holder
	pace             time.Duration
	next, now, ahead time.Time
	waiting          []time.Time
	served, refused  int
}

// share plays sources at one owner with few slots and returns them.
func share(t *testing.T, slots int, paces ...time.Duration) []*asker {
	t.Helper()
	g := &Granter{Self: Identity{owner, 1}}
	g.SetLoad(deposits, Load{Slots: slots})
	var all []*asker
	for i, p := range paces {
		at := epoch.Add(time.Duration(i*7) * time.Millisecond)
		name := pabundle.EntryName(fmt.Sprint("source", i))
		all = append(all, &asker{holder: &Holder{Self: Identity{name, 1}}, pace: p, next: at, now: at, ahead: at})
	}
	var ends []time.Time
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(time.Millisecond) {
		for len(ends) > 0 && !now.Before(ends[0]) {
			ends = ends[1:]
			g.Done(deposits)
		}
		for _, a := range all {
			for range a.step(now, g) {
				ends = append(ends, now.Add(run))
			}
		}
	}
	return all
}

// step lets requests come, asks for credits, and returns the requests that start. The ways are part of
// the time that a request waits.
func (a *asker) step(now time.Time, g *Granter) []time.Time {
	if !now.Before(a.next) {
		a.next = now.Add(a.pace)
		a.waiting = append(a.waiting, now)
	}
	want := 3 - a.holder.Held(now, owner, deposits)
	switch {
	case len(a.waiting) > 0 && !now.Before(a.now):
		a.now = now.Add(askPause)
		a.holder.Accept(now, g.Ask(now, a.holder.Ask(now, owner, []Item{{deposits, len(a.waiting)}})))
	case want > 0 && !now.Before(a.ahead):
		a.ahead = now.Add(aheadPause)
		a.holder.Accept(now, g.AskAhead(now, a.holder.Ask(now, owner, []Item{{deposits, want}})))
	}
	var started []time.Time
	for len(a.waiting) > 0 {
		if now.Sub(a.waiting[0]) > patience-2*way {
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

// Guards against an owner whose few credits all lie unused at the sources that ask first, while the
// requests of another source are refused until the others stop asking.
func TestASourceWhoseRequestsWaitIsNotPassedOver(t *testing.T) {
	const rare, frequent = 2 * time.Second, 200 * time.Millisecond
	for _, paces := range [][]time.Duration{{rare, frequent}, {frequent, rare}, {rare, rare, frequent}, {rare, rare, rare, rare, frequent}} {
		for i, a := range share(t, 3, paces...) {
			if part := float64(a.served) / float64(a.served+a.refused); part < 0.95 {
				t.Errorf("sources with a request every %v: source %d got %d of %d requests served", paces, i, a.served, a.served+a.refused)
			}
		}
	}
}

// Guards against sources that are served by turns of who asks first: with one credit and more requests
// than it can carry, each source gets about the same.
func TestSourcesThatAllWaitTakeTurns(t *testing.T) {
	const pace = 30 * time.Millisecond
	all := share(t, 2, pace, pace, pace)
	for i, a := range all {
		if a.served == 0 || a.served > 2*all[0].served || all[0].served > 2*a.served {
			t.Errorf("source %d got %d requests served, the first one %d", i, a.served, all[0].served)
		}
	}
}

// Guards against a slot that is kept for a source that has gone.
func TestASourceThatIsGoneLosesItsTurn(t *testing.T) {
	g := &Granter{Self: Identity{owner, 1}}
	g.SetLoad(deposits, Load{})
	gone, stays := Identity{"gone", 1}, Identity{"stays", 1}
	g.Ask(epoch, Ask{gone, 1, []Item{{deposits, 1}}})
	g.SetLoad(deposits, Load{Slots: 2})
	now := epoch.Add(shortAge)
	if n := sum(g.Ask(now, Ask{stays, 1, []Item{{deposits, 1}}}).Items); n != 0 {
		t.Errorf("while an earlier source's requests may wait: %d credits, want none", n)
	}
	now = now.Add(time.Millisecond)
	if n := sum(g.Ask(now, Ask{stays, 2, []Item{{deposits, 1}}}).Items); n != 1 {
		t.Errorf("once it has not asked for long: %d credits, want 1", n)
	}
}
