package pamember_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"papayahead/pabundle"
	"papayahead/pacapacity"
	"papayahead/pamember"
	"papayahead/pawire"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that CI has the same verdict every run; -rapid.seed and -rapid.checks on the command line
// take precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "30"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// world is a small deployment with an oracle for its membership.
type world struct {
	fleet *pacapacity.Fleet
	// cut holds zones that exchange no messages with others, deaf the daemons that send but receive nothing.
	cut  map[pabundle.ZoneName]bool
	deaf map[pabundle.EntryName]bool
	left map[pabundle.EntryName]pamember.Incarnation
	// seen is the highest incarnation of a member that an observer has shown in one lifetime, by both names.
	seen map[string]pamember.Incarnation
}

func (w *world) pick(t *rapid.T, fits func(*pacapacity.Node) bool) *pacapacity.Node {
	var some []*pacapacity.Node
	for _, n := range w.fleet.Nodes {
		if fits(n) {
			some = append(some, n)
		}
	}
	if len(some) == 0 {
		t.Skip("no such daemon")
	}
	return rapid.SampledFrom(some).Draw(t, "daemon")
}

func running(n *pacapacity.Node) bool { return !n.Down && !n.Frozen }

// check verifies what has to hold at all times.
func (w *world) check(t *rapid.T) {
	for _, n := range w.fleet.Nodes {
		if !running(n) {
			continue
		}
		for _, m := range n.View(w.fleet.Now).Members {
			key := fmt.Sprint(n.Identity.Name, n.Identity.Incarnation, m.Name)
			if m.Incarnation < w.seen[key] {
				t.Fatalf("%s shows incarnation %d of %s after %d", n.Identity.Name, m.Incarnation, m.Name, w.seen[key])
			}
			w.seen[key] = m.Incarnation
			if m.Name == n.Identity.Name && !m.Live() && m.State != pamember.Leaving {
				t.Fatalf("%s shows itself as %s", m.Name, m.State)
			}
		}
	}
}

// checkConverged ends all faults and verifies that the views converge.
func (w *world) checkConverged(t *rapid.T) {
	w.cut, w.deaf = map[pabundle.ZoneName]bool{}, map[pabundle.EntryName]bool{}
	for _, n := range w.fleet.Nodes {
		if n.Frozen {
			w.fleet.Thaw(n)
		}
	}
	// The VM list arrives late but does arrive: without it two halves that started apart would meet by chance only.
	for _, n := range w.fleet.Nodes {
		if !n.Down {
			w.fleet.Do(n, pamember.Seeds{List: w.fleet.Seeds()})
		}
	}
	const bound = 90 * time.Second
	w.fleet.Run(bound)
	for _, n := range w.fleet.Nodes {
		if n.Down {
			continue
		}
		v := n.View(w.fleet.Now)
		for _, o := range w.fleet.Nodes {
			m, ok := v.Find(o.Identity.Name)
			if live := ok && m.Live(); live != !o.Down {
				t.Fatalf("after %v %s shows %s as %s (known: %v); down: %v", bound, n.Identity.Name, o.Identity.Name, m.State, ok, o.Down)
			}
			if at, gone := w.left[o.Identity.Name]; gone && ok && m.Live() && m.Incarnation <= at {
				t.Fatalf("%s left, but %s shows it live", o.Identity.Name, n.Identity.Name)
			}
		}
	}
	w.check(t)
}

// Runs random mixes of deaths, restarts, planned stops, paused processes, partitioned zones, daemons that can only
// send, and lost messages. No incarnation may fall and no daemon may show itself as dead; ninety seconds after the last
// fault every running daemon has to show exactly the running daemons as live.
func TestMembershipFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{left: map[pabundle.EntryName]pamember.Incarnation{}, seen: map[string]pamember.Incarnation{}}
		shape := pacapacity.Shape{Regions: rapid.IntRange(1, 3).Draw(t, "regions"), ZonesPerRegion: 2, PerZone: rapid.IntRange(1, 4).Draw(t, "zone")}
		w.fleet = &pacapacity.Fleet{Random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), Now: epoch, Loss: 0.05}
		w.fleet.Cut = func(from, to pamember.Identity) bool {
			return w.deaf[to.Name] || from.Zone != to.Zone && (w.cut[from.Zone] || w.cut[to.Zone])
		}
		if err := w.fleet.Build(shape); err != nil {
			t.Fatal(err)
		}
		w.cut, w.deaf = map[pabundle.ZoneName]bool{}, map[pabundle.EntryName]bool{}
		w.fleet.Run(15 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"run":    func(t *rapid.T) { w.fleet.Run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second) },
			"kill":   func(t *rapid.T) { w.pick(t, running).Down = true },
			"freeze": func(t *rapid.T) { w.pick(t, running).Frozen = true },
			"thaw":   func(t *rapid.T) { w.fleet.Thaw(w.pick(t, func(n *pacapacity.Node) bool { return n.Frozen })) },
			"cut":    func(t *rapid.T) { w.cut[w.pick(t, running).Identity.Zone] = true },
			"deaf":   func(t *rapid.T) { w.deaf[w.pick(t, running).Identity.Name] = true },
			"heal": func(*rapid.T) {
				clear(w.cut)
				clear(w.deaf)
			},
			"restart": func(t *rapid.T) {
				if err := w.fleet.Restart(w.pick(t, func(n *pacapacity.Node) bool { return n.Down })); err != nil {
					t.Fatal(err)
				}
			},
			"leave": func(t *rapid.T) {
				n := w.pick(t, running)
				w.fleet.Do(n, pamember.Leave{})
				w.fleet.Run(2 * time.Second)
				w.fleet.Do(n, pamember.FinishLeave{})
				w.left[n.Identity.Name] = n.Self().Incarnation
				n.Down = true
			},
			"": w.check,
		})
		w.checkConverged(t)
	})
}

// Messages from faulty or hostile peers, also ones that decode, must neither cause a panic nor make a member declare
// itself gone.
func FuzzMessage(f *testing.F) {
	fleet := &pacapacity.Fleet{Random: rand.New(rand.NewPCG(1, 1)), Now: epoch}
	if err := fleet.Build(pacapacity.Shape{Regions: 2, ZonesPerRegion: 1, PerZone: 2}); err != nil {
		f.Fatal(err)
	}
	for k := pamember.Ping; k <= pamember.SyncRecords; k++ {
		from := pamember.Record{Identity: fleet.Nodes[1].Identity}
		m := pamember.Message{
			Kind: k, Nonce: 1, From: from, Subject: "x", Records: []pamember.Record{from}, WantedGroups: []uint32{1},
			Heartbeats: []pamember.GroupHeartbeat{{Group: 1, Counter: 2}}, Digests: []pamember.GroupDigest{{Group: 1, Digest: 2}},
			Truncated: true,
		}
		b, err := proto.Marshal(pamember.ToWire([]pamember.Message{m}))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var w pawire.MemberMessages
		if proto.Unmarshal(b, &w) != nil {
			return
		}
		all, err := pamember.FromWire(&w)
		if err != nil {
			return
		}
		n := fleet.Nodes[0]
		for _, m := range all {
			n.Step(fleet.Now, pamember.Received{Message: m})
		}
		n.Step(fleet.Now, pamember.Tick{})
		if m, ok := n.View(fleet.Now).Find(n.Identity.Name); !ok || m.State != pamember.Alive || m.Incarnation < n.Identity.Incarnation {
			t.Fatalf("the member no longer shows itself as alive: %v", m)
		}
	})
}
