package paproxy

import (
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// errBodyClosed ends reads of an attempt that has been given up.
var errBodyClosed = trace.Errorf("the attempt that read this body has ended")

// errBodyTooLarge ends a request whose body passes Limits.MaxBody.
var errBodyTooLarge = trace.LimitExceeded("the request's body is too large")

// requestBody is a request's body on its way to its one send. It is read by at most one attempt:
// once touched, no other attempt is made.
type requestBody struct {
	source io.Reader
	clock  clockwork.Clock
	// idle bounds one read; max bounds all of them, 0 does not.
	idle time.Duration
	max  int64
	// interrupt makes a read in progress return; it ends the source for good.
	interrupt func()
	// pace is asked before bytes are passed on.
	pace func(bytes int) error

	mutex   sync.Mutex
	readers sync.WaitGroup
	reading bool
	started bool
	ended   bool
	atEnd   bool
	count   int64
	failure error
}

// newReader returns a reader for one newReader, which ends when it is closed.
func (b *requestBody) newReader() *bodyReader { return &bodyReader{body: b} }

// finish ends all reading and returns when no read is in progress, so that the source can be given
// back to the server it belongs to.
func (b *requestBody) finish() {
	b.mutex.Lock()
	b.ended = true
	reading := b.reading
	b.mutex.Unlock()
	if reading {
		b.interrupt()
	}
	b.readers.Wait()
}

// drain reads on for no one, up to the limit and the time.
func (b *requestBody) drain(limit int64, d time.Duration) {
	a := b.newReader()
	timer := b.clock.AfterFunc(d, b.interrupt)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, a, limit)
	a.stop()
}

// complete says that the body was read to its end.
func (b *requestBody) complete() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.atEnd
}

// state returns whether any attempt has read, the bytes read, and the failure of the source.
func (b *requestBody) state() (touched bool, count int64, failure error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.started, b.count, b.failure
}

// read reads for an attempt.
func (b *requestBody) read(a *bodyReader, p []byte) (int, error) {
	b.mutex.Lock()
	if b.ended || a.closed {
		b.mutex.Unlock()
		return 0, errBodyClosed
	}
	b.started, b.reading = true, true
	b.readers.Add(1)
	b.mutex.Unlock()
	n, err := b.readSource(p)
	b.mutex.Lock()
	b.reading = false
	b.atEnd = err == io.EOF
	b.count += int64(n)
	if b.max > 0 && b.count > b.max {
		n, err = 0, errBodyTooLarge
	}
	if err != nil && err != io.EOF && b.failure == nil {
		b.failure = err
	}
	b.mutex.Unlock()
	b.readers.Done()
	if n > 0 && b.pace != nil {
		if paceErr := b.pace(n); paceErr != nil {
			return 0, paceErr
		}
	}
	return n, err
}

// readSource reads once, within the idle time.
func (b *requestBody) readSource(p []byte) (int, error) {
	timer := b.clock.AfterFunc(b.idle, b.interrupt)
	defer timer.Stop()
	return b.source.Read(p)
}

// bodyReader is the body as one attempt reads it.
type bodyReader struct {
	body   *requestBody
	closed bool
}

// Read reads from the body unless the attempt has ended.
func (a *bodyReader) Read(p []byte) (int, error) { return a.body.read(a, p) }

// Close keeps this attempt from reading on; the body stays as it is.
func (a *bodyReader) Close() error {
	a.stop()
	return nil
}

// stop is Close; a nil attempt has nothing to stop.
func (a *bodyReader) stop() {
	if a == nil {
		return
	}
	a.body.mutex.Lock()
	defer a.body.mutex.Unlock()
	a.closed = true
}
