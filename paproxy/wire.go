package paproxy

import (
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// errSealed ends writes to a connection that has been given up.
var errSealed = trace.ConnectionProblem(nil, "the connection has been given up")

// trackedConn is a connection that knows whether it was written to.
//
// The failure it guards against is a false "not run": net/http gives an error for a request whose
// bytes may have left, or may yet leave, because its write loop runs on after RoundTrip returned. It
// shows as an execution at the target of a request that was refused. Once sealed, no write can
// start, so the count is final: if no write started, no byte reached the target.
type trackedConn struct {
	net.Conn
	mutex  sync.Mutex
	sealed bool
	dead   bool
	writes int
}

// Write counts the write before its first byte can leave.
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

// Read notes the end of the connection, which keeps it from being used again.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.mutex.Lock()
		c.dead = true
		c.mutex.Unlock()
	}
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.mutex.Lock()
	c.dead = true
	c.mutex.Unlock()
	return c.Conn.Close()
}

// writesStarted returns the number of writes that have writesStarted.
func (c *trackedConn) writesStarted() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// alive says that the connection has not ended as far as is known here.
func (c *trackedConn) alive() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.dead && !c.sealed
}

// seal keeps writes from starting, closes the connection, and returns the final count of writes.
func (c *trackedConn) seal() int {
	c.mutex.Lock()
	c.sealed, c.dead = true, true
	n := c.writes
	c.mutex.Unlock()
	c.Conn.Close()
	return n
}
