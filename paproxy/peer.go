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

// Defaults and limits of connections to other entry VMs.
const (
	// DefaultAcceptTimeout limits the wait for a peer to accept a call. A round trip between regions
	// takes 35 ms; a peer or connection that is silent for a second is treated as lost.
	DefaultAcceptTimeout = time.Second
	// DefaultFenceTimeout limits the fence request after a lost call. The caller waits for it, so it
	// is short: a dial and a request between regions take 70 ms.
	DefaultFenceTimeout = 500 * time.Millisecond
	// DefaultPeerIdleTimeout is how long an unused connection to a peer stays open.
	DefaultPeerIdleTimeout = 20 * time.Second
	// maxIdlePeerConns limits the idle connections to one peer: 64 concurrent calls between two entry
	// VMs are more than 12 servers with 3 slots each can answer for one origin.
	maxIdlePeerConns = 64
	// maxDeadlineMargin is subtracted from the deadline sent to the owner, so that its refusal returns
	// in time: it covers a round trip between regions with some queueing. At most a quarter of the
	// remaining time is subtracted.
	maxDeadlineMargin = 50 * time.Millisecond
)

// PeerClient forwards requests to other entry VMs. A connection carries one call at a time, so that
// a slow body delays no other call and no heartbeat. Set the fields before the first request.
type PeerClient struct {
	// Self is this entry VM.
	Self  pabundle.EntryName
	Dial  DialFunc
	Clock clockwork.Clock
	// Events receives events about lost calls; nil disables them.
	Events Events
	// Stamps is this process's hybrid logical clock; calls carry no timestamps if it is nil.
	Stamps *paevent.Stamper
	// NewCallID returns a call ID that is unique across restarts. It must be safe for concurrent use.
	NewCallID func() string
	// AcceptTimeout, FenceTimeout and IdleTimeout are described at their defaults, which replace
	// zeros.
	AcceptTimeout, FenceTimeout, IdleTimeout time.Duration

	mutex sync.Mutex
	pool  *drpcpool.Pool[netip.AddrPort, *peerConn]
}

// peerConn is a connection to a peer.
type peerConn struct {
	*drpcconn.Conn
	address netip.AddrPort
	usedAt  time.Time
	reused  bool
}

// discard closes the connection and ignores the error.
func (c *peerConn) discard() { _ = c.Close() }

// managerOptions limits the size of messages on both sides of a connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrame}}
}

// connections returns the pool of idle connections.
func (p *PeerClient) connections() *drpcpool.Pool[netip.AddrPort, *peerConn] {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.pool == nil {
		p.pool = drpcpool.New[netip.AddrPort, *peerConn](drpcpool.Options{KeyCapacity: maxIdlePeerConns})
	}
	return p.pool
}

// connect returns a connection to the address: an idle one, or a new one if there is none or
// forceNew is set.
func (p *PeerClient) connect(ctx context.Context, address netip.AddrPort, forceNew bool) (*peerConn, error) {
	for !forceNew {
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

// put returns a connection to the pool after a call that completed.
func (p *PeerClient) put(c *peerConn) {
	c.usedAt = p.Clock.Now()
	p.connections().Put(c.address, c)
}

// Close closes all idle connections; those in use are closed with their calls.
func (p *PeerClient) Close() error { return trace.Wrap(p.connections().Close()) }

// fence asks a peer whether a lost call was started, and keeps it from starting. It uses a new
// connection because the one that lost the call may be silent, and a timeout of its own because the
// caller's deadline may have passed.
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

// send forwards the request. A call that was lost on a reused connection and certainly not started
// is sent once more on a new connection: the connection is at fault, not the peer.
func (p *PeerClient) send(ctx context.Context, x *exchange, to Forward) (*response, Result) {
	for forceNew := false; ; forceNew = true {
		resp, result, retry := p.sendOnce(ctx, x, to, forceNew)
		if !retry || forceNew || x.bodyRead() || ctx.Err() != nil {
			return resp, result
		}
	}
}

// sendOnce makes one call. The last result reports whether the call may succeed on a new
// connection.
func (p *PeerClient) sendOnce(ctx context.Context, x *exchange, to Forward, forceNew bool) (*response, Result, bool) {
	start := p.Clock.Now()
	if !x.tryStart() {
		return nil, notStarted(ctx, start, x), false
	}
	c, err := p.connect(ctx, to.Address, forceNew)
	if err != nil {
		r := Result{Outcome: NotRun, Reason: ReasonPeerLost, Fault: FaultPeer, NewConnection: true}
		if ctx.Err() != nil {
			r.Reason, r.Fault = contextEndReason(ctx)
		}
		return nil, r, false
	}
	// Read reused now: after its end the call no longer owns the connection.
	reused := c.reused
	call := &peerCall{peers: p, to: to, x: x, conn: c, id: p.NewCallID(), sent: start}
	resp, result := call.run(ctx)
	result.TimeToHeader, result.NewConnection = p.Clock.Since(start), !reused
	if resp != nil {
		resp.result = result
	}
	return resp, result, reused && result.Outcome == NotRun && result.Reason == ReasonPeerLost
}

// peerConnKey is the context key of the connection that a call arrived on.
type peerConnKey struct{}

// peerConnFrom returns the connection that the call arrived on, or nil.
func peerConnFrom(ctx context.Context) net.Conn {
	c, _ := ctx.Value(peerConnKey{}).(net.Conn)
	return c
}
