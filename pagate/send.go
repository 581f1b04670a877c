package pagate

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paconn"
	"papayahead/paproof"
	"papayahead/pasteer"
)

const (
	// maxBuffered is how many bytes of a request's or response's body are held in memory. A response that is held
	// can be checked to its end before its first byte is sent to the client.
	maxBuffered = 256 << 10
	// maxInlineWrite is the largest request body that is written before the response is read; a longer write
	// could block on a target that responds before it reads.
	maxInlineWrite = 2 << 10
	// requestBufferSize is the size of the buffer in which a request is written.
	requestBufferSize = 4 << 10
	// maxStrayAnswers is how many responses to other requests are skipped on a connection.
	maxStrayAnswers = 3
	// deadlineSlack is how long after the deadline a response is still awaited: the target sends its own response
	// at the deadline, and a complete one is delivered.
	deadlineSlack = 120 * time.Millisecond
)

// reply is a target's response.
type reply struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows body if the response is too long to hold. done, if it is not nil, must be called at the end of the
	// response, and of the request if its body is still being sent.
	rest   *restReader
	length int64
	done   func(whole bool)
	// delivered, if done is not nil, is called once the client has the response, while the body is still being sent: a client that leaves then
	// does not end the request.
	delivered func()
	// onEnd is called when rest was read to its end, or failed to be read; it may be nil.
	onEnd func(whole bool)
}

// restReader reads the rest of a response from a target. failed says that the target broke it off.
type restReader struct {
	io.Reader
	failed bool
}

// Read implements io.Reader.
func (r *restReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.failed = r.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// attempt is one send of a request to one target.
type attempt struct {
	gate   *Gate
	x      *exchange
	choice pasteer.Choice
	conn   *paconn.Conn
	// pool is where the connection returns; connected says that it was opened for this attempt.
	pool      *paconn.Pool
	connected bool
	// begun says that bytes of the request may have been sent.
	begun bool
	// sending is the sending of the request.
	sending   *bodySending
	startedAt time.Time
	// relayCall is set if the request goes to a relay rather than to a target.
	relayCall string
}

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	reply   *reply
	outcome pasteer.Outcome
	// proof is what proves that the target did not run the request and will not.
	proof paproof.Rejection
	// failure is how the attempt failed, if it got no complete response.
	failure paconn.Failure
	report  pasteer.Report
	// connOpened is when the connection was opened.
	connOpened time.Time
	// relayed is what a relay said; nil if the request was not relayed, or the relay did not respond.
	relayed *relayReply
}

// send sends the request to the chosen target, once.
func (g *Gate) send(ctx context.Context, x *exchange, c pasteer.Choice) attemptResult {
	a := &attempt{gate: g, x: x, choice: c, startedAt: g.config.Clock.Now()}
	r := a.sendOn(ctx, g.conns)
	if a.connected {
		g.meter.targetConns.Inc()
		g.meter.openedFor(a.conn.OpenedFor).Inc()
		r.report.Connected = true
	}
	r.report.Unreached = r.failure == paconn.FailureUnacked
	if a.conn != nil {
		r.connOpened = a.conn.Opened
	}
	return r
}

// sendOn sends the request, once, on a connection of a pool.
func (a *attempt) sendOn(ctx context.Context, pool *paconn.Pool) attemptResult {
	c, maxIdle := a.choice, paconn.MaxIdle
	if !a.x.route.Idempotent {
		maxIdle = paconn.MaxIdleForOnce
	}
	var err error
	a.conn, err = pool.Get(ctx, paconn.Use{
		Address: c.Address, Target: c.Target, Born: c.Born, MaxIdle: maxIdle, Request: a.x.id, Deadline: a.x.deadline,
	})
	if err != nil {
		return a.fail(ctx, err)
	}
	// Another request may have the connection once this one has its response.
	a.pool, a.connected = pool, !a.conn.Reused
	if a.relayCall == "" && !a.gate.maySend(c) {
		a.conn.Close()
		return a.withheld()
	}
	stop := context.AfterFunc(ctx, func() { a.conn.Close() })
	r := a.roundTrip(ctx)
	if a.begun {
		a.x.sends.End(r.proof)
	}
	if r.reply == nil || r.reply.done == nil {
		stop()
		return r
	}
	r.reply.delivered = func() { stop() }
	release := r.reply.done
	r.reply.done = func(whole bool) {
		// The end of the request must not close a connection that is idle in the pool by then.
		stop()
		release(whole)
	}
	return r
}

