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

// The readers are gone, and each of a hundred entry VMs read the store itself at the same moment.
func TestEntryVMsReadInTheReadersPlaceOneAfterTheOther(t *testing.T) {
	for _, change := range []time.Duration{0, 2500 * time.Millisecond, 4 * time.Second} {
		const n = 119
		for rank := 1; rank < n; rank++ {
			at, before := maxAgeOfRank(rank, n, change), maxAgeOfRank(rank-1, n, change)
			if at < before || change > maxAge && at > change-propagationMargin {
				t.Errorf("change time %v: entry VM %d reads after %v", change, rank, at)
			}
		}
		if first := maxAgeOfRank(0, n, change); first < maxAge {
			t.Errorf("the first reads after %v, when readers may still be on their way", first)
		}
	}
}

// waitingRegistry is a store where nothing changes.
type waitingRegistry struct {
	Registry
	mutex   sync.Mutex
	watches int
}

func (r *waitingRegistry) List(context.Context) ([]pafleet.Change, pafleet.Revision, error) {
	return nil, 1, nil
}

func (r *waitingRegistry) Watch(ctx context.Context, _ pafleet.Revision, wait time.Duration) ([]pafleet.Change, pafleet.Revision, error) {
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

// takeEvents stands in for the control loop.
func (g *Gate) takeEvents(ctx context.Context) {
	var v pafleet.View
	knownAt := longBeforeStart
	for {
		select {
		case e := <-g.events:
			now := g.config.Clock.Now()
			g.publish(&v, knownAt, g.handleEvent(&v, e, &knownAt, now), now)
		case <-ctx.Done():
			return
		}
	}
}

// A reader paused after each watch that ended without a change: what it knew grew older than its neighbours accept, and
// all of them read the store themselves again and again on a quiet day.
func TestAReaderOfAQuietStoreIsNeverOld(t *testing.T) {
	r := &waitingRegistry{}
	g := New(Config{Settings: Settings{Name: "e"}, Network: unused{}, Clock: clockwork.NewRealClock(), Registry: r})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.spawn(func() { g.takeEvents(ctx) })
	g.spawn(func() { g.followStore(ctx) })
	var most time.Duration
	time.Sleep(minReadInterval)
	const looks = 150
	for range looks {
		time.Sleep(20 * time.Millisecond)
		most = max(most, g.age(g.state.Load()))
	}
	// A neighbour asks within syncPace, over ways of some 150 ms.
	if limit := maxAge - syncInterval - 150*time.Millisecond; most > limit {
		t.Errorf("what a reader knows was %v old, more than %v", most, limit)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if most := int(looks*20*time.Millisecond/maxWatchTime) + 3; r.watches > most {
		t.Errorf("%d watches in 3 s of a store without changes, want at most %d", r.watches, most)
	}
}

// All entry VMs start again, and a seed answers before it knows anything: taken for its word, nothing was read of what
// the store keeps of warm objects.
func TestANeighbourThatKnowsNothingIsNoReading(t *testing.T) {
	s := Settings{Name: "e", Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.9:1")}}
	g := New(Config{Settings: s, Network: unused{}, Clock: clockwork.NewRealClock()})
	g.state.Store(&state{knownAt: longBeforeStart})
	if g.syncedAtStart(context.Background()) {
		t.Error("an answer without a revision counts as a reading")
	}
	g.state.Store(&state{knownAt: g.uptime(), revision: 7})
	if !g.syncedAtStart(context.Background()) {
		t.Error("a neighbour's reading is not taken")
	}
}
