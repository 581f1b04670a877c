package pagate

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"papayahead/paevent"
	"papayahead/pafleet"
)

const (
	// syncInterval is the time between two calls to a neighbour: a dead one is avoided after two.
	syncInterval = 500 * time.Millisecond
	// syncTimeout bounds a call; the longest way between regions takes 70 ms there and back.
	syncTimeout = 400 * time.Millisecond
	// maxSyncFailures is how many calls in a row must fail before a neighbour counts as dead.
	maxSyncFailures = 2
	// unlistedPeerTTL is how long a neighbour that the store does not name is remembered.
	unlistedPeerTTL = 5 * time.Second
)

// peers exchanges what is known with neighbours.
type peers struct {
	gate  *Gate
	mutex sync.Mutex
	known map[string]*peer
	conns map[netip.AddrPort]*peerConn
	// noteBudget is what may be told of warm objects now.
	noteBudget tokenBucket
	// fullSyncRunning says that a neighbour is being asked for everything, for want of history.
	fullSyncRunning atomic.Bool
}

// peer is what calls to a neighbour showed.
type peer struct {
	entry    pafleet.Entry
	failures int
	leaving  bool
	contactAt  time.Time
}

// peerConn is the connection to a neighbour; one call runs on it at a time.
type peerConn struct {
	busy sync.Mutex
	conn *drpcconn.Conn
	// entry is what the neighbour said of itself on this connection; warm is its last note that came.
	entry pafleet.Entry
	lastNote  uint64
}

// close closes the connection after a failed call; the next call opens another.
func (c *peerConn) close(g *Gate) {
	if err := c.conn.Close(); err != nil {
		g.meter.peerCloseErrors.Inc()
	}
	c.conn = nil
}

func newPeers(g *Gate) *peers {
	return &peers{gate: g, known: map[string]*peer{}, conns: map[netip.AddrPort]*peerConn{}, noteBudget: tokenBucket{rate: notesPerSecond, burst: maxNoteBurst}}
}

// run calls the neighbours in turn.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range p.callees() {
			p.gate.spawn(func() { p.syncWith(ctx, e) })
		}
		p.gate.sleep(ctx, syncInterval)
	}
}

// callees returns whom to call: neighbours of the own region, one of those that read the store for all, as the limiter
// one of each zone, and the seeds as long as nothing is known.
func (p *peers) callees() []pafleet.Entry {
	g := p.gate
	s := g.state.Load()
	all := map[netip.AddrPort]pafleet.Entry{}
	for _, e := range g.neighbours(s.entries) {
		all[e.Peers] = e
	}
	if r := g.syncSource(s); r.Name != "" {
		all[r.Peers] = r
	}
	for _, e := range g.remoteSources(s) {
		all[e.Peers] = e
	}
	if g.limiter.isLimiter() {
		for _, e := range g.limiter.zoneSamples(s) {
			all[e.Peers] = e
		}
	}
	if s.table == nil || g.age(s) > 2*maxAge {
		for _, a := range g.config.Settings.Seeds {
			if _, ok := all[a]; !ok {
				all[a] = pafleet.Entry{Peers: a}
			}
		}
	}
	delete(all, g.self.Peers)
	out := make([]pafleet.Entry, 0, len(all))
	for _, e := range all {
		out = append(out, e)
	}
	return out
}

// usable says whether a neighbour may be named to callers.
func (p *peers) usable(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.known[name]
	return k == nil || k.failures < maxSyncFailures && !k.leaving
}

// unlisted returns neighbours that answer though the store does not name them: their registration
// lapsed in an outage of the store, or is on its way.
func (p *peers) unlisted(listed []pafleet.Entry) []pafleet.Entry {
	names := map[string]bool{}
	for _, e := range listed {
		names[e.Name] = true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []pafleet.Entry
	now := p.gate.config.Clock.Now()
	for name, k := range p.known {
		if !names[name] && k.failures == 0 && !k.leaving && now.Sub(k.contactAt) < unlistedPeerTTL {
			all = append(all, k.entry)
		}
	}
	return all
}

// recordContact notes that a neighbour lives.
func (p *peers) recordContact(e pafleet.Entry, leaving bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.known[e.Name] = &peer{entry: e, leaving: leaving, contactAt: p.gate.config.Clock.Now()}
}

// recordFailure notes that a neighbour did not answer.
func (p *peers) recordFailure(e pafleet.Entry) {
	if e.Name == "" {
		return
	}
	p.mutex.Lock()
	k := p.known[e.Name]
	if k == nil {
		k = &peer{entry: e, contactAt: p.gate.config.Clock.Now()}
		p.known[e.Name] = k
	}
	k.failures++
	n := k.failures
	p.mutex.Unlock()
	if n == maxSyncFailures {
		p.gate.record(paevent.NeighbourLost{Entry: e.Name, Failures: n})
	}
}

func (p *peers) conn(a netip.AddrPort) *peerConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.conns[a]
	if c == nil {
		c = &peerConn{}
		p.conns[a] = c
	}
	return c
}

// refreshContact notes that a neighbour lives that told its registration before.
func (p *peers) refreshContact(name string, leaving bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if k := p.known[name]; k != nil {
		k.failures, k.leaving, k.contactAt = 0, leaving, p.gate.config.Clock.Now()
	}
}
