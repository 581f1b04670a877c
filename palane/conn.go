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
	// readBuffer is the size of a connection's buffer: some ten requests of usual size. What a caller sends
	// beyond it while DepthMost requests are under way stays in the network, so that it feels the limit.
	readBuffer = 4 << 10
	// lingerTime is how long a connection is read on after its last answer. A connection that is closed with
	// unread bytes is reset, and the reset can overtake the answer on its way to the caller.
	lingerTime = 500 * time.Millisecond
	// spareMost is how many idle lanes a connection keeps for its next request. Each holds two buffers of 4 KB and
	// the stack of a goroutine: with four an entry VM with 300 callers' connections took 23 MB at its peak, with
	// one 19 MB.
	spareMost = 1
)

// conn is a caller's connection.
type conn struct {
	listener *Listener
	raw      net.Conn
	reader   *bufio.Reader
	// tap is what heads are parsed from. Only run uses it and posted.
	tap tap
	// posted says that the last request was a POST.
	posted bool
	// left is closed when nothing more can reach the caller's requests: it left, or the connection ends.
	left chan struct{}

	mutex sync.Mutex
	// changed wakes the reader where answers end.
	changed *sync.Cond
	// under are the lanes whose requests are under way, in the order of the requests.
	under []*Lane
	spare []*Lane
	// last says that no further request is taken, hasLeft that left is closed, ended that the last answer is out.
	last, hasLeft, ended bool
	// waiting says that no byte of the next request has arrived, stalled that the reader waits for answers.
	waiting, stalled bool
	// served says that a request was answered; since is when the connection became unused.
	served bool
	since  time.Time
	// held is the bytes of answers that wait for their turn.
	held int64
}

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{
		listener: l, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), left: make(chan struct{}), since: l.config.Clock.Now(),
	}
	c.changed = sync.NewCond(&c.mutex)
	c.tap.from = c.reader
	return c
}

// run reads the caller's requests until no more are taken, and what it sends then until it leaves.
func (c *conn) run() {
	defer c.listener.forget(c)
	for c.next() {
	}
	c.stop()
	for {
		if _, err := c.reader.Discard(readBuffer); err != nil {
			break // The caller left, or the connection was closed.
		}
	}
	c.leave()
	c.raw.Close()
}

// next reads one request and hands it to a lane; false says that it was the last.
func (c *conn) next() bool {
	if !c.awaitRequest() {
		return false
	}
	head := heads.Get().(*bufio.Reader)
	defer heads.Put(head)
	r, err := c.readHead(head)
	c.posted = err == nil && r.Method == http.MethodPost
	lane := c.enter(r)
	if lane == nil {
		return false
	}
	switch {
	case err != nil:
		c.passOn(lane)
		return false
	case twoLengths(c.tap.raw, r):
		lane.feed([]byte(noRequest))
		return false
	case !lane.feed(c.tap.raw) || !c.passBody(lane, r):
		return false
	}
	return !r.Close && (plain(r) || c.await(func() bool { return lane.state != under }))
}

