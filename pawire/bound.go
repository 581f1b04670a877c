package pawire

import (
	"net"
	"sync"

	"github.com/gravitational/trace"

	"papayahead/pabuffer"
	"papayahead/pasocket"
)

const (
	// messageConnCost is what a connection between entry VMs costs in memory: its buffers and the stacks of its goroutines.
	messageConnCost = 24 << 10
	// messageReceived is what the system receives of a message before it is read, receivedDivisor the divisor of the budget's bound that
	// yields how much that may be on a small VM, and leastReceived how much it is at least.
	messageReceived = 128 << 10
	receivedDivisor = 2048
	leastReceived   = 16 << 10
)

// errNoRoom closes a connection whose message finds no room.
var errNoRoom = trace.LimitExceeded("no memory for a message of an entry VM")

// NewBoundListener returns a listener for a drpc server whose messages take from a budget while they arrive: drpc holds a message until its
// last frame. A connection for whose message there is no room is closed.
func NewBoundListener(l net.Listener, b *pabuffer.Budget) net.Listener {
	received := max(leastReceived, b.Limit()/receivedDivisor)
	if !b.IsBounded() || received >= messageReceived || !pasocket.BoundReceived(l, int(received/2)) {
		received = messageReceived
	}
	return &boundListener{l, b, received}
}

type boundListener struct {
	net.Listener
	budget *pabuffer.Budget
	// received is what the system receives on a connection before it is read.
	received int64
}

// Accept returns the next connection for which there is room.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		b := &boundConn{Conn: c, claim: pabuffer.Claim{Budget: l.budget}}
		if b.claim.Take(pabuffer.Connections, messageConnCost) && b.claim.Take(pabuffer.Received, l.received) {
			return b, nil
		}
		_ = b.Close() // Nothing was sent on it.
	}
}

// messageCopies is how often a message is in memory: as its frames arrive, in a buffer that has grown to twice that, and decoded.
const messageCopies = 4

// boundConn is a connection whose unfinished message is accounted for. drpc reads it on one goroutine and closes it on others.
type boundConn struct {
	net.Conn
	frames frameCounter

	mutex  sync.Mutex
	claim  pabuffer.Claim
	closed bool
}

// Read reads from the connection. It fails once the message that arrives finds no room.
func (c *boundConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.frames.count(p[:n])
	if !c.account(messageCopies * int64(c.frames.held)) {
		return 0, trace.NewAggregate(errNoRoom, c.Close())
	}
	return n, err
}

// account takes what is missing for the present message, or returns what the last one held, and reports whether there was room.
func (c *boundConn) account(held int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.closed:
		return true // The next read fails.
	case held == 0:
		c.claim.PutBack(pabuffer.Messages)
		return true
	}
	return c.claim.GrowTo(pabuffer.Messages, messageConnCost+held)
}

// Close closes the connection and returns what it has taken.
func (c *boundConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	c.claim.Release()
	return c.Conn.Close()
}
