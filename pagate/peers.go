package pagate

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"papayahead/pabucket"
	"papayahead/paevent"
	"papayahead/pafleet"
)

const (
	// syncInterval is the time between two calls to a neighbour. A dead one is avoided after maxSyncFailures
	// calls.
	syncInterval = 500 * time.Millisecond
	// minSyncInterval is the least time between two calls to a neighbour.
	minSyncInterval = 100 * time.Millisecond
	// syncTimeout bounds a call; the longest round trip between regions takes 70 ms.
	syncTimeout = 400 * time.Millisecond
	// maxSyncFailures is how many calls in a row must fail before a neighbour counts as dead.
	maxSyncFailures = 2
	// unlistedPeerTTL is how long a neighbour that is not registered in the store is remembered after its last
	// contact.
	unlistedPeerTTL = 5 * time.Second
)

// peers exchanges state with neighbouring entry VMs, which also serves as their health check.
type peers struct {
	gate  *Gate
	mutex sync.Mutex
	known map[string]*peer
	conns map[netip.AddrPort]*peerConn
	// noteBudget bounds the warm notes sent to neighbours.
	noteBudget pabucket.Bucket
	// endBudget bounds the findings on ended targets sent to neighbours; woken has them called at once.
	endBudget pabucket.Bucket
	// limitBudget bounds the notes on limits of targets sent to neighbours.
	limitBudget pabucket.Bucket
	// pushbackBudget bounds the notes on pushbacks sent to neighbours.
	pushbackBudget pabucket.Bucket
	// loadBudget bounds the notes on loads of targets sent to neighbours.
	loadBudget pabucket.Bucket
	woken      chan struct{}
	// fullSyncRunning says that a neighbour is being asked for its whole state, for want of history.
	fullSyncRunning atomic.Bool
	// operatorFetching says that a neighbour is being asked for what operators wrote.
	operatorFetching atomic.Bool
}

// peer is a neighbour's registration and health, as seen in the calls to and from it.
type peer struct {
	entry     pafleet.Entry
	failures  int
	leaving   bool
	contactAt time.Time
	// failedAt is when the last call to it failed.
	failedAt time.Time
	// lost are the services whose targets it fails to reach, as it last said.
	lost lostServices
	// listingAt is when it last said that it is reading the whole store; zero if it is not.
	listingAt time.Time
}

func newPeers(g *Gate) *peers {
	return &peers{
		gate: g, known: map[string]*peer{}, conns: map[netip.AddrPort]*peerConn{},
		noteBudget:  pabucket.Bucket{Rate: notesPerSecond, Burst: maxNoteBurst},
		endBudget:   pabucket.Bucket{Rate: endsPerSecond, Burst: maxEndBurst},
		limitBudget: pabucket.Bucket{Rate: limitsPerSecond, Burst: maxLimitBurst}, woken: make(chan struct{}, 1),
		pushbackBudget: pabucket.Bucket{Rate: pushbacksPerSecond, Burst: maxPushbackBurst},
		loadBudget:     pabucket.Bucket{Rate: loadsPerSecond, Burst: maxLoadBurst},
	}
}

// run calls all callees at each syncInterval, and soon after it is woken.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range p.callees() {
			p.gate.spawn(func() { p.syncWith(ctx, e) })
		}
		select {
		case <-p.gate.config.Clock.After(syncInterval):
		case <-p.woken:
			p.gate.sleep(ctx, minSyncInterval)
		case <-ctx.Done():
		}
	}
}

// wakeUp has the neighbours called soon: there is something that they should know before the next turn.
func (p *peers) wakeUp() {
	select {
	case p.woken <- struct{}{}:
	default:
	}
}

// callees returns the entry VMs to call: neighbours in the own region, the sync source, sources of warm notes in
// other regions, as the limiter one in each zone, and the seeds while the state is missing or too old.
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

// usable reports whether an entry VM may be named to clients: it does not shut down, and calls to it do not fail. What is
// known of an earlier process does not count.
func (p *peers) usable(e pafleet.Entry) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.known[e.Name]
	return k == nil || k.entry.Born < e.Born || k.failures < maxSyncFailures && !k.leaving
}

// failureTTL is how long the failed calls to an entry VM count for requests that it is to relay.
const failureTTL = 3 * time.Second

// mayRelay reports whether an entry VM may be handed requests. Failed calls do not count for long: one in another region may
// not be called any more, and an attempt to connect to it tells at once.
func (p *peers) mayRelay(e pafleet.Entry) bool {
	if p.usable(e) {
		return true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.known[e.Name]
	return !k.leaving && p.gate.config.Clock.Now().Sub(k.failedAt) > failureTTL
}

// unlisted returns neighbours that respond but are not registered in the store: their registration expired in an
// outage of the store, or is not written yet.
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

// recordContact records that a neighbour is alive, with its registration.
func (p *peers) recordContact(e pafleet.Entry, leaving bool, lost lostServices) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.known[e.Name] = &peer{entry: e, leaving: leaving, contactAt: p.gate.config.Clock.Now(), lost: lost}
}

// recordFailure records that a call to a neighbour failed.
func (p *peers) recordFailure(e pafleet.Entry) {
	if e.Name == "" {
		return
	}
	p.mutex.Lock()
	k := p.known[e.Name]
	if k == nil || k.entry.Born < e.Born {
		k = &peer{entry: e, contactAt: p.gate.config.Clock.Now()}
		p.known[e.Name] = k
	}
	k.failures++
	k.failedAt = p.gate.config.Clock.Now()
	n := k.failures
	p.mutex.Unlock()
	if n == maxSyncFailures {
		p.gate.record(paevent.NeighbourLost{Entry: e.Name, Failures: n})
		p.gate.relayCancels.Cancel(e.Name)
	}
}

// refreshContact records that a neighbour is alive that sent its registration before.
func (p *peers) refreshContact(name string, leaving bool, lost lostServices) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if k := p.known[name]; k != nil {
		k.failures, k.leaving, k.contactAt, k.lost = 0, leaving, p.gate.config.Clock.Now(), lost
	}
}
