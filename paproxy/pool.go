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

	"papayahead/pabuffer"
	"papayahead/paclock"
	"papayahead/paevent"
	"papayahead/pahead"
)

// Defaults and limits of connections to targets.
const (
	// DefaultMaxReuseAge is how long after its last response a connection may carry a request that is
	// not idempotent. A middlebox that drops its connection state loses the request without an error;
	// this happens after minutes of silence or when the middlebox restarts. One second preserves reuse
	// under load, where responses arrive every few ms, and a new connection takes about 1 ms.
	DefaultMaxReuseAge = time.Second
	// DefaultSilenceTimeout is how long an idempotent request may stay unanswered on a reused
	// connection older than MaxReuseAge before the connection is closed and the request sent on a new
	// one. It exceeds the usual run time, so that a slow target's work is rarely interrupted.
	DefaultSilenceTimeout = 2 * time.Second
	// DefaultTargetIdleTimeout closes unused connections, so that other entry VMs can use the target's
	// limit of 330.
	DefaultTargetIdleTimeout = 30 * time.Second
	// DefaultDialTimeout limits opening a connection, which takes about 1 ms.
	DefaultDialTimeout = time.Second
	// continueTimeout is how long to wait for a target's 100 Continue before the body is sent without
	// it.
	continueTimeout = time.Second
	// maxResponseHeader limits the header of a target's response, in bytes.
	maxResponseHeader = 64 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TargetClient sends requests to targets over pooled connections, each request at most once. Set
// the fields before the first request.
type TargetClient struct {
	Dial  DialFunc
	Clock clockwork.Clock
	// Events receives events about silent connections and responses with a wrong request ID; nil
	// disables them.
	Events Events
	// Stamps is this process's hybrid logical clock; requests carry no timestamps if it is nil.
	Stamps *paevent.Stamper
	// MaxReuseAge, SilenceTimeout, IdleTimeout and DialTimeout are described at their defaults, which
	// replace zeros.
	MaxReuseAge, SilenceTimeout, IdleTimeout, DialTimeout time.Duration
	// TrustResponseOrder allows reusing connections of targets that don't repeat the request ID in
	// their responses. By default each of their requests gets a new connection, because a late or
	// surplus response on a reused one would be taken for the response to the next request.
	TrustResponseOrder bool
	// Memory is the account from which the heads of responses take; nil is no bound.
	Memory *pabuffer.Budget

	mutex sync.Mutex
	pools map[netip.AddrPort]*pool
}

// pool holds the connections to one target. Idle connections are ordered from the least to the most
// recently used.
type pool struct {
	idle []*targetConn
	open int
}

// targetConn is a connection to a target, with its own http.Transport.
//
// A shared http.Transport resends a request if a reused connection fails, for every idempotent
// method and for every request with an Idempotency-Key, which could run the request twice. This
// Transport can dial only once; after its connection has failed it has none to resend on.
type targetConn struct {
	transport *http.Transport
	tracked   *trackedConn
	address   netip.AddrPort
	// respondedAt is the time of the last complete response, or of the dial.
	respondedAt time.Time
	// reused and recent describe the connection when it was taken from the pool; recent reports that
	// its last response is at most MaxReuseAge old.
	reused, recent bool
}

// errConnectionBudget is returned when this entry VM's share of the target's connections is in use.
var errConnectionBudget = trace.LimitExceeded("this entry VM's connections to the target are all in use")

// errSecondDial is returned when a connection's transport tries to open a second connection.
var errSecondDial = trace.ConnectionProblem(nil, "the connection to the target is closed")

// connect returns an idle connection with a response less than maxAge ago, or a new one.
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
	return newTargetConn(raw, to.Address, t.Clock.Now(), t.Memory), nil
}

func newTargetConn(raw net.Conn, address netip.AddrPort, now time.Time, memory *pabuffer.Budget) *targetConn {
	wire := &trackedConn{Conn: raw, head: pahead.Reader{Source: raw, Interim: true}, claim: pabuffer.Claim{Budget: memory}}
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

// acquire takes an idle connection. If there is none it counts a new one and returns nil, or
// errConnectionBudget if the limit is reached.
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
	t.closeExpired(p, now)
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

// closeExpired closes idle connections that failed or are too old; the caller holds the lock.
func (t *TargetClient) closeExpired(p *pool, now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.tracked.usable() && now.Sub(c.respondedAt) < orDefault(t.IdleTimeout, DefaultTargetIdleTimeout) {
			kept = append(kept, c)
			continue
		}
		t.discard(p, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// discard closes a connection and stops counting it; the caller holds the lock.
func (t *TargetClient) discard(p *pool, c *targetConn) {
	p.open--
	c.tracked.seal()
	c.transport.CloseIdleConnections()
}

// releaseSlot stops counting a connection that could not be opened.
func (t *TargetClient) releaseSlot(address netip.AddrPort) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pools[address].open--
}

// closeUsed closes a connection in use and returns the number of writes started on it.
func (t *TargetClient) closeUsed(c *targetConn) int {
	n := c.tracked.seal()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.discard(t.pools[c.address], c)
	return n
}

// put returns a connection to the pool after a complete response.
func (t *TargetClient) put(c *targetConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c.respondedAt = t.Clock.Now()
	p := t.pools[c.address]
	p.idle = append(p.idle, c)
}

// CloseIdle closes the target's idle connections. Call it after one connection was silent: a
// middlebox that dropped the state of one has probably dropped others, and new ones take about 1 ms
// each.
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

// CloseExpired closes idle connections that are too old; call it periodically.
func (t *TargetClient) CloseExpired() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.Clock.Now()
	for address, p := range t.pools {
		t.closeExpired(p, now)
		if p.open == 0 {
			delete(t.pools, address)
		}
	}
}

// Close closes all idle connections; those in use are closed with their requests.
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
