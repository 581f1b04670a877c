package pagate

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"papayahead/pafleet"
	"papayahead/paquota"
	"papayahead/paroute"
	"papayahead/pawire"
)

// An entry VM knew that the limiter had resigned, but not its successor. It asked nobody, and refused all requests
// beyond its own few tokens until its next update from the store.
func TestUnknownLimiterIsFound(t *testing.T) {
	f := newTestCluster(t, 5)
	table := paroute.NewTable(&paroute.Config{Workspaces: []paroute.Workspace{{Name: "w", Rate: 100, Burst: 100}}})
	for _, g := range f.gates {
		g.state.Store(&state{entries: f.entries(), table: table, fleetPeak: len(f.gates), registered: true})
	}
	asker := f.gates[0]
	second := asker.limiter.successors()[1].Name
	limiter := f.gates[slices.IndexFunc(f.gates, func(g *Gate) bool { return g.self.Name == second })]
	limiter.limiter.claimEnd = limiter.uptime() + claimTTL
	var err error
	for range maxSuccessors {
		if _, err = asker.limiter.takeTokens(context.Background(), asker.state.Load(), []*pawire.Wanted{{Workspace: "w", Waiting: 1}}); err == nil {
			return
		}
	}
	t.Errorf("the limiter was not found: %v", err)
}

// An entry VM that asked the former limiter was told its successor, and refused all requests beyond its own few tokens for a
// quarter of a second before it asked that one.
func TestSuccessorOfTheLimiterIsAskedAtOnce(t *testing.T) {
	f := newTestCluster(t, 5)
	table := paroute.NewTable(&paroute.Config{Workspaces: []paroute.Workspace{{Name: "w", Rate: 100, Burst: 100}}})
	asker, former, successor := f.gates[0], f.gates[1], f.gates[2]
	for _, g := range f.gates {
		g.state.Store(&state{
			entries: f.entries(), table: table, fleetPeak: len(f.gates), registered: true, limiter: former.self.Name, limiterAt: 9,
		})
	}
	former.limiter.setHint(successor.self.Name)
	successor.limiter.claimEnd = successor.uptime() + claimTTL
	granted, err := asker.limiter.takeTokens(context.Background(), asker.state.Load(), []*pawire.Wanted{{Workspace: "w", Waiting: 1}})
	if err != nil || len(granted) != 1 {
		t.Errorf("got %v (%v), want an answer of the successor", granted, err)
	}
}

// Messages of other entry VMs must neither get more tokens than a pool holds, nor make it hold more than the limit
// allows.
func FuzzLimiterMessages(f *testing.F) {
	seed := func(take *pawire.TakeRequest, over *pawire.TakeOverRequest) {
		a, err := proto.Marshal(take)
		if err != nil {
			f.Fatal(err)
		}
		b, err := proto.Marshal(over)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(a, b)
	}
	seed(&pawire.TakeRequest{}, &pawire.TakeOverRequest{})
	seed(&pawire.TakeRequest{Wanted: []*pawire.Wanted{{Workspace: "w", Waiting: 1 << 31, Spare: 1 << 31}, {Workspace: "none", Waiting: 1}, {}}, From: 7},
		&pawire.TakeOverRequest{Left: []*pawire.Left{{Workspace: "w", Tokens: 1<<32 - 1}, {Workspace: "none", Tokens: 9}, {}}})
	terms := paquota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	limit := paquota.Limit{Rate: 100, Burst: 100}
	f.Fuzz(func(t *testing.T, taken, over []byte) {
		var take pawire.TakeRequest
		var takeOver pawire.TakeOverRequest
		if proto.Unmarshal(taken, &take) != nil || proto.Unmarshal(over, &takeOver) != nil || takeOver.GetLease() != "" {
			return
		}
		clock := clockwork.NewFakeClock()
		g := New(Config{Settings: Settings{Name: "e", Peers: netip.MustParseAddrPort("10.0.0.1:1"), Quota: terms}, Network: noNetwork{}, Clock: clock})
		table := paroute.NewTable(&paroute.Config{Workspaces: []paroute.Workspace{{Name: "w", Rate: limit.Rate, Burst: limit.Burst}}})
		g.state.Store(&state{entries: []pafleet.Entry{g.self}, table: table, fleetPeak: 1, registered: true})
		if _, err := g.limiter.TakeOver(context.Background(), &takeOver); err != nil {
			t.Fatal(err)
		}
		if len(g.limiter.inherited) > 1 {
			t.Errorf("tokens of %d workspaces were taken over, want at most the 1 configured", len(g.limiter.inherited))
		}
		g.limiter.fillFrom, g.limiter.claimEnd = g.uptime(), g.uptime()+claimTTL
		granted := 0
		for range 3 {
			r := g.limiter.grant(take.GetWanted(), take.GetFrom())
			if len(r.GetGranted()) != len(take.GetWanted()) {
				t.Fatalf("%d grants for %d workspaces", len(r.GetGranted()), len(take.GetWanted()))
			}
			for _, n := range r.GetGranted() {
				granted += int(n.GetTokens())
			}
		}
		if most := paquota.Divide(limit, terms, 1).Pool.Depth; float64(granted) > most {
			t.Errorf("%d tokens at once, the pool's depth is %.1f", granted, most)
		}
	})
}
