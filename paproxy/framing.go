package paproxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// maxRecordedBytes limits the bytes recorded per connection, and therefore the header size of a
// chunked request. 8 KiB is twice net/http's read buffer and takes 8 MB for 1,000 connections.
const maxRecordedBytes = 8 << 10

// NewFramingListener returns a listener whose connections record the last bytes read, so that
// requests with ambiguous framing can be detected.
//
// This guards against request smuggling: a request has both Transfer-Encoding and Content-Length,
// and another HTTP implementation uses the latter. net/http uses the former and removes the latter
// from the header, so that a Handler can't detect the conflict; the bytes as received show it.
func NewFramingListener(l net.Listener) net.Listener { return &framingListener{l} }

type framingListener struct{ net.Listener }

// Accept returns the next connection, which records what it reads.
func (l *framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: c}, nil
}

// recordingConn records the last bytes read from a connection.
type recordingConn struct {
	net.Conn
	mutex    sync.Mutex
	recorded []byte
}

// Read reads from the connection and records the bytes.
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

// take returns the recorded bytes and clears the record.
func (c *recordingConn) take() []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tail := c.recorded
	c.recorded = nil
	return tail
}

type recordingConnKey struct{}

// recordingContext stores the connection in the context of its requests, for use as
// http.Server.ConnContext.
func recordingContext(ctx context.Context, c net.Conn) context.Context {
	w, ok := c.(*recordingConn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, recordingConnKey{}, w)
}

// hasAmbiguousFraming reports whether two HTTP implementations could disagree on where the request
// ends. It checks every recorded header block that starts with this request's line: body bytes that
// look like a header can only get the caller's own request refused. A chunked request whose header
// is not among the recorded bytes is refused too, because its framing can't be checked.
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

// declaresLength reports whether the header block at the start of the bytes has a Content-Length.
func declaresLength(b []byte) bool {
	block, _, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	block, _, _ = bytes.Cut(block, []byte("\n\n"))
	return bytes.Contains(bytes.ToLower(block), []byte("\ncontent-length:"))
}
