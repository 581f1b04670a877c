package pagate

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"papayahead/paclock"
	"papayahead/pafleet"
	"papayahead/pasocket"
)

const (
	// dialTime bounds opening a connection: 70 ms there and back between regions, a lost packet, and
	// the target's own millisecond.
	dialTime = 600 * time.Millisecond
	// idleMost is how long an idle connection is kept where the target names no timeout.
	idleMost = 8 * time.Second
	// idleMargin is how much sooner than the target an idle connection is closed, so that no request
	// meets its close on the way.
	idleMargin = 1500 * time.Millisecond
	// proofOfLife is how long after its last answer a connection may carry a request that must not
	// run twice. A connection that the target or something on the way forgot swallows the request
	// without an error, and nobody knows whether it ran; a new one costs about a millisecond.
	proofOfLife = time.Second
	// readBuffer is the size of a connection's buffer; answers are a few kilobytes.
	readBuffer = 4 << 10
)

// conn is a connection to one lifetime of a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address netip.AddrPort
	target  string
	born    int64
	usedAt  time.Time
	// life is how long the connection may be idle.
	life   time.Duration
	reused bool
}

// pool keeps idle connections to targets.
type pool struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	clock clockwork.Clock
	mutex sync.Mutex
	idle  map[netip.AddrPort][]*conn
}

// take returns an idle connection that was used at most maxIdle ago, or a new one.
func (p *pool) take(ctx context.Context, address netip.AddrPort, target string, born int64, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		idle := p.clock.Since(c.usedAt)
		if c.target == target && c.born == born && idle < min(maxIdle, c.life) && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := paclock.WithTimeout(ctx, p.clock, dialTime)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.ConnectionProblem(err, "connect to target")
	}
	return &conn{
		Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address, target: target, born: born, life: idleMost,
	}, nil
}

// takeIdle takes the connection that was used last.
func (p *pool) takeIdle(a netip.AddrPort) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	all := p.idle[a]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[a] = all[:len(all)-1]
	return c
}

// keep makes a connection idle after a whole answer.
func (p *pool) keep(c *conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.usedAt = p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// reap closes connections that were idle for too long.
func (p *pool) reap(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for a, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now.Sub(c.usedAt) < c.life {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(all[len(kept):])
		if p.idle[a] = kept; len(kept) == 0 {
			delete(p.idle, a)
		}
	}
}

// keepOnly closes idle connections to targets that are gone.
func (p *pool) keepOnly(v *pafleet.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for a, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if m := v.Targets[c.target]; m != nil && m.Born == c.born && m.Address == c.address {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(all[len(kept):])
		p.idle[a] = kept
	}
}

// quiet says that nothing has arrived on the idle connection, neither bytes nor its end.
//
// It guards against bytes after a whole answer, which belong to no request: on a connection that is
// used again they would pass for the next answer.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && pasocket.NothingToRead(c.Conn) }
