package paproxy

import (
	"net"
	"sync"

	"github.com/gravitational/trace"

	"papayahead/pabuffer"
	"papayahead/pahead"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = trace.ConnectionProblem(nil, "write to a sealed connection")

// trackedConn is a connection that counts the writes started on it.
//
// This guards against a false NotRun: net/http returns an error for a request whose bytes may have
// been sent, or may still be sent, because its write loop runs on after RoundTrip has returned. The
// target would then run a request that was reported as NotRun. After seal no write can start, so
// the count is final: if no write was started, no byte reached the target.
type trackedConn struct {
	net.Conn
	// head checks the heads of responses, and claim is what they hold in memory.
	head  pahead.Reader
	claim pabuffer.Claim

	mutex  sync.Mutex
	sealed bool
	closed bool
	writes int
}

// Write counts the write before its first byte can be sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mutex.Unlock()
	return c.Conn.Write(p)
}

// Read records the end of the connection, which prevents its reuse.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.head.Read(p)
	if err != nil {
		c.mutex.Lock()
		c.closed = true
		c.mutex.Unlock()
	}
	return n, err
}

// Close closes the connection and prevents its reuse.
func (c *trackedConn) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	return c.Conn.Close()
}

// writesStarted returns the number of writes started.
func (c *trackedConn) writesStarted() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// usable reports whether the connection is usable as far as is known here.
func (c *trackedConn) usable() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.closed && !c.sealed
}

// seal prevents further writes, closes the connection, and returns the final number of writes.
func (c *trackedConn) seal() int {
	c.mutex.Lock()
	c.sealed, c.closed = true, true
	n := c.writes
	c.mutex.Unlock()
	c.Conn.Close()
	return n
}
