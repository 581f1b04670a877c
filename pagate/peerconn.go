package pagate

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"

	"papayahead/pafleet"
)

// peerConn is the connection to a neighbour; one call runs on it at a time.
type peerConn struct {
	busy connLock
	conn *drpcconn.Conn
	// entry is the registration that the neighbour sent on this connection; lastNote is the last of its warm notes
	// received.
	entry    pafleet.Entry
	lastNote uint64
	// ends, limits and pushbacks are how far both have told each other their findings on ended targets, and their notes on limits and
	// on pushbacks.
	ends, limits, pushbacks notePosition
	// lastLoad is the last of the neighbour's notes on loads received.
	lastLoad uint64
}

// connLock lets one call at a time have a connection. Waiting for it ends with a context.
type connLock chan struct{}

func (l connLock) tryLock() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

// lock reports whether the lock was taken before ctx was done.
func (l connLock) lock(ctx context.Context) bool {
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l connLock) unlock() { <-l }

// notePosition is how far an entry VM and a neighbour have told each other their notes of one kind, by the numbers of each.
type notePosition struct{ received, sent uint64 }

// disconnect closes the connection after a failed call; the next call opens another.
func (c *peerConn) disconnect(g *Gate) {
	if err := c.conn.Close(); err != nil {
		g.meter.peerCloseErrors.Inc()
	}
	c.conn = nil
}

// conn returns the connection to an address, which may not be open yet.
func (p *peers) conn(a netip.AddrPort) *peerConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.conns[a]
	if c == nil {
		c = &peerConn{busy: make(connLock, 1)}
		p.conns[a] = c
	}
	return c
}

// connect opens the connection to an entry VM unless it is open.
func (p *peers) connect(ctx context.Context, c *peerConn, e pafleet.Entry) error {
	if c.conn != nil {
		return nil
	}
	raw, err := p.gate.dialCounted(ctx, e.Peers, &p.gate.traffic.neighbours)
	if err != nil {
		return trace.Wrap(err)
	}
	c.conn, c.entry, c.lastNote = drpcconn.New(raw), pafleet.Entry{}, 0
	c.ends, c.limits, c.pushbacks = notePosition{}, notePosition{}, notePosition{}
	return nil
}
