package paproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
)

// exchange is one request in progress at this entry VM, from a caller or from another entry VM.
type exchange struct {
	request Request
	// header holds the end-to-end fields; uri is the path and query for the target.
	header    http.Header
	uri, host string
	// body is nil for a request without a body.
	body *requestBody
	// trailer returns the request's trailer; call it after the body's end.
	trailer func() http.Header
	// trailerNames are the names announced in the Trailer field.
	trailerNames []string
	// expect reports that the caller sent Expect and waits for 100 Continue.
	expect bool
	// tryStart reports, right before the first byte is sent, whether the request may still start.
	tryStart func() bool
	// writeInterim passes an interim (1xx) response on.
	writeInterim func(status int, h http.Header)
	// newPacer returns a function that is called before each chunk of a flow is passed on.
	newPacer func(context.Context, Flow) func(int) error
}

// responseHead is a response's status and header.
type responseHead struct {
	status int
	header http.Header
	// length is the declared length of the body; -1 means none.
	length       int64
	trailerNames []string
}

// response is a response from a target or peer.
type response struct {
	responseHead
	// body returns io.EOF only if the body is complete.
	body io.Reader
	// trailer returns the trailer; call it after the body's end.
	trailer func() http.Header
	// close abandons the response, or returns its connection to the pool if the response is complete.
	close func()
	// peer is the entry VM that forwarded the response; "" means none.
	peer pabundle.EntryName
	// pace is called with the size of each chunk before it is passed on; it may block.
	pace   func(bytes int) error
	result Result
}

// refusal is the end of a request without a response from a target.
type refusal struct {
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
	result     Result
}

// responder writes to the caller or to the peer that the request came from.
type responder interface {
	writeInterim(status int, h http.Header)
	writeHead(h responseHead) error
	write(p []byte) error
	finish(trailer http.Header) error
	// abort ends a partially written response so that it can't be mistaken for a complete one.
	abort(r Result)
	// refuse ends a request for which no response header was written.
	refuse(r refusal)
	// interrupt unblocks a write in progress.
	interrupt()
}

// errIdle is the cause of a context that was cancelled because a body made no progress.
var errIdle = trace.LimitExceeded("body made no progress within the idle timeout")

// contextEndReason returns the reason why the context ended, and whose fault it is.
func contextEndReason(ctx context.Context) (Reason, Fault) {
	switch {
	case errors.Is(context.Cause(ctx), errIdle):
		return ReasonIdle, FaultTarget
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return ReasonDeadline, FaultDeadline
	default:
		return ReasonCallerGone, FaultCaller
	}
}

// bodyRead reports whether an attempt has read from the body, which rules out another attempt.
func (x *exchange) bodyRead() bool {
	if x.body == nil {
		return false
	}
	t, _, _ := x.body.state()
	return t
}

// requestBytes returns the number of the request body's bytes passed on.
func (x *exchange) requestBytes() int64 {
	if x.body == nil {
		return 0
	}
	_, n, _ := x.body.state()
	return n
}

// bodyError returns the read error of the request's body. It is the caller's fault, not the
// receiver's.
func (x *exchange) bodyError() error {
	if x.body == nil {
		return nil
	}
	_, _, err := x.body.state()
	return err
}

// chunkSize is the size of the chunks in which bodies are passed on. 32 KiB limits 1,000 bodies in
// flight to 32 MB, and a chunk takes less than 1 ms on a 280 Mbit/s link.
const chunkSize = 32 << 10

var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}
