package palane

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"papayahead/pasocket"
)

const (
	// readBufferSize is the size of a connection's buffer: some ten requests of usual size. What a caller sends
	// beyond it while DepthMost requests are under way stays in the network, so that it feels the limit.
	readBufferSize = 4 << 10
	// lingerTimeout is how long a connection is read on after its last answer. A connection that is closed with
	// unread bytes is reset, and the reset can overtake the answer on its way to the caller.
	lingerTimeout = 500 * time.Millisecond
	// maxIdleLanes is how many idle lanes a connection keeps for its next request. Each holds two buffers of 4 KB and
	// the stack of a goroutine: with four an entry VM with 300 callers' connections took 23 MB at its peak, with
	// one 19 MB.
	maxIdleLanes = 1
)

// conn is a caller's connection.
type conn struct {
	listener *Listener
	raw      net.Conn
	reader   *bufio.Reader
	// recorder is what heads are parsed from. Only run uses it and posted.
	recorder recordingReader
	// afterPost says that the last request was a POST.
	afterPost bool
	// disconnected is closed when nothing more can reach the caller's requests: it disconnected, or the connection ends.
	disconnected chan struct{}

	mutex sync.Mutex
	// changed wakes the reader where answers end.
	changed *sync.Cond
	// inFlight are the lanes whose requests are inFlight way, in the order of the requests.
	inFlight  []*Lane
	idleLanes []*Lane
	// stopped says that no further request is taken, hasDisconnected that left is closed, finished that the stopped answer is out.
	stopped, hasDisconnected, finished bool
	// awaitingRequest says that no byte of the next request has arrived, awaitingResponses that the reader waits for answers.
	awaitingRequest, awaitingResponses bool
	// served says that a request was answered; since is when the connection became unused.
	served      bool
	unusedSince time.Time
	// buffered is the bytes of answers that wait for their turn.
	buffered int64
}

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{
		listener: l, raw: raw, reader: bufio.NewReaderSize(raw, readBufferSize), disconnected: make(chan struct{}), unusedSince: l.config.Clock.Now(),
	}
	c.changed = sync.NewCond(&c.mutex)
	c.recorder.source = c.reader
	return c
}

// run reads the caller's requests until no more are taken, and what it sends then until it leaves.
func (c *conn) run() {
	defer c.listener.remove(c)
	for c.dispatchNext() {
	}
	c.stop()
	for {
		if _, err := c.reader.Discard(readBufferSize); err != nil {
			break // The caller left, or the connection was closed.
		}
	}
	c.disconnect()
	c.raw.Close()
}

// dispatchNext reads one request and hands it to a lane; false says that it was the last.
func (c *conn) dispatchNext() bool {
	if !c.awaitRequest() {
		return false
	}
	head := headerReaders.Get().(*bufio.Reader)
	defer headerReaders.Put(head)
	r, err := c.readHeader(head)
	c.afterPost = err == nil && r.Method == http.MethodPost
	lane := c.assignLane(r)
	if lane == nil {
		return false
	}
	switch {
	case err != nil:
		c.forwardMalformed(lane)
		return false
	case conflictingFraming(c.recorder.recorded, r):
		lane.feed([]byte(invalidRequest))
		return false
	case !lane.feed(c.recorder.recorded) || !c.forwardBody(lane, r):
		return false
	}
	return !r.Close && (boundaryCertain(r) || c.waitUntil(func() bool { return lane.state != active }))
}

// forwardMalformed hands a malformed head and all that follows to the server, which refuses it and closes the connection.
func (c *conn) forwardMalformed(lane *Lane) {
	var b [readBufferSize]byte
	err := c.recorder.err
	for p := c.recorder.recorded; lane.feed(p) && err == nil; {
		var n int
		n, err = c.reader.Read(b[:])
		p = b[:n]
	}
	lane.endInput(err)
}

// awaitRequest waits for the first byte of a request.
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

// maxSkippedLineEnds is how many line ends a server of net/http skips behind a POST, which some old callers send.
const maxSkippedLineEnds = 4

// skipLineEnds waits for a byte, which is none of those that the server skips.
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

