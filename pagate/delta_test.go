package pagate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"papayahead/pafleet"
	"papayahead/paroute"
	"papayahead/pawire"
)

func largeConfig() *paroute.Config {
	c := &paroute.Config{Version: 9, Services: map[string]paroute.Service{"s": {}}}
	for i := range 400 {
		c.Routes = append(c.Routes, paroute.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "site.example", Prefix: fmt.Sprintf("/p%d/", i),
			Parts: []paroute.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		})
	}
	return c
}

func TestDeltaRoundTrip(t *testing.T) {
	d := &pafleet.Delta{Revision: 7, Config: largeConfig(), ConfigAt: 7, Left: []pafleet.EntryRemoved{{Name: "e", Revision: 6}}}
	b, err := pawire.EncodeGzip(d)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	var got pafleet.Delta
	if err := pawire.DecodeGzip(b, &got); err != nil {
		t.Fatal(err)
	}
	if got.Revision != 7 || len(got.Config.Routes) != 400 || len(got.Left) != 1 {
		t.Errorf("decoded %d routes at revision %d", len(got.Config.Routes), got.Revision)
	}
	if len(b) > len(plain)/8 {
		t.Errorf("%d bytes encoded, %d as plain JSON", len(b), len(plain))
	}
	if pawire.DecodeGzip([]byte("no gzip"), &got) == nil || pawire.DecodeGzip(nil, &got) == nil {
		t.Error("bytes that are no delta were decoded")
	}
}

// When a configuration with hundreds of routes changed during a burst, all neighbours of an entry VM on a narrow link
// sent it the whole configuration. It learned three seconds late of targets that drained, after requests had reached
// them.
func TestOneNeighbourIsAskedForChanges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(Config{Settings: Settings{Name: "e0", Region: "r"}, Network: noNetwork{}, Clock: clock})
	s := &state{verifiedAt: g.uptime()}
	for i := range 12 {
		s.entries = append(s.entries, pafleet.Entry{Name: fmt.Sprintf("e%d", i), Region: "r"})
	}
	g.state.Store(s)
	asked := 0
	for _, e := range s.entries {
		if g.peers.wantsChanges(e) {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("%d of 12 neighbours are asked, want 1", asked)
	}
	clock.Advance(maxAge * 2)
	if !g.peers.wantsChanges(s.entries[5]) {
		t.Error("no other neighbour is asked while the state is too old")
	}
}

// A store reader that the store refused, while it served the others, took itself as its sync source, asked nobody,
// and got a new configuration 2.7 s late.
func TestStoreReaderSyncsFromAnother(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, name := range []string{"e0", "e1"} {
		g := New(Config{Settings: Settings{Name: name, Region: "r"}, Network: noNetwork{}, Clock: clock})
		s := &state{verifiedAt: g.uptime(), entries: []pafleet.Entry{{Name: "e0", Region: "r"}, {Name: "e1", Region: "r"}}}
		g.state.Store(s)
		if r := g.syncSource(s); r.Name == name || r.Name == "" {
			t.Errorf("%s syncs from %q", name, r.Name)
		}
	}
}

// A neighbour that was asked only whether it is alive replies with a later revision. If the lack of a delta were
// taken for "nothing changed", the changes in between would be skipped for good.
func TestUnrequestedRevisionIsIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(Config{Network: noNetwork{}, Clock: clock})
	var v pafleet.View
	verifiedAt := g.uptime()
	v.ApplyListing(nil, 5, clock.Now())
	g.handleEvent(&v, peerUpdate{revision: 9, verifiedAt: verifiedAt + 1}, &verifiedAt, clock.Now())
	if v.Revision != 5 {
		t.Errorf("revision %d, want 5", v.Revision)
	}
	g.handleEvent(&v, peerUpdate{revision: 9, verifiedAt: verifiedAt + 1, requested: true}, &verifiedAt, clock.Now())
	if v.Revision != 9 {
		t.Errorf("revision %d, want 9", v.Revision)
	}
}

// noNetwork is a Network that must not be used.
type noNetwork struct{ Network }
