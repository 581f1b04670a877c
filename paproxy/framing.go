package paproxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// maxRecordedBytes bounds the bytes that are kept of a connection, and so the header that a chunked request
// may have. 8 KiB is twice net/http's read buffer and costs 8 MB for 1,000 connections.
const maxRecordedBytes = 8 << 10

// NewFramingListener returns a listener whose connections remember the last bytes read.
//
// The failure it guards against is request smuggling: a request with both Transfer-Encoding and
// Content-Length, of which another reader takes the second. net/http takes the first and deletes the
// second without a trace, so that a Handler can't refuse; the bytes as they came can tell.
func NewFramingListener(l net.Listener) net.Listener { return &framingListener{l} }

type framingListener struct{ net.Listener }

// Accept returns the next connection.
func (l *framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: c}, nil
}

// recordingConn keeps the last bytes read.
type recordingConn struct {
	net.Conn
	mutex    sync.Mutex
	recorded []byte
}

// Read reads and remembers.
func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recorded = append(c.recorded, p[:n]...)
	if over := len(c.recorded) - maxRecordedBytes; over > maxRecordedBytes {
		c.recorded = append(c.recorded[:0], c.recorded[over:]...)
	}
	return n, err
}

// take returns the bytes remembered and forgets them.
func (c *recordingConn) take() []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tail := c.recorded
	c.recorded = nil
	return tail
}

type recordingConnKey struct{}

// recordingContext lets a Handler find the connection of its request.
func recordingContext(ctx context.Context, c net.Conn) context.Context {
	w, ok := c.(*recordingConn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, recordingConnKey{}, w)
}

// hasAmbiguousFraming says that two readers of the request could disagree on where it ends. Of the bytes
// remembered every block that begins with this request's line counts: bytes of a body that look like
// it can only bring a caller's own request down. A chunked request whose header is not among the
// bytes is refused too, because nothing is known of it.
func hasAmbiguousFraming(r *http.Request) bool {
	c, ok := r.Context().Value(recordingConnKey{}).(*recordingConn)
	if !ok {
		return false
	}
	tail := c.take()
	if len(r.TransferEncoding) == 0 {
		return false
	}
	line := []byte(r.Method + " " + r.RequestURI + " " + r.Proto)
	found := false
	for {
		i := bytes.Index(tail, line)
		if i < 0 {
			return !found
		}
		found = true
		tail = tail[i+len(line):]
		if declaresLength(tail) {
			return true
		}
	}
}

// declaresLength says that the header block at the start of the bytes has a Content-Length.
func declaresLength(b []byte) bool {
	block, _, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	block, _, _ = bytes.Cut(block, []byte("\n\n"))
	return bytes.Contains(bytes.ToLower(block), []byte("\ncontent-length:"))
}
