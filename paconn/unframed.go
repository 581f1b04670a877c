package paconn

import (
	"errors"
	"io"

	"papayahead/pasocket"
)

// unframedBody is the body of a response whose end is that of its connection. It ends in order only if the target has ended the
// connection in order (RFC 9112, section 8).
//
// A system reports the reset of a connection once. If it is the write of the request that gets the error, a read finds an ordinary end,
// and the part that has arrived of the response would pass for the whole.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.endedInOrder() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Write writes to the connection and notes whether that failed.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	c.writing.Add(-1)
	return n, err
}

// endedInOrder reports whether an end of the input that was read is one that the peer sent. No write can have got the error of a reset
// unless it failed or is in progress, and then the system is asked.
func (c *Conn) endedInOrder() bool {
	return c.writing.Load() == 0 && !c.writeFailed.Load() || pasocket.PeerHasEnded(c.Conn)
}
