package paproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paevent"
	"papayahead/paheader"
)

// errSilent is the cause of a send that was cancelled because its connection was silent.
var errSilent = trace.ConnectionProblem(nil, "no data on the connection within the timeout")

// targetSend is one request on one connection to a target.
type targetSend struct {
	targets      *TargetClient
	conn         *targetConn
	body         *bodyReader
	cancel       context.CancelCauseFunc
	writesBefore int
	// responseStarted is set at the response's first byte.
	responseStarted atomic.Bool
	// interimMutex guards interimEnded, which stops interim responses: net/http may deliver one after
	// RoundTrip has returned, when the caller's ResponseWriter must no longer be used here.
	interimMutex sync.Mutex
	interimEnded bool
	interims     int
}

// send sends the request to the target, once. If it returns no response, the result states why; it
// is NotRun only if no write of the request was started.
//
// A connection that was found closed before a write was started, or silent under an idempotent
// request, is replaced by another one to the same target. The connection is at fault, so this
// doesn't count as a new attempt and the Placer is not told.
func (t *TargetClient) send(ctx context.Context, x *exchange, to Local) (*response, Result) {
	maxAge := orDefault(t.MaxReuseAge, DefaultMaxReuseAge)
	if x.request.Idempotent {
		maxAge = orDefault(t.IdleTimeout, DefaultTargetIdleTimeout)
	}
	for {
		c, err := t.connect(ctx, to, maxAge)
		if err != nil {
			return nil, connectFailed(ctx, err)
		}
		if !x.tryStart() {
			t.putUnused(c)
			return nil, notStarted(ctx, t.Clock.Now(), x)
		}
		resp, result, retry := t.sendOn(ctx, x, c)
		if !retry {
			return resp, result
		}
		maxAge = t.nextMaxAge(c, maxAge, result)
	}
}

// notStarted returns the result of an attempt that was not allowed to start: fenced, past its
// deadline, or cancelled.
func notStarted(ctx context.Context, now time.Time, x *exchange) Result {
	r := Result{Outcome: NotRun, Reason: ReasonFenced, Fault: FaultPeer}
	switch {
	case ctx.Err() != nil:
		r.Reason, r.Fault = contextEndReason(ctx)
	case !now.Before(x.request.Deadline):
		r.Reason, r.Fault = ReasonDeadline, FaultDeadline
	}
	return r
}

// nextMaxAge returns the maximum age of the connection to try after one failed. After a silent one
// only a new connection is used.
func (t *TargetClient) nextMaxAge(c *targetConn, maxAge time.Duration, r Result) time.Duration {
	if r.Outcome == Unknown {
		t.CloseIdle(c.address)
		return -1
	}
	return maxAge
}

// putUnused returns a connection to the pool that carried no request.
func (t *TargetClient) putUnused(c *targetConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.pools[c.address]
	p.idle = append(p.idle, c)
}

// connectFailed returns the result of an attempt that got no connection.
func connectFailed(ctx context.Context, err error) Result {
	r := Result{Outcome: NotRun, Reason: ReasonNoConnection, Fault: FaultTarget}
	switch {
	case ctx.Err() != nil:
		r.Reason, r.Fault = contextEndReason(ctx)
	case errors.Is(err, errConnectionBudget):
		r.Reason, r.Fault = ReasonConnectionBudget, FaultConnection
	}
	return r
}

// sendOn sends the request on the connection. The last result reports whether another connection
// may be tried.
func (t *TargetClient) sendOn(ctx context.Context, x *exchange, c *targetConn) (*response, Result, bool) {
	start := t.Clock.Now()
	sendCtx, cancel := context.WithCancelCause(ctx)
	s := &targetSend{targets: t, conn: c, cancel: cancel, writesBefore: c.tracked.writesStarted()}
	r := s.request(sendCtx, x)
	stop := s.watchSilence(x)
	c.tracked.head.Await(nil, &c.tracked.claim)
	httpResp, err := c.transport.RoundTrip(r) //nolint:bodyclose // closed by response.close
	stop()
	s.endInterim()
	if err != nil {
		result, retry := s.failed(ctx, sendCtx, x, err)
		result.TimeToHeader = t.Clock.Since(start)
		cancel(nil)
		return nil, result, retry
	}
	resp := s.newResponse(x, httpResp)
	resp.result.TimeToHeader = t.Clock.Since(start)
	if r, refused := s.rejectResponse(x, httpResp); refused {
		if r.Outcome == NotRun {
			// Read a short refusal to its end, so that the connection can be reused.
			_, _ = io.CopyN(io.Discard, resp.body, chunkSize)
		}
		resp.close()
		r.TimeToHeader = resp.result.TimeToHeader
		return nil, r, false
	}
	return resp, resp.result, false
}

