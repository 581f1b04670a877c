package pagate

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"papayahead/pafleet"
	"papayahead/paload"
	"papayahead/paroute"
	"papayahead/pasteer"
	"papayahead/pawire"
)

// Notes arrive as they were sent, in the bytes that the budget counts on.
func TestLoadNotesOnTheWire(t *testing.T) {
	var all []paload.Note
	for i := range maxLoadsPerCall {
		all = append(all, paload.Note{Key: 1<<31 + uint32(i), Load: float64(i % 20), Slowness: 1 + float64(i%2)*1.5, Age: time.Duration(i) * loadAgeUnit})
	}
	b, err := proto.Marshal(encodeLoads(all))
	if err != nil {
		t.Fatal(err)
	}
	var m pawire.LoadNotes
	if err := proto.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	if got := decodeLoads(&m); fmt.Sprint(got) != fmt.Sprint(all) {
		t.Errorf("got %v, want %v", got, all)
	}
	const most = 8
	t.Logf("%d bytes for %d notes", len(b), len(all))
	if len(b) > most*len(all) {
		t.Errorf("%d bytes for %d notes, want %d for each at most", len(b), len(all), most)
	}
}

// Guards against a message whose lists do not match, which would end the process.
func TestDamagedLoadNotes(t *testing.T) {
	for _, m := range []*pawire.LoadNotes{
		nil, {}, {Targets: []uint32{1}}, {Loads: []uint32{1}}, {Targets: []uint32{1}, Loads: []uint32{1}},
		{Targets: []uint32{1, 2}, Loads: []uint32{1, 2}, AgeHundredths: []uint32{1, 2}, Slowness: []uint32{100}},
	} {
		if got := decodeLoads(m); len(got) > 0 {
			t.Errorf("%v: %v, want none", m, got)
		}
	}
	const many = 100 * maxLoadsPerCall
	long := &pawire.LoadNotes{Targets: make([]uint32, many), Loads: make([]uint32, many), AgeHundredths: make([]uint32, many)}
	if got := len(decodeLoads(long)); got != maxLoadsPerCall {
		t.Errorf("%d notes of a message with %d, want %d at most", got, many, maxLoadsPerCall)
	}
	huge := uint32(1<<32 - 1)
	for _, n := range decodeLoads(&pawire.LoadNotes{Targets: []uint32{1}, Loads: []uint32{huge}, AgeHundredths: []uint32{huge}, Slowness: []uint32{huge}}) {
		if n.IsValid(1) {
			t.Errorf("%+v counts", n)
		}
	}
}

// newLoadGate returns an entry VM among others of its region.
func newLoadGate(entries int, contended bool) *Gate {
	s := Settings{Name: "e0", Zone: "z", Region: "r", Regions: map[string]string{"z": "r"}, Contended: contended}
	g := New(Config{Settings: s, Network: noNetwork{}, Clock: clockwork.NewFakeClock()})
	st := &state{}
	for i := range entries {
		st.entries = append(st.entries, pafleet.Entry{Name: fmt.Sprint("e", i), Zone: "z", Region: "r"})
	}
	st.entries = append(st.entries, pafleet.Entry{Name: "far", Zone: "y", Region: "q"})
	g.state.Store(st)
	return g
}

// Only entry VMs of contended services ask for notes on loads, of the own region: all others' messages are what they were.
func TestLoadsAreAskedForWhereServicesAreContended(t *testing.T) {
	for _, c := range []struct {
		entries                int
		contended              bool
		wantAsked, wantRelayed int
	}{{6, false, 0, 0}, {6, true, 5, 0}, {30, true, maxNeighbours, maxNeighbours / 2}} {
		g := newLoadGate(c.entries, c.contended)
		g.balancer.Update(contendedView(), g.config.Clock.Now())
		asked, relayed := 0, 0
		for _, e := range g.state.Load().entries {
			q := &pawire.SyncRequest{}
			g.peers.wantLoads(q, &peerConn{lastLoad: 7}, e)
			if !q.GetLoadsWanted() {
				if proto.Size(q) > 0 {
					t.Errorf("%+v: %v", c, q)
				}
				continue
			}
			asked++
			if q.GetLoadsRelayed() {
				relayed++
			}
			if q.GetLoadsAfter() != 7 || e.Region != "r" || e.Name == "e0" {
				t.Errorf("%+v: asks %s with %v", c, e.Name, q)
			}
		}
		if asked != c.wantAsked || relayed != c.wantRelayed {
			t.Errorf("%+v: asks %d, of them %d for relayed notes", c, asked, relayed)
		}
	}
}

