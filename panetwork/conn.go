package panetwork

import (
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// windowSize is how many bytes may be under way in one direction of a connection.
const windowSize = 256 << 10

var errReset = trace.ConnectionProblem(nil, "connection reset by peer")

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote netip.AddrPort
	in, out       *stream
	once          sync.Once
}

func newPair(n *Network, a, b netip.AddrPort) (near, far *conn) {
	to, back := newStream(n, a.Addr(), b.Addr()), newStream(n, b.Addr(), a.Addr())
	return &conn{network: n, local: a, remote: b, in: back, out: to},
		&conn{network: n, local: b, remote: a, in: to, out: back}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.network.forget(c)
		c.out.end()
		c.in.fail(net.ErrClosed)
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

func (c *conn) between(a, b netip.Addr) bool {
	l, r := c.local.Addr(), c.remote.Addr()
	return l == a && r == b || l == b && r == a
}

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to netip.Addr

	mu   sync.Mutex
	cond *sync.Cond
	// segments are what is under way, in order, and buffered is its size.
	segments []segment
	buffered int
	// arrival wakes a reader when the first segment arrives.
	arrival   *time.Timer
	ended     bool
	silent    bool
	failed    error
	readBy    deadline
	writtenBy deadline
}

// segment is what one write sent, and when it arrives.
type segment struct {
	arrives time.Time
	bytes   []byte
}

// deadline wakes a stream when its time has come.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// passed goes by the wall clock, because the deadlines of net.Conn do.
func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newStream(n *Network, from, to netip.Addr) *stream {
	s := &stream{network: n, from: from, to: to}
	s.cond = sync.NewCond(&s.mu)
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		open := !s.silent && !s.network.isCut(s.from, s.to)
		switch {
		case s.failed != nil:
			return 0, s.failed
		case s.readBy.passed():
			return 0, os.ErrDeadlineExceeded
		case open && s.hasArrived():
			return s.take(p), nil
		case open && s.ended && len(s.segments) == 0:
			return 0, io.EOF
		}
		s.cond.Wait()
	}
}

// hasArrived reports whether the first segment is there; if one is under way, it has the reader woken then. The mutex is held.
func (s *stream) hasArrived() bool {
	if len(s.segments) == 0 {
		return false
	}
	left := time.Until(s.segments[0].arrives)
	if s.segments[0].arrives.IsZero() || left <= 0 {
		return true
	}
	if s.arrival == nil {
		s.arrival = time.AfterFunc(left, s.wake)
	} else {
		s.arrival.Reset(left)
	}
	return false
}

// take reads from the first segment. The mutex is held.
func (s *stream) take(p []byte) int {
	first := &s.segments[0]
	n := copy(p, first.bytes)
	first.bytes = first.bytes[n:]
	s.buffered -= n
	if len(first.bytes) == 0 {
		s.segments = s.segments[1:]
	}
	s.cond.Broadcast()
	return n
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for len(p) > 0 {
		switch {
		case s.failed != nil:
			return written, errReset
		case s.ended:
			return written, net.ErrClosed
		case s.writtenBy.passed():
			return written, os.ErrDeadlineExceeded
		case s.buffered >= windowSize:
			s.cond.Wait()
			continue
		}
		n := min(len(p), windowSize-s.buffered)
		s.segments = append(s.segments, segment{arrives: s.network.arrival(s.from, s.to, n), bytes: slices.Clone(p[:n])})
		s.buffered += n
		p = p[n:]
		written += n
		s.cond.Broadcast()
	}
	return written, nil
}

func (s *stream) wake() { s.change(func() {}) }

func (s *stream) end() { s.change(func() { s.ended = true }) }

func (s *stream) silence() { s.change(func() { s.silent = true }) }

func (s *stream) fail(err error) {
	s.change(func() {
		if s.failed == nil {
			s.failed = err
		}
	})
}

func (s *stream) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.cond.Broadcast()
}

func (s *stream) setReadDeadline(t time.Time) { s.change(func() { s.set(&s.readBy, t) }) }

func (s *stream) setWriteDeadline(t time.Time) { s.change(func() { s.set(&s.writtenBy, t) }) }

func (s *stream) set(d *deadline, t time.Time) {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.at = t
	if !t.IsZero() {
		d.timer = time.AfterFunc(time.Until(t), s.wake)
	}
}