// request returns the request for the target.
func (s *targetSend) request(ctx context.Context, x *exchange) *http.Request {
	u, err := url.ParseRequestURI(x.uri)
	if err != nil {
		u = &url.URL{Path: "/"}
	}
	u.Scheme, u.Host = "http", s.conn.address.String()
	h := x.header.Clone()
	h.Set(RequestIDHeader, string(x.request.ID))
	if t := s.targets.Stamps.NextText(); t != "" {
		h.Set(StampHeader, t)
	}
	h.Set(AttemptHeader, strconv.Itoa(x.request.Attempt))
	left := x.request.Deadline.Sub(s.targets.Clock.Now()).Milliseconds()
	h.Set(DeadlineHeader, strconv.FormatInt(max(left, 1), 10))
	if h.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own User-Agent.
		h["User-Agent"] = []string{""}
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { s.responseStarted.Store(true) },
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			return s.forwardInterim(x, code, http.Header(h))
		},
	})
	r := &http.Request{
		Method: x.request.Method, URL: u, Host: x.host, Header: h, Body: http.NoBody,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if x.body != nil {
		s.attachBody(x, r)
	}
	return r.WithContext(ctx)
}

// maxInterim limits the interim responses to a request, because net/http doesn't if there is a
// Got1xxResponse hook. A few are legitimate hints; a target that sends them endlessly would never
// respond.
const maxInterim = 16

// errInterim is returned when a target exceeds maxInterim.
var errInterim = trace.LimitExceeded("more than %d interim responses", maxInterim)

// forwardInterim passes an interim response on while the request waits for its final one.
func (s *targetSend) forwardInterim(x *exchange, code int, h http.Header) error {
	s.interimMutex.Lock()
	defer s.interimMutex.Unlock()
	s.interims++
	if s.interims > maxInterim {
		return errInterim
	}
	if !s.interimEnded && code != http.StatusContinue {
		x.writeInterim(code, endToEnd(h))
	}
	return nil
}

// endInterim stops passing on interim responses.
func (s *targetSend) endInterim() {
	s.interimMutex.Lock()
	defer s.interimMutex.Unlock()
	s.interimEnded = true
}

// attachBody sets the request's body and trailer.
func (s *targetSend) attachBody(x *exchange, r *http.Request) {
	s.body = x.body.newReader()
	r.ContentLength = x.request.Size
	r.Body = s.body
	if x.expect {
		r.Header.Set("Expect", "100-continue")
	}
	if len(x.trailerNames) == 0 || x.trailer == nil {
		return
	}
	r.Trailer = http.Header{}
	for _, name := range x.trailerNames {
		r.Trailer[name] = nil
	}
	r.Body = &trailerBody{bodyReader: s.body, to: r.Trailer, from: x.trailer}
}

// trailerBody sets the request's trailer at the end of its body.
type trailerBody struct {
	*bodyReader
	to   http.Header
	from func() http.Header
}

// Read reads from the body.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.bodyReader.Read(p)
	if err == io.EOF {
		for name, values := range b.from() {
			b.to[name] = values
		}
	}
	return n, err
}

// watchSilence cancels the send if a connection that is not recent stays silent. stop ends the
// watch.
//
// A middlebox may drop the state of an open connection and lose the request without an error, so
// that it runs into its deadline while the target responds to others. Only an idempotent request
// without a body is sent again.
func (s *targetSend) watchSilence(x *exchange) (stop func()) {
	t := s.targets
	if s.conn.recent || !x.request.Idempotent || x.body != nil {
		return func() {}
	}
	timer := t.Clock.AfterFunc(orDefault(t.SilenceTimeout, DefaultSilenceTimeout), func() {
		if !s.responseStarted.Load() {
			s.cancel(errSilent)
		}
	})
	return func() { timer.Stop() }
}

// failed closes the connection and returns the result. The last result reports whether another
// connection may be tried.
func (s *targetSend) failed(ctx, sendCtx context.Context, x *exchange, err error) (Result, bool) {
	s.body.stop()
	defer s.conn.tracked.head.Release()
	wrote := s.targets.closeUsed(s.conn) > s.writesBefore
	r := Result{Outcome: NotRun, Reason: ReasonNoConnection, Fault: FaultConnection, NewConnection: !s.conn.reused}
	if wrote {
		r.Outcome, r.Reason, r.Fault = Unknown, ReasonTargetLost, FaultTarget
	}
	replaceable := s.conn.reused && ctx.Err() == nil && !x.bodyRead()
	switch {
	case ctx.Err() != nil:
		r.Reason, r.Fault = contextEndReason(ctx)
		if s.conn.reused && wrote && r.Fault == FaultDeadline && !s.responseStarted.Load() {
			s.targets.CloseIdle(s.conn.address)
			if !s.conn.recent {
				// The connection may have been silent from the start, so don't count it against the target.
				r.Fault = FaultConnection
			}
		}
		return r, false
	case errors.Is(context.Cause(sendCtx), errSilent):
		r.Fault = FaultConnection
		record(s.targets.Events, paevent.ConnectionSilent{Subject: eventSubject(x.request), Target: s.conn.address.String()})
		return r, replaceable
	case x.bodyError() != nil:
		r.Reason, r.Fault = ReasonCallerGone, FaultCaller
		if errors.Is(x.bodyError(), errBodyTooLarge) {
			r.Reason = ReasonTooLarge
		}
		return r, false
	case s.conn.reused && wrote:
		// The target may close an idle connection at any time; don't count it against the target.
		r.Fault = FaultConnection
	}
	return r, replaceable && !wrote
}

