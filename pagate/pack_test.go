package pagate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"papayahead/pafleet"
	"papayahead/paroute"
)

func wide() *paroute.Config {
	c := &paroute.Config{Version: 9, Services: map[string]paroute.Service{"s": {}}}
	for i := range 400 {
		c.Routes = append(c.Routes, paroute.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "site.example", Prefix: fmt.Sprintf("/p%d/", i),
			Parts: []paroute.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		})
	}
	return c
}

func TestADeltaSurvivesItsWay(t *testing.T) {
	d := &pafleet.Delta{Revision: 7, Config: wide(), ConfigAt: 7, Left: []pafleet.EntryRemoved{{Name: "e", Revision: 6}}}
	b, err := pack(d)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	var got pafleet.Delta
	if err := unpack(b, &got); err != nil {
		t.Fatal(err)
	}
	if got.Revision != 7 || len(got.Config.Routes) != 400 || len(got.Left) != 1 {
		t.Errorf("unpacked %d routes at revision %d", len(got.Config.Routes), got.Revision)
	}
	if len(b) > len(plain)/8 {
		t.Errorf("%d bytes packed, %d plain", len(b), len(plain))
	}
	if unpack([]byte("no gzip"), &got) == nil || unpack(nil, &got) == nil {
		t.Error("bytes that are no delta were read")
	}
}

// A configuration of hundreds of routes changes under a burst. All neighbours of an entry VM on a narrow link
// sent it the whole at once, and it heard of leaving targets three seconds late, when callers' requests had
// reached them.
func TestOnlyOneNeighbourIsAskedForWhatIsNew(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(Config{Settings: Settings{Name: "e0", Region: "r"}, Network: unused{}, Clock: clock})
	s := &state{knownAt: g.uptime()}
	for i := range 12 {
		s.entries = append(s.entries, pafleet.Entry{Name: fmt.Sprintf("e%d", i), Region: "r"})
	}
	g.state.Store(s)
	asked := 0
	for _, e := range s.entries {
		if g.peers.source(e) {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("%d of 12 neighbours are asked, want 1", asked)
	}
	clock.Advance(maxAge * 2)
	if !g.peers.source(s.entries[5]) {
		t.Error("no other neighbour is asked while what is known is too old")
	}
}

// The store refuses a reader and serves the others. It took itself for the nearest reader, asked nobody, and had
// a new configuration 2.7 s late.
func TestAReaderAsksAnother(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, name := range []string{"e0", "e1"} {
		g := New(Config{Settings: Settings{Name: name, Region: "r"}, Network: unused{}, Clock: clock})
		s := &state{knownAt: g.uptime(), entries: []pafleet.Entry{{Name: "e0", Region: "r"}, {Name: "e1", Region: "r"}}}
		g.state.Store(s)
		if r := g.nearestReader(s); r.Name == name || r.Name == "" {
			t.Errorf("%s asks %q", name, r.Name)
		}
	}
}

// A neighbour that was asked only whether it lives knows of a later revision. Taken for "nothing is new", its
// answer would skip what changed for good.
func TestAnAnswerWithoutAQuestionTellsNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(Config{Network: unused{}, Clock: clock})
	var v pafleet.View
	knownAt := g.uptime()
	v.ApplyListing(nil, 5, clock.Now())
	g.handle(&v, peerSaid{revision: 9, knownAt: knownAt + 1}, &knownAt, clock.Now())
	if v.Revision != 5 {
		t.Errorf("revision %d, want 5", v.Revision)
	}
	g.handle(&v, peerSaid{revision: 9, knownAt: knownAt + 1, asked: true}, &knownAt, clock.Now())
	if v.Revision != 9 {
		t.Errorf("revision %d, want 9", v.Revision)
	}
}

// unused is a network that nobody uses.
type unused struct{ Network }
