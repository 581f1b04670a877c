package paproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"papayahead/pabundle"
	"papayahead/paclock"
	"papayahead/paevent"
	"papayahead/pawire"
)

// The limits of connections to other entry VMs where Peers leaves them zero.
const (
	// DefaultAcceptTimeout bounds the wait for a peer's word that it has a call. A round trip between
	// regions takes 35 ms; a peer or connection that is silent for a second is treated as lost.
	DefaultAcceptTimeout = time.Second
	// DefaultFenceTimeout bounds the question after a lost call. The caller waits for it, so it is short:
	// a dial and a question between regions take 70 ms.
	DefaultFenceTimeout = 500 * time.Millisecond
	// DefaultPeerIdleTimeout is how long an unused connection to a peer may wait for the next call.
	DefaultPeerIdleTimeout = 20 * time.Second
	// maxIdlePeerConns bounds the idle connections to one peer: 64 calls at once between two entry VMs
	// are above what 12 servers of 3 slots answer from one origin.
	maxIdlePeerConns = 64
	// maxDeadlineMargin is taken off the deadline that the owner gets, so that its refusal is back in
	// time: a round trip between regions with some queueing. It is at most a quarter of the time left.
	maxDeadlineMargin = 50 * time.Millisecond
)

// PeerClient forwards requests to other entry VMs. A connection carries one call at a time, so that a
// slow body holds up no other call and no heartbeat. Set the fields before the first request.
type PeerClient struct {
	// Self is this entry VM.
	Self  pabundle.EntryName
	Dial  DialFunc
	Clock clockwork.Clock
	// Events hears of lost calls; nil is nobody.
	Events Events
	// Stamps is this process's hybrid logical clock; nil leaves calls without stamps.
	Stamps *paevent.Stamper
	// NewCallID returns an identity that no other call has, also after a restart; it is called by many
	// goroutines.
	NewCallID func() string
	// AcceptTimeout, FenceTimeout and IdleTimeout are as their defaults say; zero takes the default.
	AcceptTimeout, FenceTimeout, IdleTimeout time.Duration

	mutex sync.Mutex
	pool  *drpcpool.Pool[netip.AddrPort, *peerConn]
}

// peerConn is one connection to a peer.
type peerConn struct {
	*drpcconn.Conn
	address netip.AddrPort
	usedAt  time.Time
	reused  bool
}

// discard closes the connection; its fate is of no interest after that.
func (c *peerConn) discard() { _ = c.Close() }

// managerOptions bounds messages on both sides of a connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrame}}
}

// connections returns the pool.
func (p *PeerClient) connections() *drpcpool.Pool[netip.AddrPort, *peerConn] {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.pool == nil {
		p.pool = drpcpool.New[netip.AddrPort, *peerConn](drpcpool.Options{KeyCapacity: maxIdlePeerConns})
	}
	return p.pool
}

// connect returns a connection, an idle one where that is good enough.
func (p *PeerClient) connect(ctx context.Context, address netip.AddrPort, fresh bool) (*peerConn, error) {
	for !fresh {
		c, ok := p.connections().Take(address)
		if !ok {
			break
		}
		if p.Clock.Since(c.usedAt) <= orDefault(p.IdleTimeout, DefaultPeerIdleTimeout) {
			c.reused = true
			return c, nil
		}
		c.discard()
	}
	ctx, cancel := paclock.WithTimeout(ctx, p.Clock, DefaultDialTimeout)
	defer cancel()
	raw, err := p.Dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	return &peerConn{Conn: c, address: address, usedAt: p.Clock.Now()}, nil
}

// put puts a connection back after a call that ended in good order.
func (p *PeerClient) put(c *peerConn) {
	c.usedAt = p.Clock.Now()
	p.connections().Put(c.address, c)
}

// Close closes all idle connections; those in use close with their calls.
func (p *PeerClient) Close() error { return trace.Wrap(p.connections().Close()) }

// fence asks a peer what became of a lost call and keeps it from starting. It uses a new connection,
// because the one that lost the call may be silent, and has a time of its own, because the caller's
// may be over.
func (p *PeerClient) fence(ctx context.Context, to Forward, call string, sent time.Time) Outcome {
	if to.Incarnation == 0 {
		return Unknown
	}
	ctx, cancel := paclock.WithTimeout(context.WithoutCancel(ctx), p.Clock, orDefault(p.FenceTimeout, DefaultFenceTimeout))
	defer cancel()
	c, err := p.connect(ctx, to.Address, true)
	if err != nil {
		return Unknown
	}
	defer c.discard()
	reply, err := pawire.NewDRPCForwardingClient(c).Fence(ctx, &pawire.FenceRequest{
		Call: call, Incarnation: to.Incarnation, AgeMicroseconds: p.Clock.Since(sent).Microseconds(),
	})
	if err == nil && reply.GetState() == pawire.FenceState_FENCE_STATE_NEVER {
		return NotRun
	}
	return Unknown
}

// send forwards the request. A call that was lost on a reused connection and is certain not to have
// started goes out once more on a new one: that is the connection's fault, and not the peer's.
func (p *PeerClient) send(ctx context.Context, x *exchange, to Forward) (*response, Result) {
	for fresh := false; ; fresh = true {
		a, result, again := p.sendOnce(ctx, x, to, fresh)
		if !again || fresh || x.bodyRead() || ctx.Err() != nil {
			return a, result
		}
	}
}

// sendOnce makes one call; again says that a new connection may do better.
func (p *PeerClient) sendOnce(ctx context.Context, x *exchange, to Forward, fresh bool) (*response, Result, bool) {
	begun := p.Clock.Now()
	if !x.tryStart() {
		return nil, notStarted(ctx, begun, x), false
	}
	c, err := p.connect(ctx, to.Address, fresh)
	if err != nil {
		r := Result{Outcome: NotRun, Reason: ReasonPeerLost, Fault: FaultPeer, NewConnection: true}
		if ctx.Err() != nil {
			r.Reason, r.Fault = contextEndReason(ctx)
		}
		return nil, r, false
	}
	// Once the call has ended the connection may be another's.
	reused := c.reused
	k := &peerCall{peers: p, to: to, x: x, conn: c, id: p.NewCallID(), sent: begun}
	a, result := k.run(ctx)
	result.TimeToHeader, result.NewConnection = p.Clock.Since(begun), !reused
	if a != nil {
		a.result = result
	}
	return a, result, reused && result.Outcome == NotRun && result.Reason == ReasonPeerLost
}

// peerConnKey keys the connection in the context of the calls that came in on it.
type peerConnKey struct{}

// peerConnFrom returns the connection that the call came in on, or nil.
func peerConnFrom(ctx context.Context) net.Conn {
	c, _ := ctx.Value(peerConnKey{}).(net.Conn)
	return c
}
