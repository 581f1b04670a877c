package pagate

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pafleet"
	"papayahead/paplatform"
)

// leavingRegistry is a store where nothing changes and that goes away shortly before the end of a watch.
type leavingRegistry struct {
	Registry
	// watches are left until it goes.
	watches atomic.Int32
	gone    chan time.Time
}

func (r *leavingRegistry) List(context.Context) ([]pafleet.Change, pafleet.Revision, error) {
	return nil, 1, nil
}

func (r *leavingRegistry) Watch(ctx context.Context, _ pafleet.Revision, wait time.Duration) ([]pafleet.Change, pafleet.Revision, error) {
	left := r.watches.Add(-1)
	if left > 0 {
		time.Sleep(wait)
		return nil, 1, nil
	}
	if left == 0 {
		time.Sleep(wait * 9 / 10)
		r.gone <- time.Now()
	}
	return nil, 0, &paplatform.Error{Fault: paplatform.Unavailable}
}

// The store goes away for half of what a revocation may take, and all keys were refused after a tenth of it.
func TestKeysAreServedThroughMostOfTheirBoundWithoutTheStore(t *testing.T) {
	const bound = 2 * time.Second
	r := &leavingRegistry{gone: make(chan time.Time, 1)}
	r.watches.Store(3)
	g := New(Config{Settings: Settings{Name: "e", MaxRevocation: bound}, Network: unused{}, Clock: clockwork.NewRealClock(), Registry: r})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.spawn(func() { g.takeEvents(ctx) })
	g.spawn(func() { g.follow(ctx) })
	gone := <-r.gone
	for g.fresh(g.state.Load()) {
		time.Sleep(5 * time.Millisecond)
	}
	if served := time.Since(gone); served < bound*7/10 || served > bound {
		t.Errorf("keys were served for %v, want nearly %v", served, bound)
	}
}

// All readers' watches ended at the same moment, so that none had heard of the store for up to a whole watch.
func TestReadersEndTheirWatchesInTurn(t *testing.T) {
	const n = 6
	var all []pafleet.Entry
	for i := range n * entriesPerReader {
		all = append(all, pafleet.Entry{Name: string(rune('a'+i%26)) + string(rune('a'+i/26))})
	}
	begins := map[time.Duration]bool{}
	for _, e := range all {
		g := New(Config{Settings: Settings{Name: e.Name}, Network: unused{}, Clock: clockwork.NewRealClock()})
		g.state.Store(&state{entries: all})
		switch turn := g.turn(watchMost); {
		case !g.isReader() && turn != 0, turn < 0, turn >= watchMost:
			t.Errorf("%s begins %v later", e.Name, turn)
		case g.isReader():
			begins[turn] = true
		}
	}
	if len(begins) != n {
		t.Errorf("%d readers begin at %d different times", n, len(begins))
	}
}
