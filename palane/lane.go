package palane

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabuffer"
)

const (
	// maxInput is how many bytes may wait for the server and its handler before reading from the client pauses.
	maxInput = 32 << 10
	// bodyBuffer is the size of the buffer in which a body is read.
	bodyBuffer = 16 << 10
	// connCost and laneCost are what a connection and a lane cost in memory: buffers, the stacks of goroutines, and what is held of an
	// ordinary request.
	connCost = 12 << 10
	laneCost = 32 << 10
	// maxBuffered and maxBufferedTotal limit the response bytes that wait for their turn, per connection and in total.
	// Beyond them requests run only in their turn, so that clients that request many long responses behind a slow one
	// can't exhaust the VM's memory. The total is about a twentieth of that memory.
	maxBuffered      = 1 << 20
	maxBufferedTotal = 16 << 20
)

// laneState is the state of a lane.
type laneState int

const (
	idle laneState = iota
	active
	// retired lanes take no further request: their connection has enough idle lanes or accepts no more requests.
	retired
)

// Lane carries the requests of a client connection one at a time. The server uses it as a net.Conn; a handler asks it
// about earlier requests on the connection. The methods for handlers treat a nil Lane as one without earlier requests.
type Lane struct {
	conn *conn
	// turn is closed when the responses to earlier requests have been sent.
	turn chan struct{}

	// conn.mutex guards the fields below; wake signals new input, room for input, and the end of the lane.
	wake  *sync.Cond
	state laneState
	// closed is set once the server has closed the lane.
	closed   bool
	input    []byte
	buffered int64
	// claim is what the request has taken of the memory.
	claim pabuffer.Claim
	// expired is set once the read deadline has passed. deadlineCount tells the timer of an earlier deadline from the latest.
	expired       bool
	deadlineCount int
	timer         clockwork.Timer
}

func newLane(c *conn) *Lane {
	return &Lane{conn: c, wake: sync.NewCond(&c.mutex), claim: pabuffer.Claim{Budget: c.listener.config.Memory}}
}

// start prepares the lane for a request. The mutex is held.
func (l *Lane) start() {
	l.state = active
	l.turn = make(chan struct{})
}

// retire ends the lane: the server reads EOF. The mutex is held.
func (l *Lane) retire() {
	l.state = retired
	l.wake.Broadcast()
}

// feed adds bytes to the server's input, waiting while maxInput bytes are unread. It reports whether the lane is still open.
func (l *Lane) feed(p []byte) bool {
	c := l.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(l.input) >= maxInput && !l.closed && !c.hasDisconnected {
		c.arrival.end() // It is the server that has stopped.
		l.wake.Wait()
	}
	if l.closed || c.hasDisconnected {
		return false
	}
	l.input = append(l.input, p...)
	l.wake.Broadcast()
	return true
}

// Read returns the input of the lane's requests to the server. It blocks between requests and returns io.EOF once the
// client has disconnected or the lane is retired.
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
		case c.hasDisconnected || l.state == retired:
			return 0, io.EOF
		}
		l.wake.Wait()
	}
}

// consume moves input to p. The mutex is held.
func (l *Lane) consume(p []byte) int {
	n := copy(p, l.input)
	l.input = l.input[:copy(l.input, l.input[n:])]
	if len(l.input) == 0 && cap(l.input) > readBufferSize {
		l.input = nil
	}
	l.wake.Broadcast()
	return n
}

// Write sends a part of the response once its turn has come. It fails with ErrConnectionEnded if the turn never comes.
func (l *Lane) Write(p []byte) (int, error) {
	if err := l.AwaitTurn(context.Background()); err != nil {
		return 0, err
	}
	return l.conn.raw.Write(p)
}

// Close is called by the server after a response that closes the connection, or to abort a response. The client
// connection is closed once the responses to earlier requests have been sent.
func (l *Lane) Close() error {
	c := l.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.input = nil
	l.claim.Release()
	c.listener.config.Memory.PutBack(pabuffer.Connections, laneCost)
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

// Abort closes the client connection, also while a response is being written to it.
func (l *Lane) Abort() {
	if l == nil {
		return
	}
	l.conn.disconnect()
	l.conn.raw.Close()
}

// Reset is Abort for a response whose end is that of the connection: the client gets a reset, and must not take what it has for the whole.
func (l *Lane) Reset() {
	if l == nil {
		return
	}
	if c, ok := l.conn.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // It fails only for a connection that is closed.
	}
	l.Abort()
}

// CloseWrite closes the lane. The connection itself keeps reading for lingerTimeout.
func (l *Lane) CloseWrite() error { return l.Close() }

// LocalAddr returns the local address of the client connection.
func (l *Lane) LocalAddr() net.Addr { return l.conn.raw.LocalAddr() }

// RemoteAddr returns the remote address of the client connection.
func (l *Lane) RemoteAddr() net.Addr { return l.conn.raw.RemoteAddr() }

// SetDeadline sets the read deadline; see SetWriteDeadline.
func (l *Lane) SetDeadline(t time.Time) error { return l.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline, on the Listener's clock.
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

// expire ends reads at a deadline, unless another deadline was set since.
func (l *Lane) expire(deadline int) {
	l.conn.mutex.Lock()
	defer l.conn.mutex.Unlock()
	if l.deadlineCount == deadline {
		l.expired = true
		l.wake.Broadcast()
	}
}

// SetWriteDeadline sets the write deadline of the client connection if its requests are served one after the other. Otherwise it has no
// effect, because a response may have to wait for its turn.
func (l *Lane) SetWriteDeadline(t time.Time) error {
	if !l.conn.listener.config.Serial {
		return nil
	}
	return l.conn.raw.SetWriteDeadline(t)
}
