package paproxy

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"papayahead/paclock"
	"papayahead/paevent"
)

// The limits of connections to targets where Targets leaves them zero.
const (
	// DefaultMaxReuseAge is how long after its last answer a connection may carry a request that is
	// not idempotent. A middlebox that forgets a connection swallows the request without an error;
	// such boxes forget after minutes of silence or on their own restart. A second of trust keeps
	// reuse under load, where answers come every few ms, and a new connection costs about 1 ms.
	DefaultMaxReuseAge = time.Second
	// DefaultSilenceTimeout is how long a reused connection without proof of life may hold an idempotent
	// request before it is closed and the request sent on a new one. It is above the run time of
	// ordinary work, so that a slow target's work is rarely cut.
	DefaultSilenceTimeout = 2 * time.Second
	// DefaultTargetIdleTimeout closes unused connections, so that a target's 330 are left to who needs them.
	DefaultTargetIdleTimeout = 30 * time.Second
	// DefaultDialTimeout bounds opening a connection, which takes about 1 ms.
	DefaultDialTimeout = time.Second
	// continueTimeout is how long a target may leave an expected 100-continue out.
	continueTimeout = time.Second
	// maxResponseHeader bounds the header of a target's answer.
	maxResponseHeader = 64 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TargetClient sends requests to targets, each at most once on a connection that this entry VM keeps for
// the target. Set the fields before the first request.
type TargetClient struct {
	Dial  DialFunc
	Clock clockwork.Clock
	// Events hears of silent connections and crossed answers; nil is nobody.
	Events Events
	// Stamps is this process's hybrid logical clock; nil leaves requests without stamps.
	Stamps *paevent.Stamper
	// MaxReuseAge, SilenceTimeout, IdleTimeout and DialTimeout are as their defaults say; zero takes the default.
	MaxReuseAge, SilenceTimeout, IdleTimeout, DialTimeout time.Duration
	// TrustResponseOrder reuses connections of targets that do not repeat the request's identity in their
	// answers. Without it these get a new connection for each request, because a late or surplus
	// answer on a reused one would pass for the answer to the next request.
	TrustResponseOrder bool

	mutex sync.Mutex
	pools map[netip.AddrPort]*pool
}

// pool holds the connections to one target, the least recently used first.
type pool struct {
	idle []*targetConn
	open int
}

// targetConn is one connection to a target, under an http.Transport of its own.
//
// The failure that this guards against is a second run: a shared http.Transport sends a request
// again when a reused connection died, for each idempotent method and for every request with an
// Idempotency-Key. This Transport can dial once; when its connection is gone, there is nothing left
// to send on.
type targetConn struct {
	transport *http.Transport
	tracked   *trackedConn
	address   netip.AddrPort
	// respondedAt is the time of the last whole answer, or of the dial.
	respondedAt time.Time
	// reused and recent describe the connection as it was taken.
	reused, recent bool
}

// errConnectionBudget says that all of this entry VM's connections to the target are in use.
var errConnectionBudget = trace.LimitExceeded("all connections to the target are in use")

// errSecondDial says that a connection's transport wanted a second connection.
var errSecondDial = trace.ConnectionProblem(nil, "the connection is gone")

// connect returns a connection: an idle one with an answer less than maxAge ago, or a new one.
func (t *TargetClient) connect(ctx context.Context, to Local, maxAge time.Duration) (*targetConn, error) {
	c, err := t.acquire(to, maxAge)
	if c != nil || err != nil {
		return c, err
	}
	ctx, cancel := paclock.WithTimeout(ctx, t.Clock, orDefault(t.DialTimeout, DefaultDialTimeout))
	defer cancel()
	raw, err := t.Dial(ctx, "tcp", to.Address.String())
	if err != nil {
		t.releaseSlot(to.Address)
		return nil, trace.Wrap(err)
	}
	return newTargetConn(raw, to.Address, t.Clock.Now()), nil
}

func newTargetConn(raw net.Conn, address netip.AddrPort, now time.Time) *targetConn {
	wire := &trackedConn{Conn: raw}
	unused := make(chan net.Conn, 1)
	unused <- wire
	transport := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			select {
			case c := <-unused:
				return c, nil
			default:
				return nil, errSecondDial
			}
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &targetConn{transport: transport, tracked: wire, address: address, respondedAt: now, recent: true}
}

// acquire takes an idle connection, or room for a new one.
func (t *TargetClient) acquire(to Local, maxAge time.Duration) (*targetConn, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pools == nil {
		t.pools = map[netip.AddrPort]*pool{}
	}
	p := t.pools[to.Address]
	if p == nil {
		p = &pool{}
		t.pools[to.Address] = p
	}
	now := t.Clock.Now()
	t.reap(p, now)
	if last := len(p.idle) - 1; last >= 0 && now.Sub(p.idle[last].respondedAt) <= maxAge {
		c := p.idle[last]
		p.idle = p.idle[:last]
		c.reused, c.recent = true, now.Sub(c.respondedAt) <= orDefault(t.MaxReuseAge, DefaultMaxReuseAge)
		return c, nil
	}
	if to.MaxConnections > 0 && p.open >= to.MaxConnections && len(p.idle) > 0 {
		t.discard(p, p.idle[0])
		p.idle = p.idle[1:]
	}
	if to.MaxConnections > 0 && p.open >= to.MaxConnections {
		return nil, errConnectionBudget
	}
	p.open++
	return nil, nil
}

// reap closes idle connections that died or are too old; the caller holds the lock.
func (t *TargetClient) reap(p *pool, now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.tracked.alive() && now.Sub(c.respondedAt) < orDefault(t.IdleTimeout, DefaultTargetIdleTimeout) {
			kept = append(kept, c)
			continue
		}
		t.discard(p, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// discard closes a connection of the pool; the caller holds the lock.
func (t *TargetClient) discard(p *pool, c *targetConn) {
	p.open--
	c.tracked.seal()
	c.transport.CloseIdleConnections()
}

// releaseSlot gives the room of a connection back that was not opened.
func (t *TargetClient) releaseSlot(address netip.AddrPort) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pools[address].open--
}

// closeUsed closes a connection in use and returns the number of writes that started on it.
func (t *TargetClient) closeUsed(c *targetConn) int {
	n := c.tracked.seal()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.discard(t.pools[c.address], c)
	return n
}

// put makes a connection idle after a whole answer.
func (t *TargetClient) put(c *targetConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c.respondedAt = t.Clock.Now()
	p := t.pools[c.address]
	p.idle = append(p.idle, c)
}

// CloseIdle closes the target's idle connections after one of them was silent: a middlebox that lost
// track of one has lost track of others, and new ones cost about 1 ms each.
func (t *TargetClient) CloseIdle(address netip.AddrPort) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.pools[address]
	if p == nil {
		return
	}
	for _, c := range p.idle {
		t.discard(p, c)
	}
	p.idle = nil
}

// Reap closes idle connections that are too old; call it now and then.
func (t *TargetClient) Reap() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.Clock.Now()
	for address, p := range t.pools {
		t.reap(p, now)
		if p.open == 0 {
			delete(t.pools, address)
		}
	}
}

// Close closes all idle connections; those in use close with their requests.
func (t *TargetClient) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, p := range t.pools {
		for _, c := range p.idle {
			t.discard(p, c)
		}
		p.idle = nil
	}
}
