package paproxy

import (
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// errBodyClosed is returned by reads of an attempt that has ended.
var errBodyClosed = trace.Errorf("read of a request body after its attempt ended")

// errBodyTooLarge is returned when a request's body exceeds Limits.MaxBody.
var errBodyTooLarge = trace.LimitExceeded("request body exceeds the size limit")

// requestBody streams a request's body to a target or peer. At most one attempt reads it: no
// further attempt is made once reading has started.
type requestBody struct {
	source io.Reader
	clock  clockwork.Clock
	// idleTimeout limits each read; maxBytes limits the total, 0 means no limit.
	idleTimeout time.Duration
	maxBytes    int64
	// interrupt unblocks a read in progress; the source can't be read afterwards.
	interrupt func()
	// pace is called with the size of each chunk before it is passed on; it may block.
	pace func(bytes int) error

	mutex     sync.Mutex
	readers   sync.WaitGroup
	reading   bool
	started   bool
	ended     bool
	atEnd     bool
	bytesRead int64
	readError error
}

// newReader returns a reader for one attempt. It ends when it is closed.
func (b *requestBody) newReader() *bodyReader { return &bodyReader{body: b} }

// finish ends all reading and waits for a read in progress, so that the source can be returned to
// the server that owns it.
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

// drain reads and discards up to limit bytes, for at most d.
func (b *requestBody) drain(limit int64, d time.Duration) {
	r := b.newReader()
	timer := b.clock.AfterFunc(d, b.interrupt)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, r, limit)
	r.stop()
}

// complete reports whether the body was read to its end.
func (b *requestBody) complete() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.atEnd
}

// state reports whether an attempt has started to read, the number of bytes read, and the read
// error of the source.
func (b *requestBody) state() (started bool, bytesRead int64, readError error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.started, b.bytesRead, b.readError
}

// read reads from the source on behalf of an attempt.
func (b *requestBody) read(r *bodyReader, p []byte) (int, error) {
	b.mutex.Lock()
	if b.ended || r.closed {
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
	b.bytesRead += int64(n)
	if b.maxBytes > 0 && b.bytesRead > b.maxBytes {
		n, err = 0, errBodyTooLarge
	}
	if err != nil && err != io.EOF && b.readError == nil {
		b.readError = err
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

// readSource reads once from the source, within the idle timeout.
func (b *requestBody) readSource(p []byte) (int, error) {
	timer := b.clock.AfterFunc(b.idleTimeout, b.interrupt)
	defer timer.Stop()
	return b.source.Read(p)
}

// bodyReader reads a request's body for one attempt.
type bodyReader struct {
	body   *requestBody
	closed bool
}

// Read returns errBodyClosed after the attempt has ended.
func (r *bodyReader) Read(p []byte) (int, error) { return r.body.read(r, p) }

// Close ends reading by this attempt. It doesn't close the body's source.
func (r *bodyReader) Close() error {
	r.stop()
	return nil
}

// stop is Close without an error. It accepts a nil reader.
func (r *bodyReader) stop() {
	if r == nil {
		return
	}
	r.body.mutex.Lock()
	defer r.body.mutex.Unlock()
	r.closed = true
}
