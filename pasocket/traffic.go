package pasocket

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections. The zero value is ready for use.
type Traffic struct{ Sent, Received atomic.Uint64 }

// Wrap returns the connection with its bytes counted.
func (t *Traffic) Wrap(c net.Conn) net.Conn { return &countingConn{c, t} }

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts the received bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

// Write counts the sent bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}