// headerReaders are the buffers of parsers of headerReaders, which a connection needs for as long as a head takes to arrive.
var headerReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// readHeader reads the head of a request; the tap has its bytes. The request's body reads on from head.
func (c *conn) readHeader(head *bufio.Reader) (*http.Request, error) {
	timed := false
	c.recorder.onWait = func() {
		if d := c.headerTimeout(); d > 0 && !timed {
			timed = true
			c.setReadDeadline(c.listener.config.Clock.Now().Add(d))
		}
	}
	c.recorder.reset(c.listener.config.MaxHeaderBytes + headerSlop)
	head.Reset(&c.recorder)
	r, err := http.ReadRequest(head)
	if c.recorder.onWait = nil; timed {
		c.setReadDeadline(time.Time{})
	}
	return r, err
}

func (c *conn) headerTimeout() time.Duration {
	if c.listener.config.HeaderTimeout == nil {
		return 0
	}
	return c.listener.config.HeaderTimeout()
}

// setReadDeadline bounds reads of the caller's connection. It fails only where the connection is closed, which
// the next read shows.
func (c *conn) setReadDeadline(t time.Time) {
	if err := c.raw.SetReadDeadline(t); err != nil {
		c.raw.Close()
	}
}

// assignLane returns a lane whose request is the next one under way, or nil if no more are taken. It waits while
// DepthMost are.
func (c *conn) assignLane(r *http.Request) *Lane {
	if !c.waitUntil(func() bool { return len(c.inFlight) < MaxPipelined }) {
		return nil
	}
	lane := c.popIdleLane()
	if lane == nil {
		lane = newLane(c)
		select {
		case c.listener.lanes <- lane:
		case <-c.listener.ctx.Done():
			return nil
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped || lane.closed {
		lane.retire()
		return nil
	}
	c.stopped = r == nil || r.Close
	lane.start()
	c.inFlight = append(c.inFlight, lane)
	if len(c.inFlight) == 1 {
		close(lane.turn)
	}
	return lane
}

func (c *conn) popIdleLane() *Lane {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := len(c.idleLanes)
	if n == 0 {
		return nil
	}
	lane := c.idleLanes[n-1]
	c.idleLanes = c.idleLanes[:n-1]
	return lane
}

// waitUntil waits until ready, which is called under the mutex, and says whether the connection still takes requests.
// It goes on reading into the connection's buffer, so that a caller that leaves meanwhile is noticed.
func (c *conn) waitUntil(ready func() bool) bool {
	for c.mustWait(ready) {
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		var e net.Error
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			c.waitForChange(ready)
		case errors.As(err, &e) && e.Timeout():
			// An answer ended the wait; see answered.
			c.setReadDeadline(time.Time{})
		default:
			c.disconnect()
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.stopped
}

// mustWait says whether the reader has to wait for answers.
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

// forwardBody hands the body of a request to its lane as it arrives.
func (c *conn) forwardBody(lane *Lane, r *http.Request) bool {
	if r.ContentLength > 0 {
		_, err := io.CopyN(lane.inputWriter(), c.reader, r.ContentLength)
		return err == nil
	}
	if r.ContentLength == 0 {
		return true
	}
	var b [readBufferSize]byte
	for {
		c.recorder.reset(0)
		_, err := r.Body.Read(b[:])
		if !lane.feed(c.recorder.recorded) {
			return false
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// stop takes no more requests. The connection ends with the last answer.
func (c *conn) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	if len(c.inFlight) == 0 {
		c.finish()
	}
}

// disconnect ends the requests of a caller that is gone.
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

// finish closes the connection after its last answer; the mutex is held.
func (c *conn) finish() {
	if c.finished {
		return
	}
	c.finished = true
	c.disconnectLocked()
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.raw.Close()
		return
	}
	c.listener.config.Clock.AfterFunc(lingerTimeout, func() { c.raw.Close() })
	if c.awaitingResponses {
		c.setReadDeadline(c.listener.config.Clock.Now())
	}
}

// responseDone notes that the answer of the first request under way is out, and gives the next one its turn.
func (c *conn) responseDone(lane *Lane) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if lane.state != active {
		return
	}
	lane.state = idle
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

// recycle makes a lane ready for another request, or ends it.
func (c *conn) recycle(lane *Lane) {
	if len(c.idleLanes) < maxIdleLanes && !c.stopped {
		c.idleLanes = append(c.idleLanes, lane)
		return
	}
	lane.retire()
}

// closeIfUnused closes the connection if no request runs or has arrived and due says so, and says whether it is
// closed.
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