// passOn hands a malformed head and all that follows to the server, which refuses it and closes the connection.
func (c *conn) passOn(lane *Lane) {
	var b [readBuffer]byte
	err := c.tap.err
	for p := c.tap.raw; lane.feed(p) && err == nil; {
		var n int
		n, err = c.reader.Read(b[:])
		p = b[:n]
	}
	lane.endInput(err)
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() bool {
	c.mutex.Lock()
	c.waiting = c.reader.Buffered() == 0
	if len(c.under) == 0 {
		c.since = c.listener.config.Clock.Now()
	}
	c.mutex.Unlock()
	err := c.skipLineEnds()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = false
	return err == nil && !c.last
}

// lineEndsMost is how many line ends a server of net/http skips behind a POST, which some old callers send.
const lineEndsMost = 4

// skipLineEnds waits for a byte, which is none of those that the server skips.
func (c *conn) skipLineEnds() error {
	for skipped := 0; ; skipped++ {
		b, err := c.reader.Peek(1)
		if err != nil || !c.posted || skipped == lineEndsMost || b[0] != '\r' && b[0] != '\n' {
			return err
		}
		if _, err := c.reader.Discard(1); err != nil {
			return err
		}
	}
}

// heads are the buffers of parsers of heads, which a connection needs for as long as a head takes to arrive.
var heads = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// readHead reads the head of a request; the tap has its bytes. The request's body reads on from head.
func (c *conn) readHead(head *bufio.Reader) (*http.Request, error) {
	timed := false
	c.tap.wait = func() {
		if d := c.headTimeout(); d > 0 && !timed {
			timed = true
			c.setReadDeadline(c.listener.config.Clock.Now().Add(d))
		}
	}
	c.tap.start(c.listener.config.MaxHeaderBytes + headSlop)
	head.Reset(&c.tap)
	r, err := http.ReadRequest(head)
	if c.tap.wait = nil; timed {
		c.setReadDeadline(time.Time{})
	}
	return r, err
}

func (c *conn) headTimeout() time.Duration {
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

// enter returns a lane whose request is the next one under way, or nil if no more are taken. It waits while
// DepthMost are.
func (c *conn) enter(r *http.Request) *Lane {
	if !c.await(func() bool { return len(c.under) < MaxPipelined }) {
		return nil
	}
	lane := c.takeSpare()
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
	if c.last || lane.closed {
		lane.retire()
		return nil
	}
	c.last = r == nil || r.Close
	lane.begin()
	c.under = append(c.under, lane)
	if len(c.under) == 1 {
		close(lane.turn)
	}
	return lane
}

func (c *conn) takeSpare() *Lane {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := len(c.spare)
	if n == 0 {
		return nil
	}
	lane := c.spare[n-1]
	c.spare = c.spare[:n-1]
	return lane
}

// await waits until ready, which is called under the mutex, and says whether the connection still takes requests.
// It goes on reading into the connection's buffer, so that a caller that leaves meanwhile is noticed.
func (c *conn) await(ready func() bool) bool {
	for c.stall(ready) {
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		var e net.Error
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			c.awaitChange(ready)
		case errors.As(err, &e) && e.Timeout():
			// An answer ended the wait; see answered.
			c.setReadDeadline(time.Time{})
		default:
			c.leave()
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.last
}

// stall says whether the reader has to wait for answers.
func (c *conn) stall(ready func() bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	was := c.stalled
	c.stalled = !ready() && !c.last
	if was && !c.stalled {
		c.setReadDeadline(time.Time{})
	}
	return c.stalled
}

func (c *conn) awaitChange(ready func() bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !ready() && !c.last {
		c.changed.Wait()
	}
}

// passBody hands the body of a request to its lane as it arrives.
func (c *conn) passBody(lane *Lane, r *http.Request) bool {
	if r.ContentLength > 0 {
		_, err := io.CopyN(lane.input(), c.reader, r.ContentLength)
		return err == nil
	}
	if r.ContentLength == 0 {
		return true
	}
	var b [readBuffer]byte
	for {
		c.tap.start(0)
		_, err := r.Body.Read(b[:])
		if !lane.feed(c.tap.raw) {
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
	c.last = true
	if len(c.under) == 0 {
		c.end()
	}
}

// leave ends the requests of a caller that is gone.
func (c *conn) leave() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaveLocked()
}

func (c *conn) leaveLocked() {
	c.last = true
	if !c.hasLeft {
		c.hasLeft = true
		close(c.left)
	}
	for _, lane := range c.under {
		lane.release()
		lane.wake.Broadcast()
	}
	for _, lane := range c.spare {
		lane.retire()
	}
	c.spare = nil
	c.changed.Broadcast()
}

// end closes the connection after its last answer; the mutex is held.
func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.leaveLocked()
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.raw.Close()
		return
	}
	c.listener.config.Clock.AfterFunc(lingerTime, func() { c.raw.Close() })
	if c.stalled {
		c.setReadDeadline(c.listener.config.Clock.Now())
	}
}

// answered notes that the answer of the first request under way is out, and gives the next one its turn.
func (c *conn) answered(lane *Lane) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if lane.state != under {
		return
	}
	lane.state = idle
	c.under = c.under[1:]
	c.served = true
	c.keep(lane)
	switch {
	case len(c.under) > 0:
		next := c.under[0]
		next.release()
		close(next.turn)
		if next.closed {
			c.end()
		}
	case c.last:
		c.end()
	default:
		c.since = c.listener.config.Clock.Now()
	}
	if c.stalled {
		c.setReadDeadline(c.listener.config.Clock.Now())
	}
	c.changed.Broadcast()
}

// keep makes a lane ready for another request, or ends it.
func (c *conn) keep(lane *Lane) {
	if len(c.spare) < spareMost && !c.last {
		c.spare = append(c.spare, lane)
		return
	}
	lane.retire()
}

// closeUnused closes the connection if no request runs or has arrived and due says so, and says whether it is
// closed.
func (c *conn) closeUnused(due func(served bool, since time.Time) bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return true
	}
	if !c.waiting || len(c.under) > 0 || !due(c.served, c.since) || !pasocket.NothingToRead(c.raw) {
		return false
	}
	c.end()
	return true
}
