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

// exchange is one request under way at this entry VM, from a caller or from another entry VM.
type exchange struct {
	request Request
	// header holds the end-to-end fields; uri is path and query at the target.
	header    http.Header
	uri, host string
	// body is nil for a request without one.
	body *requestBody
	// trailer returns the request's trailer after its body ended.
	trailer func() http.Header
	// trailerNames are announced before the body.
	trailerNames []string
	// expect says that the body waits for 100-continue.
	expect bool
	// tryStart asks, right before the first byte is sent, whether the request may still tryStart.
	tryStart func() bool
	// writeInterim passes an interim answer (1xx) on.
	writeInterim func(status int, h http.Header)
	// newPacer returns the function that is asked before bytes of a flow are passed on.
	newPacer func(context.Context, Flow) func(int) error
}

// responseHead is the start of an answer.
type responseHead struct {
	status int
	header http.Header
	// length is the declared length; -1 is none.
	length       int64
	trailerNames []string
}

// response is a target's response on its way to the caller.
type response struct {
	responseHead
	// body ends with io.EOF only when it is whole.
	body io.Reader
	// trailer returns the trailer after the body ended.
	trailer func() http.Header
	// close gives the answer up, or its connection back after the end.
	close func()
	// peer is the entry VM that the answer came through; "" is none.
	peer pabundle.EntryName
	// pace is asked before bytes are passed on.
	pace   func(bytes int) error
	result Result
}

// refusal is the end of a request without an answer.
type refusal struct {
	outcome  Outcome
	reason   Reason
	comeBack time.Duration
	result   Result
}

// responder is the side that the request came from.
type responder interface {
	writeInterim(status int, h http.Header)
	writeHead(h responseHead) error
	write(p []byte) error
	finish(trailer http.Header) error
	// abort ends a begun answer so that it can't pass for a whole one.
	abort(r Result)
	// refuse ends a request that has no begun answer.
	refuse(r refusal)
	// interrupt makes a blocked write return.
	interrupt()
}

// errIdle is the cause of a context that ended because a body stood still.
var errIdle = trace.LimitExceeded("the body made no progress")

// contextEndReason returns why the context ended.
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

// bodyRead says that an attempt has read from the body, so that no other can.
func (x *exchange) bodyRead() bool {
	if x.body == nil {
		return false
	}
	t, _, _ := x.body.state()
	return t
}

// requestBytes returns the number of the body's bytes passed on.
func (x *exchange) requestBytes() int64 {
	if x.body == nil {
		return 0
	}
	_, n, _ := x.body.state()
	return n
}

// bodyError says that the body's source failed: the caller's fault, and not the receiver's.
func (x *exchange) bodyError() error {
	if x.body == nil {
		return nil
	}
	_, _, err := x.body.state()
	return err
}

// chunkSize is the size of the pieces that bodies are passed on in. 32 KiB keeps 1,000 bodies in
// flight at 32 MB and a piece on a 280 Mbit/s link under 1 ms.
const chunkSize = 32 << 10

var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}
