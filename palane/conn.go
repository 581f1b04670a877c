package palane

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabuffer"
	"papayahead/pasocket"
)

const (
	// readBufferSize is the size of a connection's read buffer, which holds about ten requests of usual size. Further
	// input stays in the network while MaxPipelined requests are in flight, so that TCP flow control slows the client.
	readBufferSize = 4 << 10
	// lingerTimeout is how long a connection is still read after its last response. Closing it with unread input
	// sends a TCP reset, which can reach the client before the response.
	lingerTimeout = 500 * time.Millisecond
	// maxIdleLanes is how many idle lanes a connection keeps for further requests. Each holds two 4 KB buffers and
	// a goroutine stack: an entry VM with 300 client connections peaked at 23 MB with four lanes each, at 19 MB with one.
	maxIdleLanes = 1
)

// conn is a client connection. Its reader goroutine (run) splits the input into requests, one per lane.
type conn struct {
	listener *Listener
	raw      net.Conn
	reader   *bufio.Reader
	// refused says that there was no room for the connection: it carries one request, which is refused.
	refused bool
	// recorder is the source of the header parser, claim what the request that arrives has taken of the memory. Only the reader
	// goroutine uses recorder, claim and afterPost.
	recorder recordingReader
	claim    pabuffer.Claim
	arrival  arrival
	// wide says that a long body has arrived; the reader goroutine alone uses it.
	wide bool
	// afterPost is set if the previous request was a POST.
	afterPost bool
	// disconnected is closed when no response can be sent any more: the client disconnected or the connection was closed.
	disconnected chan struct{}

	mutex sync.Mutex
	// changed wakes the reader goroutine when a response ends.
	changed *sync.Cond
	// inFlight are the lanes with a request in flight, in request order.
	inFlight  []*Lane
	idleLanes []*Lane
	// stopped: no further requests are read; hasDisconnected: disconnected is closed; finished: the last response was sent.
	stopped, hasDisconnected, finished bool
	// awaitingRequest: no byte of the next request has arrived; awaitingResponses: the reader waits for responses.
	awaitingRequest, awaitingResponses bool
	// served is set once a request has been answered; unusedSince is when the connection became unused.
	served      bool
	unusedSince time.Time
	// buffered is the number of response bytes that wait for their turn.
	buffered int64
	// lingering closes the connection some time after its last response; ended says that it is closed and read no more.
	lingering clockwork.Timer
	ended     bool
}

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{
		listener: l, raw: raw, reader: bufio.NewReaderSize(raw, readBufferSize),
		disconnected: make(chan struct{}), unusedSince: l.config.Clock.Now(), claim: pabuffer.Claim{Budget: l.config.Memory},
	}
	c.changed = sync.NewCond(&c.mutex)
	c.recorder.source = c.reader
	return c
}

// run reads requests until no more are accepted, then discards input until the client disconnects, so that the last
// response isn't lost to a TCP reset.
func (c *conn) run() {
	defer c.listener.remove(c)
	if c.refused {
		c.setReadDeadline(c.listener.config.Clock.Now().Add(refusedTimeout))
	}
	for c.dispatchNext() {
	}
	c.stop()
	for {
		if _, err := c.reader.Discard(readBufferSize); err != nil {
			break // The client disconnected, or the connection was closed.
		}
	}
	c.disconnect()
	c.raw.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
	if c.lingering != nil {
		c.lingering.Stop() // It holds the connection's buffers; clients that come and go would leave thousands of them.
	}
}

// dispatchNext reads one request and passes it to a lane. It returns false after the last one.
func (c *conn) dispatchNext() bool {
	defer c.claim.Release()
	if !c.awaitRequest() {
		return false
	}
	if err := c.readHead(); err != nil {
		c.reject(err)
		return false
	}
	br := headerReaders.Get().(*bufio.Reader)
	defer headerReaders.Put(br)
	br.Reset(&c.recorder)
	r, err := http.ReadRequest(br)
	if err != nil || conflictingFraming(c.recorder.recorded, r) {
		c.reject(err)
		return false
	}
	c.afterPost = r.Method == http.MethodPost
	if !c.claimBody(r) {
		c.reject(errNoRoom)
		return false
	}
	lane, err := c.assignLane(r.Close)
	if err != nil {
		c.reject(err)
		return false
	}
	if !lane.feed(c.recorder.recorded) {
		return false
	}
	c.recorder.shrink()
	b := bodyOf(r)
	r = nil // What was parsed is not needed any more, but for a body in chunks.
	if !c.forwardBody(lane, b) {
		return false
	}
	return !b.last && !c.refused && (b.certain || c.waitUntil(func() bool { return lane.state != active }))
}

