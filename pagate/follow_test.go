package pagate

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pafleet"
)

// When the store readers fail, each of a hundred entry VMs read the store itself at the same moment. Their reads must
// be staggered, start only after the readers had time to report, and end before the change must be in force.
func TestFallbackReadsAreStaggered(t *testing.T) {
	for _, change := range []time.Duration{0, 2500 * time.Millisecond, 4 * time.Second} {
		const n = 119
		for rank := 1; rank < n; rank++ {
			at, before := maxAgeOfRank(rank, n, change), maxAgeOfRank(rank-1, n, change)
			if at < before || change > maxAge && at > change-propagationMargin {
				t.Errorf("MaxPropagation %v: entry VM %d reads after %v", change, rank, at)
			}
		}
		if first := maxAgeOfRank(0, n, change); first < maxAge {
			t.Errorf("the first reads after %v, before the readers' changes can have arrived", first)
		}
	}
}

// idleRegistry is a store in which nothing changes.
type idleRegistry struct {
	Registry
	mutex   sync.Mutex
	watches int
}

func (r *idleRegistry) List(context.Context, Scope) ([]pafleet.Change, pafleet.Revision, error) {
	return nil, 1, nil
}

func (r *idleRegistry) Watch(ctx context.Context, _ Scope, _ pafleet.Revision, wait time.Duration) ([]pafleet.Change, pafleet.Revision, error) {
	r.mutex.Lock()
	r.watches++
	r.mutex.Unlock()
	select {
	case <-time.After(wait):
		return nil, 1, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// runTestLoop stands in for the control loop.
func (g *Gate) runTestLoop(ctx context.Context) {
	var v pafleet.View
	verifiedAt := longBeforeStart
	for {
		select {
		case e := <-g.events:
			now := g.config.Clock.Now()
			g.publish(&v, verifiedAt, g.handleEvent(&v, e, &verifiedAt, now), now)
		case <-ctx.Done():
			return
		}
	}
}

// A store reader paused after each watch that ended without a change. Its state grew older than its neighbours
// accept, so that all of them read the store themselves again and again while nothing changed.
func TestStateOfReaderStaysFreshWithoutChanges(t *testing.T) {
	r := &idleRegistry{}
	g := New(Config{Settings: Settings{Name: "e"}, Network: noNetwork{}, Clock: clockwork.NewRealClock(), Registry: r})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.spawn(func() { g.runTestLoop(ctx) })
	g.spawn(func() { g.followStore(ctx) })
	var most time.Duration
	time.Sleep(minReadInterval)
	const looks = 150
	for range looks {
		time.Sleep(20 * time.Millisecond)
		most = max(most, g.age(g.state.Load()))
	}
	// A neighbour calls within syncInterval, and the call takes some 150 ms.
	if limit := maxAge - syncInterval - 150*time.Millisecond; most > limit {
		t.Errorf("the reader's state was %v old, want at most %v", most, limit)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if most := int(looks*20*time.Millisecond/maxWatchTime) + 3; r.watches > most {
		t.Errorf("%d watches in 3 s of a store without changes, want at most %d", r.watches, most)
	}
}

// When all entry VMs restart, a seed may respond before it has read anything. Its reply was taken for the store's
// content, so that the saved warm notes were not read.
func TestEmptyNeighbourIsNoSyncAtStart(t *testing.T) {
	s := Settings{Name: "e", Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.9:1")}}
	g := New(Config{Settings: s, Network: noNetwork{}, Clock: clockwork.NewRealClock()})
	g.state.Store(&state{verifiedAt: longBeforeStart})
	if g.syncedAtStart(context.Background()) {
		t.Error("a reply without a revision counts as synced")
	}
	g.state.Store(&state{verifiedAt: g.uptime(), revision: 7})
	if !g.syncedAtStart(context.Background()) {
		t.Error("a neighbour's state does not count as synced")
	}
}