// roundTrip writes the request and reads the response.
func (a *attempt) roundTrip(ctx context.Context) attemptResult {
	deadline := a.x.deadline.Add(deadlineSlack)
	if err := a.conn.SetDeadline(deadline); err != nil {
		return a.fail(ctx, trace.Wrap(err))
	}
	if a.begun = a.x.sends.Begin(); !a.begun {
		a.conn.Close()
		return a.withheld()
	}
	a.sending = &bodySending{done: make(chan struct{})}
	request := a.newRequest()
	if a.x.inline() {
		a.writeRequest(request)
		if err := a.sending.err; err != nil {
			return a.fail(ctx, trace.Wrap(err))
		}
	} else {
		a.x.sending = a.sending
		go a.writeRequest(request)
	}
	response, err := a.readResponse(request) //nolint:bodyclose // readReply reads it, and closing the connection ends it
	if err != nil {
		return a.fail(ctx, trace.Wrap(err))
	}
	return a.readReply(ctx, response)
}

// writeRequest sends the request.
func (a *attempt) writeRequest(r *http.Request) {
	defer close(a.sending.done)
	w := bufio.NewWriterSize(a.conn, requestBufferSize)
	if a.sending.err = r.Write(w); a.sending.err == nil {
		a.sending.err = w.Flush()
	}
}

// newRequest returns the request to send to the target.
func (a *attempt) newRequest() *http.Request {
	names := a.gate.config.Headers
	h := a.x.header.Clone()
	left := max(1, a.x.deadline.Sub(a.gate.config.Clock.Now()).Milliseconds())
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	if a.relayCall == "" {
		h.Set(names.ExpectedInstance, a.choice.Target)
	} else {
		h.Set(relayHeader, a.relayCall)
	}
	if h.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own User-Agent.
		h["User-Agent"] = []string{""}
	}
	r := &http.Request{
		Method: a.x.method, URL: &url.URL{Opaque: a.x.uri}, Host: a.x.host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: a.x.size,
	}
	switch {
	case a.x.unbuffered != nil:
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(a.x.buffered), a.x.unbuffered))
	case len(a.x.buffered) > 0:
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(a.x.buffered)), int64(len(a.x.buffered))
	default:
		r.Body, r.ContentLength = http.NoBody, 0
	}
	return r
}

// withheld returns the outcome of an attempt that was given up before anything was sent.
func (a *attempt) withheld() attemptResult {
	r := attemptResult{outcome: pasteer.Withheld, proof: paproof.Unsent(), report: a.report()}
	r.report.Outcome = r.outcome
	return r
}

// fail closes the connection of an attempt that got no complete response, and returns its outcome.
func (a *attempt) fail(ctx context.Context, err error) attemptResult {
	r := attemptResult{outcome: pasteer.Lost, report: a.report()}
	if !a.begun {
		r.proof = paproof.Unsent()
	}
	if a.conn != nil {
		r.failure = paconn.ConnFailure(ctx, err)
		a.conn.Close()
	} else {
		r.outcome, r.failure = pasteer.Refused, paconn.DialFailure(ctx, err)
	}
	switch r.failure {
	case paconn.FailureDeadline:
		r.outcome = pasteer.Abandoned
	case paconn.FailureNoDescriptor:
		r.outcome = pasteer.Withheld
	}
	r.report.Outcome = r.outcome
	return r
}