// awaitRequest waits for the first byte of a request and reports whether the request may be read.
func (c *conn) awaitRequest() bool {
	c.mutex.Lock()
	c.awaitingRequest = c.reader.Buffered() == 0
	if len(c.inFlight) == 0 {
		c.unusedSince = c.listener.config.Clock.Now()
	}
	c.mutex.Unlock()
	err := c.skipLineEnds()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.awaitingRequest = false
	return err == nil && !c.stopped
}

// maxSkippedLineEnds is how many CR or LF bytes net/http skips after a POST: some old clients send an extra line end.
const maxSkippedLineEnds = 4

// skipLineEnds waits for the first byte that isn't one of the line ends that the server skips.
func (c *conn) skipLineEnds() error {
	for skipped := 0; ; skipped++ {
		b, err := c.reader.Peek(1)
		if err != nil || !c.afterPost || skipped == maxSkippedLineEnds || b[0] != '\r' && b[0] != '\n' {
			return err
		}
		if _, err := c.reader.Discard(1); err != nil {
			return err
		}
	}
}

// setReadDeadline sets the read deadline of the client connection. That fails only if the connection is closed, which
// the next read reports.
func (c *conn) setReadDeadline(t time.Time) {
	if err := c.raw.SetReadDeadline(t); err != nil {
		c.raw.Close()
	}
}

// waitUntil waits until ready, which is called with the mutex held, returns true, and reports whether the connection
// still accepts requests. It keeps reading into the connection's buffer to detect a client that disconnects meanwhile.
func (c *conn) waitUntil(ready func() bool) bool {
	for c.mustWait(ready) {
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		var e net.Error
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			c.waitForChange(ready)
		case errors.As(err, &e) && e.Timeout():
			// responseDone or finish set a deadline to interrupt the read.
			c.setReadDeadline(time.Time{})
		default:
			c.disconnect()
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.stopped
}

// mustWait reports whether the reader still has to wait for responses, and records it in awaitingResponses.
func (c *conn) mustWait(ready func() bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	was := c.awaitingResponses
	c.awaitingResponses = !ready() && !c.stopped
	if was && !c.awaitingResponses {
		c.setReadDeadline(time.Time{})
	}
	return c.awaitingResponses
}

func (c *conn) waitForChange(ready func() bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !ready() && !c.stopped {
		c.changed.Wait()
	}
}

// stop accepts no more requests. The connection is closed after the last response.
func (c *conn) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	if len(c.inFlight) == 0 {
		c.finish()
	}
}

// disconnect ends the requests of a client that disconnected.
func (c *conn) disconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disconnectLocked()
}

func (c *conn) disconnectLocked() {
	c.stopped = true
	if !c.hasDisconnected {
		c.hasDisconnected = true
		close(c.disconnected)
	}
	for _, lane := range c.inFlight {
		lane.releaseBuffered()
		lane.wake.Broadcast()
	}
	for _, lane := range c.idleLanes {
		lane.retire()
	}
	c.idleLanes = nil
	c.changed.Broadcast()
}

// finish closes the connection after its last response: the write side at once, the rest after lingerTimeout. The mutex
// is held.
func (c *conn) finish() {
	if c.finished {
		return
	}
	c.finished = true
	c.disconnectLocked()
	half, ok := c.raw.(interface{ CloseWrite() error })
	if c.ended || !ok || half.CloseWrite() != nil {
		c.raw.Close()
		return
	}
	c.lingering = c.listener.config.Clock.AfterFunc(lingerTimeout, func() { c.raw.Close() })
	if c.awaitingResponses {
		c.setReadDeadline(c.listener.config.Clock.Now())
	}
}

// responseDone records that the first request in flight has been answered in full, and gives the next one its turn.
func (c *conn) responseDone(lane *Lane) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if lane.state != active {
		return
	}
	lane.state = idle
	lane.claim.Release()
	c.inFlight = c.inFlight[1:]
	c.served = true
	c.recycle(lane)
	switch {
	case len(c.inFlight) > 0:
		next := c.inFlight[0]
		next.releaseBuffered()
		close(next.turn)
		if next.closed {
			c.finish()
		}
	case c.stopped:
		c.finish()
	default:
		c.unusedSince = c.listener.config.Clock.Now()
	}
	if c.awaitingResponses {
		c.setReadDeadline(c.listener.config.Clock.Now())
	}
	c.changed.Broadcast()
}

// recycle keeps a lane for another request, or retires it. The mutex is held.
func (c *conn) recycle(lane *Lane) {
	if len(c.idleLanes) < maxIdleLanes && !c.stopped {
		c.idleLanes = append(c.idleLanes, lane)
		return
	}
	lane.retire()
}

// closeIfUnused closes the connection if no request is in flight or has begun to arrive and due returns true. It
// reports whether the connection is closed.
func (c *conn) closeIfUnused(due func(served bool, since time.Time) bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.finished {
		return true
	}
	if !c.awaitingRequest || len(c.inFlight) > 0 || !due(c.served, c.unusedSince) || !pasocket.NothingToRead(c.raw) {
		return false
	}
	c.finish()
	return true
}
