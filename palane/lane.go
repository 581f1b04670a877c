package palane

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxInput is how many bytes of a body wait for the handler before the caller has to wait.
	maxInput = 64 << 10
	// maxBuffered and heldMostAll bound the bytes of answers that wait for their turn on one connection and on
	// all, beyond which requests run in their turn only. Load: callers that ask for many long answers behind a
	// slow one. Harm prevented: the answers fill the memory of the VM, of which the second is about a twentieth.
	maxBuffered      = 1 << 20
	maxBufferedTotal = 16 << 20
)

// laneState says what a lane does.
type laneState int

const (
	idle laneState = iota
	active
	// retired lanes end, as their connection has enough of them.
	retired
)

// Lane carries requests of a caller's connection one at a time. For a server it is a net.Conn, for a handler it
// knows of the requests ahead. A nil Lane is one without any.
type Lane struct {
	conn *conn
	// turn is closed when the answers ahead are out.
	turn chan struct{}

	// conn.mutex guards the rest; wake wakes those that wait for input or for room for it.
	wake  *sync.Cond
	state laneState
	// closed says that the server closed the lane.
	closed bool
	input  []byte
	// inputErr is why nothing follows what is in.
	inputErr error
	buffered int64
	// expired says that the read deadline has passed; deadlines counts them, and timer ends the latest.
	expired       bool
	deadlineCount int
	timer         clockwork.Timer
}

func newLane(c *conn) *Lane { return &Lane{conn: c, wake: sync.NewCond(&c.mutex)} }

// start makes the lane ready for a request; the mutex is held.
func (l *Lane) start() {
	l.state = active
	l.turn = make(chan struct{})
}

// retire ends the lane; the mutex is held.
func (l *Lane) retire() {
	l.state = retired
	l.wake.Broadcast()
}

// feed hands bytes to the server, and says whether it takes more.
func (l *Lane) feed(p []byte) bool {
	c := l.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(l.input) >= maxInput && !l.closed && !c.hasDisconnected {
		l.wake.Wait()
	}
	if l.closed || c.hasDisconnected {
		return false
	}
	l.input = append(l.input, p...)
	l.wake.Broadcast()
	return true
}

// endInput tells the server why nothing follows.
func (l *Lane) endInput(err error) {
	l.conn.mutex.Lock()
	defer l.conn.mutex.Unlock()
	l.inputErr = err
	l.wake.Broadcast()
}

// laneWriter writes to a lane's input.
type laneWriter struct{ lane *Lane }

// Write hands bytes to the server.
func (f laneWriter) Write(p []byte) (int, error) {
	if !f.lane.feed(p) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

func (l *Lane) inputWriter() io.Writer { return laneWriter{l} }

// Read is what the server reads.
func (l *Lane) Read(p []byte) (int, error) {
	c := l.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		switch {
		case l.closed:
			return 0, net.ErrClosed
		case l.expired:
			return 0, os.ErrDeadlineExceeded
		case len(l.input) > 0:
			return l.consume(p), nil
		case l.inputErr != nil:
			return 0, l.inputErr
		case c.hasDisconnected || l.state == retired:
			return 0, io.EOF
		}
		l.wake.Wait()
	}
}

// consume returns what was fed; the mutex is held.
func (l *Lane) consume(p []byte) int {
	n := copy(p, l.input)
	l.input = l.input[:copy(l.input, l.input[n:])]
	if len(l.input) == 0 && cap(l.input) > readBufferSize {
		l.input = nil
	}
	l.wake.Broadcast()
	return n
}

// Write writes a part of the answer, in the answer's turn.
func (l *Lane) Write(p []byte) (int, error) {
	if err := l.AwaitTurn(context.Background()); err != nil {
		return 0, err
	}
	return l.conn.raw.Write(p)
}

// Close is called by the server: after an answer that closes the connection, or one that it breaks off.
func (l *Lane) Close() error {
	c := l.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.wake.Broadcast()
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.state == active {
		c.stopped = true
		if c.inFlight[0] == l {
			c.finish()
		}
	}
	return nil
}

// CloseWrite closes the lane: the connection is read on for a while by itself.
func (l *Lane) CloseWrite() error { return l.Close() }

// LocalAddr returns that of the caller's connection.
func (l *Lane) LocalAddr() net.Addr { return l.conn.raw.LocalAddr() }

// RemoteAddr returns that of the caller's connection.
func (l *Lane) RemoteAddr() net.Addr { return l.conn.raw.RemoteAddr() }

// SetDeadline sets the deadline for reads.
func (l *Lane) SetDeadline(t time.Time) error { return l.SetReadDeadline(t) }

// SetReadDeadline sets the deadline for reads.
func (l *Lane) SetReadDeadline(t time.Time) error {
	c := l.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	l.deadlineCount++
	l.expired = false
	if t.IsZero() {
		return nil
	}
	if left := t.Sub(c.listener.config.Clock.Now()); left > 0 {
		n := l.deadlineCount
		l.timer = c.listener.config.Clock.AfterFunc(left, func() { l.expire(n) })
		return nil
	}
	l.expired = true
	l.wake.Broadcast()
	return nil
}

// expire ends reads at a deadline, unless another one was set meanwhile.
func (l *Lane) expire(deadline int) {
	l.conn.mutex.Lock()
	defer l.conn.mutex.Unlock()
	if l.deadlineCount == deadline {
		l.expired = true
		l.wake.Broadcast()
	}
}

// SetWriteDeadline has no effect: an answer may wait for its turn.
func (l *Lane) SetWriteDeadline(time.Time) error { return nil }
