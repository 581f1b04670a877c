package pagate

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pafleet"
)

// loopbackNetwork is a Network on the machine's own sockets.
type loopbackNetwork struct{}

func (loopbackNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

func (loopbackNetwork) Listen(a netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", a.String())
}

// testCluster is a set of gates that sync with each other, and read the store only when the test says so.
type testCluster struct {
	clock   *clockwork.FakeClock
	gates   []*Gate
	changes []pafleet.Change
}

// newTestCluster returns a cluster in which the first two gates are the store readers, and the third syncs from the
// first.
func newTestCluster(t *testing.T, n int) *testCluster {
	f := &testCluster{clock: clockwork.NewFakeClock()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := Settings{Name: fmt.Sprint("e", i), Region: "r", Peers: netip.MustParseAddrPort(l.Addr().String())}
		g := New(Config{Settings: s, Network: loopbackNetwork{}, Clock: f.clock})
		g.spawn(func() { g.runTestLoop(ctx) })
		g.spawn(func() { g.servePeers(ctx, l) })
		f.gates = append(f.gates, g)
		e := g.self
		e.Revision = pafleet.Revision(i + 1)
		f.changes = append(f.changes, pafleet.EntryUpdated{Entry: e})
	}
	s := &state{entries: f.entries()}
	order := f.gates[0].liveByHash(s)
	place := func(name string) int {
		return slices.IndexFunc(order, func(e pafleet.Entry) bool { return e.Name == name })
	}
	slices.SortFunc(f.gates, func(a, b *Gate) int { return place(a.self.Name) - place(b.self.Name) })
	if f.gates[2].syncSource(s).Name == f.gates[1].self.Name {
		f.gates[0], f.gates[1] = f.gates[1], f.gates[0]
	}
	return f
}

func (f *testCluster) entries() (all []pafleet.Entry) {
	for _, c := range f.changes {
		all = append(all, c.(pafleet.EntryUpdated).Entry)
	}
	return all
}

// readStore lets a gate read the whole store, or the changes since its last read, and waits until the gate has
// applied them.
func (f *testCluster) readStore(g *Gate, whole bool, r pafleet.Revision, all ...pafleet.Change) {
	if whole {
		all = append(slices.Clone(f.changes), all...)
	}
	g.post(context.Background(), storeUpdate{changes: all, since: g.state.Load().revision, revision: r, whole: whole, verifiedAt: g.uptime()})
	waitFor(func() bool { return g.state.Load().revision == r })
}

func waitFor(done func() bool) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

func (g *Gate) hasMetric(line string) bool {
	var out bytes.Buffer
	g.WriteMetrics(&out)
	return strings.Contains(out.String(), line)
}

func (g *Gate) sentWholeState() bool { return !g.hasMetric(`told_total{kind="Whole"} 0`) }

// A restarted store reader has no history, and sent its whole state over a narrow link to each of the fifty entry VMs
// that sync from it. They get the changes from another reader instead.
func TestRestartedStoreReaderSendsNoWholeState(t *testing.T) {
	f := newTestCluster(t, 3)
	restarted, reader, follower := f.gates[0], f.gates[1], f.gates[2]
	target := pafleet.TargetUpdated{Target: pafleet.Target{ID: "t", Service: "s", Revision: 8, Sequence: 1}}
	for _, g := range []*Gate{reader, follower} {
		f.readStore(g, true, 10, target)
	}
	f.readStore(reader, false, 14, pafleet.TargetRemoved{ID: "t", Revision: 12})
	f.readStore(restarted, true, 14)
	follower.peers.syncWith(context.Background(), restarted.self)
	if !waitFor(func() bool { return follower.state.Load().revision == 14 }) {
		t.Fatalf("the follower is at revision %d, want 14", follower.state.Load().revision)
	}
	if !restarted.hasMetric(`told_total{kind="NoHistory"} 1`) || restarted.sentWholeState() || reader.sentWholeState() {
		t.Error("a reader sent its whole state, or the restarted one did not say that it has no history")
	}
	if !reader.hasMetric(`told_total{kind="Changes"} 1`) {
		t.Error("the other reader sent no changes")
	}
}

// An entry VM that does not reach the store needs changes of which no store reader has the history. It kept its old
// state for ever, as nobody sent it their whole state.
func TestWholeStateIsFetchedOnceStateIsTooOld(t *testing.T) {
	f := newTestCluster(t, 3)
	first, second, follower := f.gates[0], f.gates[1], f.gates[2]
	f.readStore(follower, true, 10)
	for _, g := range []*Gate{first, second} {
		f.readStore(g, true, 14)
	}
	follower.peers.syncWith(context.Background(), first.self)
	if r := follower.state.Load().revision; r != 10 || first.sentWholeState() || second.sentWholeState() {
		t.Fatalf("the follower is at revision %d right away, want 10, or a reader sent its whole state", r)
	}
	f.clock.Advance(maxAge + time.Second)
	f.readStore(first, false, 15)
	follower.peers.syncWith(context.Background(), first.self)
	if !waitFor(func() bool { return follower.state.Load().revision == 15 }) {
		t.Errorf("the follower is at revision %d, want 15", follower.state.Load().revision)
	}
}