// Guards against bytes that grow with the fleet: however many neighbours ask for however much, the notes a second are bounded.
func TestLoadNotesAreRateLimited(t *testing.T) {
	g := newLoadGate(30, true)
	clock := g.config.Clock.(*clockwork.FakeClock)
	g.balancer.Update(contendedView(), clock.Now())
	const seconds = 20
	sent := 0
	after := make([]uint64, 100)
	for half := range 2 * seconds {
		for i := range contendedTargets {
			id := fmt.Sprint("t", i)
			g.balancer.Start(pasteer.Choice{Target: id}, pasteer.Request{Route: warmRoute, Service: "s"}, clock.Now())
			g.balancer.Finish(pasteer.Report{
				Target: id, Route: "r", Outcome: pasteer.Answered, Duration: time.Second, LoadKnown: true, Running: 3, Waiting: half % 2 * 20,
			}, clock.Now())
		}
		for i := range after {
			m, last := g.peers.loadsAfter(after[i], true)
			after[i], sent = last, sent+len(m.GetTargets())
		}
		clock.Advance(syncInterval)
	}
	t.Logf("%d notes in %d s", sent, seconds)
	if most := maxLoadBurst + loadsPerSecond*seconds + maxLoadsPerCall; sent > most || sent < loadsPerSecond*seconds/2 {
		t.Errorf("%d notes in %d s, want at most %d and some", sent, seconds, most)
	}
}

const contendedTargets = 100

// contendedView returns a view with one service and its targets.
func contendedView() *pafleet.View {
	v := &pafleet.View{}
	changes := []pafleet.Change{pafleet.ConfigUpdated{Revision: 1, Config: &paroute.Config{Version: 1, Services: map[string]paroute.Service{"s": {}}}}}
	for i := range contendedTargets {
		t := pafleet.Target{ID: fmt.Sprint("t", i), Service: "s", Zone: "z", Slots: 3, Born: 1, Sequence: 1, Revision: pafleet.Revision(i + 2)}
		changes = append(changes, pafleet.TargetUpdated{Target: t})
	}
	v.ApplyListing(changes, contendedTargets+2, gossipStart)
	return v
}

// Guards against notes that circulate, and against entry VMs that are not told: one note reaches all entry VMs of a region, and crosses
// each edge once at most.
func TestLoadNoteReachesRegionOnce(t *testing.T) {
	for _, size := range []int{3, 20, 100} {
		gates := map[string]*Gate{}
		for i := range size {
			g := newLoadGate(size, true)
			g.self.Name = fmt.Sprint("e", i)
			g.balancer.Update(contendedView(), gossipStart)
			gates[g.self.Name] = g
		}
		first := gates["e0"].balancer
		first.Start(pasteer.Choice{Target: "t0"}, pasteer.Request{Route: warmRoute, Service: "s"}, gossipStart)
		first.Finish(pasteer.Report{Target: "t0", Route: "r", LoadKnown: true, Running: 3, Waiting: 9}, gossipStart)
		told, after := map[[2]string]int{}, map[[2]string]uint64{}
		reached := func() (n int) {
			for _, g := range gates {
				if _, received := g.balancer.LoadNoteCounts(); received > 0 {
					n++
				}
			}
			return n
		}
		calls := 0
		for ; calls < 6 && reached() < size-1; calls++ {
			now := gossipStart.Add(time.Duration(calls)*syncInterval + replyDelay)
			for name, g := range gates {
				for _, e := range g.neighbours(g.state.Load().entries) {
					q, edge := &pawire.SyncRequest{}, [2]string{e.Name, name}
					g.peers.wantLoads(q, &peerConn{lastLoad: after[edge]}, e)
					notes, last := gates[e.Name].balancer.LoadNotes(q.GetLoadsAfter(), maxLoadsPerCall, q.GetLoadsRelayed(), now)
					after[edge] = last
					told[edge] += len(notes)
					g.balancer.ApplyLoadNotes(notes, now)
				}
			}
		}
		most := 0
		for _, n := range told {
			most = max(most, n)
		}
		t.Logf("%d entry VMs: the note is everywhere after %d turns of calls", size, calls)
		if n := reached(); n != size-1 || most > 1 {
			t.Errorf("%d entry VMs: the note reached %d, and crossed an edge %d times", size, n, most)
		}
	}
}
