package pagate

import (
	"context"
	"slices"
	"testing"

	"papayahead/paroute"
	"papayahead/pawire"
)

// An entry VM knew of the limiter's end and not yet who followed: it asked nobody, and refused all beyond its own few
// tokens until the next word of the store.
func TestWhoKnowsOfNoLimiterLooksForIt(t *testing.T) {
	f := newFewGates(t, 5)
	table := paroute.NewTable(&paroute.Config{Workspaces: []paroute.Workspace{{Name: "w", Rate: 100, Burst: 100}}})
	for _, g := range f.gates {
		g.state.Store(&state{entries: f.entries(), table: table, fleet: len(f.gates), registered: true})
	}
	asks := f.gates[0]
	second := asks.limiter.successors()[1].Name
	limiter := f.gates[slices.IndexFunc(f.gates, func(g *Gate) bool { return g.self.Name == second })]
	limiter.limiter.until = limiter.uptime() + limiterLife
	var err error
	for range successorsMost {
		if _, err = asks.limiter.ask(context.Background(), asks.state.Load(), []*pawire.Wanted{{Workspace: "w", Waiting: 1}}); err == nil {
			return
		}
	}
	t.Errorf("the limiter is not found: %v", err)
}
