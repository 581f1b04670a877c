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

// failingRegistry is a store in which nothing changes, and that becomes unavailable shortly before the end of a
// watch.
type failingRegistry struct {
	Registry
	// watches is how many watches there are up to the one that fails, counted down.
	watches  atomic.Int32
	failedAt chan time.Time
}

func (r *failingRegistry) List(context.Context, Scope) ([]pafleet.Change, pafleet.Revision, error) {
	return nil, 1, nil
}

func (r *failingRegistry) Watch(ctx context.Context, _ Scope, _ pafleet.Revision, wait time.Duration) ([]pafleet.Change, pafleet.Revision, error) {
	left := r.watches.Add(-1)
	if left > 0 {
		time.Sleep(wait)
		return nil, 1, nil
	}
	if left == 0 {
		time.Sleep(wait * 9 / 10)
		r.failedAt <- time.Now()
	}
	return nil, 0, &paplatform.Error{Fault: paplatform.Unavailable}
}

// When the store was unavailable for half of MaxRevocation, all keys were rejected after a tenth of it.
func TestKeysAreAcceptedThroughMostOfMaxRevocation(t *testing.T) {
	const bound = 2 * time.Second
	r := &failingRegistry{failedAt: make(chan time.Time, 1)}
	r.watches.Store(3)
	g := New(Config{Settings: Settings{Name: "e", MaxRevocation: bound}, Network: noNetwork{}, Clock: clockwork.NewRealClock(), Registry: r})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.spawn(func() { g.runTestLoop(ctx) })
	g.spawn(func() { g.followStore(ctx) })
	failedAt := <-r.failedAt
	for g.keysFresh(g.state.Load()) {
		time.Sleep(5 * time.Millisecond)
	}
	if accepted := time.Since(failedAt); accepted < bound*7/10 || accepted > bound {
		t.Errorf("keys were accepted for %v without the store, want nearly %v", accepted, bound)
	}
}

// The watches of all store readers ended at the same moment, so that in an outage the last of them was up to a full
// watch ago.
func TestWatchesOfReadersAreStaggered(t *testing.T) {
	const n = 6
	var all []pafleet.Entry
	for i := range n * entriesPerReader {
		all = append(all, pafleet.Entry{Name: string(rune('a'+i%26)) + string(rune('a'+i/26))})
	}
	offsets := map[time.Duration]bool{}
	for _, e := range all {
		g := New(Config{Settings: Settings{Name: e.Name}, Network: noNetwork{}, Clock: clockwork.NewRealClock()})
		g.state.Store(&state{entries: all})
		switch offset := g.watchOffset(maxWatchTime); {
		case !g.isStoreReader() && offset != 0, offset < 0, offset >= maxWatchTime:
			t.Errorf("%s starts its watches %v later", e.Name, offset)
		case g.isStoreReader():
			offsets[offset] = true
		}
	}
	if len(offsets) != n {
		t.Errorf("%d readers start their watches at %d different times", n, len(offsets))
	}
}
