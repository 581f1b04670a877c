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

// sockets is a network of the machine's own sockets.
type sockets struct{}

func (sockets) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

func (sockets) Listen(a netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", a.String()) }

// fewGates are gates that tell each other what the store holds and read it only when told to.
type fewGates struct {
	clock   *clockwork.FakeClock
	gates   []*Gate
	changes []pafleet.Change
}

// newFewGates returns gates of which the first two read the store for all, and the third asks the first.
func newFewGates(t *testing.T, n int) *fewGates {
	f := &fewGates{clock: clockwork.NewFakeClock()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := Settings{Name: fmt.Sprint("e", i), Region: "r", Peers: netip.MustParseAddrPort(l.Addr().String())}
		g := New(Config{Settings: s, Network: sockets{}, Clock: f.clock})
		g.spawn(func() { g.takeEvents(ctx) })
		g.spawn(func() { g.servePeers(ctx, l) })
		f.gates = append(f.gates, g)
		e := g.self
		e.Revision = pafleet.Revision(i + 1)
		f.changes = append(f.changes, pafleet.EntryUpdated{Entry: e})
	}
	s := &state{entries: f.entries()}
	order := f.gates[0].byHash(s)
	place := func(name string) int {
		return slices.IndexFunc(order, func(e pafleet.Entry) bool { return e.Name == name })
	}
	slices.SortFunc(f.gates, func(a, b *Gate) int { return place(a.self.Name) - place(b.self.Name) })
	if f.gates[2].nearestReader(s).Name == f.gates[1].self.Name {
		f.gates[0], f.gates[1] = f.gates[1], f.gates[0]
	}
	return f
}

func (f *fewGates) entries() (all []pafleet.Entry) {
	for _, c := range f.changes {
		all = append(all, c.(pafleet.EntryUpdated).Entry)
	}
	return all
}

// read lets a gate read the store, whole or from where it stands, and waits until it has taken that.
func (f *fewGates) read(g *Gate, whole bool, r pafleet.Revision, all ...pafleet.Change) {
	if whole {
		all = append(slices.Clone(f.changes), all...)
	}
	g.post(context.Background(), storeRead{changes: all, since: g.state.Load().revision, revision: r, whole: whole, at: g.uptime()})
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

func (g *Gate) counted(line string) bool {
	var out bytes.Buffer
	g.WriteMetrics(&out)
	return strings.Contains(out.String(), line)
}

func (g *Gate) toldWhole() bool { return !g.counted(`told_total{kind="Whole"} 0`) }

// A reader started again, and each of the fifty that follow it took the whole view from it over a narrow link.
func TestARestartedReaderSendsItsFollowersElsewhere(t *testing.T) {
	f := newFewGates(t, 3)
	restarted, reader, follower := f.gates[0], f.gates[1], f.gates[2]
	target := pafleet.TargetUpdated{Target: pafleet.Target{ID: "t", Service: "s", Revision: 8, Sequence: 1}}
	for _, g := range []*Gate{reader, follower} {
		f.read(g, true, 10, target)
	}
	f.read(reader, false, 14, pafleet.TargetRemoved{ID: "t", Revision: 12})
	f.read(restarted, true, 14)
	follower.peers.call(context.Background(), restarted.self)
	if !waitFor(func() bool { return follower.state.Load().revision == 14 }) {
		t.Fatalf("the follower stands at %d", follower.state.Load().revision)
	}
	if !restarted.counted(`told_total{kind="NoHistory"} 1`) || restarted.toldWhole() || reader.toldWhole() {
		t.Error("somebody told everything, or the restarted reader did not say that it has no history")
	}
	if !reader.counted(`told_total{kind="Changes"} 1`) {
		t.Error("the other reader told no changes")
	}
}

// Nobody has the history that an entry VM needs, and it does not reach the store: it kept what it knew for ever.
func TestWhoFindsNoHistoryTakesEverythingInTheEnd(t *testing.T) {
	f := newFewGates(t, 3)
	first, second, follower := f.gates[0], f.gates[1], f.gates[2]
	f.read(follower, true, 10)
	for _, g := range []*Gate{first, second} {
		f.read(g, true, 14)
	}
	follower.peers.call(context.Background(), first.self)
	if r := follower.state.Load().revision; r != 10 || first.toldWhole() || second.toldWhole() {
		t.Fatalf("the follower stands at %d right away, or was told everything", r)
	}
	f.clock.Advance(maxAge + time.Second)
	f.read(first, false, 15)
	follower.peers.call(context.Background(), first.self)
	if !waitFor(func() bool { return follower.state.Load().revision == 15 }) {
		t.Errorf("the follower stands at %d", follower.state.Load().revision)
	}
}