// rejectResponse returns the result for a response that must not be relayed; false means that it
// may be.
func (s *targetSend) rejectResponse(x *exchange, httpResp *http.Response) (Result, bool) {
	r := Result{
		Outcome: Unknown, Fault: FaultTarget, Status: httpResp.StatusCode,
		NewConnection: !s.conn.reused, Draining: httpResp.Header.Get(DrainingHeader) == "true",
	}
	s.targets.Stamps.ReceiveText(httpResp.Header.Get(StampHeader))
	gotID := httpResp.Header.Get(RequestIDHeader)
	strict := s.conn.reused && !s.targets.TrustResponseOrder
	switch {
	case gotID != string(x.request.ID) && (gotID != "" || strict):
		// The response to another request: late, surplus or mismatched. Matching by order would deliver
		// it to the wrong caller.
		r.Reason = ReasonWrongIdentity
		record(s.targets.Events, paevent.IdentityMismatch{
			Subject: eventSubject(x.request), Target: s.conn.address.String(), Said: gotID,
		})
	case paheader.HasTwoHeads(httpResp):
		r.Reason = ReasonTruncated
	case !paheader.IsStatus(httpResp.StatusCode):
		r.Reason = ReasonNoStatus
	case httpResp.StatusCode == http.StatusSwitchingProtocols:
		r.Reason = ReasonUnframedAnswer
	case closeDelimited(x.request.Method, httpResp):
		r.Reason = ReasonUnframedAnswer
	case httpResp.StatusCode == http.StatusServiceUnavailable && httpResp.Header.Get(OutcomeHeader) == NotRun.String():
		r.Outcome, r.Reason, r.Fault = NotRun, ReasonShed, FaultShed
		r.RetryAfter = retryAfter(httpResp.Header)
	default:
		return Result{}, false
	}
	return r, true
}

// closeDelimited reports whether the end of the response is marked only by the end of its
// connection, so that a truncated response looks complete.
func closeDelimited(method string, r *http.Response) bool {
	empty := bodiless(method, r.StatusCode)
	return !empty && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// maxRetryAfter limits the Retry-After of a target.
const maxRetryAfter = 60 * time.Second

// retryAfter parses a Retry-After field in seconds; 0 if it is absent or malformed.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// newResponse returns the target's response, ready to be relayed.
func (s *targetSend) newResponse(x *exchange, httpResp *http.Response) *response {
	resp := &response{
		responseHead: responseHead{status: httpResp.StatusCode, header: endToEnd(httpResp.Header), length: httpResp.ContentLength},
		body:         httpResp.Body,
		result: Result{
			Status: httpResp.StatusCode, NewConnection: !s.conn.reused,
			Draining: httpResp.Header.Get(DrainingHeader) == "true",
		},
		trailer: func() http.Header { return endToEnd(httpResp.Trailer) },
	}
	for name := range httpResp.Trailer {
		resp.trailerNames = append(resp.trailerNames, name)
	}
	identified := httpResp.Header.Get(RequestIDHeader) == string(x.request.ID) || s.targets.TrustResponseOrder
	body := &eofReader{source: httpResp.Body}
	resp.body = body
	resp.close = func() { s.finish(body.atEOF && identified && !httpResp.Close, httpResp) }
	return resp
}

// finish returns the connection to the pool after a complete response, or closes it. A connection
// whose response was abandoned is never reused, because the next request could read the rest of it.
func (s *targetSend) finish(complete bool, httpResp *http.Response) {
	defer s.cancel(nil)
	s.body.stop()
	httpResp.Body.Close()
	s.conn.tracked.head.Release()
	if complete && s.conn.tracked.usable() {
		s.targets.put(s.conn)
		return
	}
	s.targets.closeUsed(s.conn)
}

// eofReader records whether the source was read to its end.
type eofReader struct {
	source io.Reader
	atEOF  bool
}

// Read reads from the source.
func (r *eofReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err == io.EOF {
		r.atEOF = true
	}
	return n, err
}
