package paproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
	"papayahead/paclock"
	"papayahead/paevent"
)

// Proxy accepts requests from callers and from other entry VMs and handles each to its end. The
// fields Placer, Services, Targets, Clock and NewID must be set before the first request; Peers and
// Calls are needed only where requests are forwarded; Pacer and Observer are optional.
type Proxy struct {
	Placer   Placer
	Services Services
	Targets  *TargetClient
	Peers    *PeerClient
	Calls    *CallRegistry
	Pacer    Pacer
	Observer Observer
	Events   Events
	// Stamps is this process's hybrid logical clock; messages carry no timestamps if it is nil.
	Stamps *paevent.Stamper
	Clock  clockwork.Clock
	// NewID returns a new request ID. It must be safe for concurrent use.
	NewID  func() RequestID
	Limits Limits

	lastLocalID atomic.Uint64
}

// handle makes attempts at a request until one gets a response or no more are allowed, and returns
// the result of the last one.
//
// Attempts fail in part of the fleet at times. Another attempt is made only if the earlier one
// can't have run or the request is idempotent, and none of the body has been read; this prevents a
// second run. The number of attempts is limited here and by the Placer's retry budget, so that
// failures at saturation don't multiply the load.
func (p *Proxy) handle(ctx context.Context, x *exchange, out responder) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	worst := NotRun
	x.request.LocalID = p.lastLocalID.Add(1)
	for attempt := 1; ; attempt++ {
		x.request.Attempt = attempt
		resp, result, done := p.attempt(ctx, x)
		if resp != nil {
			resp.pace = p.pacing(ctx, responseFlow(x, resp))
			result = p.relay(ctx, cancel, x, resp, out)
			done(result)
			return result
		}
		result.RequestBytes = x.requestBytes()
		done(result)
		worst = max(worst, result.Outcome)
		if result.Fault == FaultRefused || !p.mayRetry(ctx, x, result) {
			if !result.concluded {
				result.Outcome = worst
			}
			out.refuse(refusal{outcome: result.Outcome, reason: result.Reason, retryAfter: result.RetryAfter, result: result})
			return result
		}
		x.request.Previous = result
	}
}

// mayRetry reports whether another attempt is allowed after the result.
func (p *Proxy) mayRetry(ctx context.Context, x *exchange, last Result) bool {
	if ctx.Err() != nil || last.Reason == ReasonFenced || x.bodyRead() || x.request.Attempt >= p.Limits.withDefaults().MaxAttempts {
		return false
	}
	return last.Outcome == NotRun || x.request.Idempotent
}

// attempt places and sends the request once. If it returns no response, the result states why.
func (p *Proxy) attempt(ctx context.Context, x *exchange) (*response, Result, func(Result)) {
	switch d := p.Placer.Place(ctx, x.request).(type) {
	case Local:
		resp, r := p.Targets.send(ctx, x, d)
		return resp, r, doneOrNoop(d.Done)
	case Forward:
		if x.request.Origin != "" || p.Peers == nil {
			// A request forwarded twice could circle between entry VMs that disagree on the owner.
			return nil, Result{Outcome: NotRun, Reason: ReasonForwardedTwice, Fault: FaultPeer}, doneOrNoop(d.Done)
		}
		x.newPacer = p.pacing
		resp, r := p.Peers.send(ctx, x, d)
		return resp, r, doneOrNoop(d.Done)
	case Refuse:
		return nil, Result{Outcome: NotRun, Reason: d.Reason, Fault: FaultRefused, RetryAfter: d.RetryAfter}, doneOrNoop(nil)
	case Conclude:
		return nil, Result{
			Outcome: d.Outcome, Reason: d.Reason, Fault: FaultRefused, RetryAfter: d.RetryAfter, Status: d.Status, concluded: true,
		}, doneOrNoop(nil)
	default:
		panic("paproxy: Placer returned an unknown Placement type")
	}
}

// doneOrNoop returns done, or a function that does nothing if done is nil.
func doneOrNoop(done func(Result)) func(Result) {
	if done == nil {
		return func(Result) {}
	}
	return done
}

// relay streams the response to the caller or peer.
func (p *Proxy) relay(ctx context.Context, cancel context.CancelCauseFunc, x *exchange, resp *response, out responder) Result {
	result := resp.result
	closeOnce := sync.OnceFunc(resp.close)
	defer closeOnce()
	err := out.writeHead(resp.responseHead)
	if err == nil {
		result.ResponseBytes, err = p.copy(ctx, cancel, resp, out)
	}
	if err == nil {
		trailer := resp.trailer()
		// Free the connection before the caller can send its next request.
		closeOnce()
		err = out.finish(trailer)
		if err != nil {
			err = callerError{err}
		}
	}
	result.RequestBytes = x.requestBytes()
	result.Duration = p.Clock.Since(x.request.Arrived)
	if err == nil {
		result.Outcome = Answered
		return result
	}
	result.Outcome = Unknown
	result.Reason, result.Fault = cutCause(ctx, err, x.bodyError())
	out.abort(result)
	return result
}

// callerError is a failure to write to the caller or to the forwarding peer.
type callerError struct{ error }

// cutCause returns why a response ended before its body was complete.
func cutCause(ctx context.Context, err, source error) (Reason, Fault) {
	var caller callerError
	var peer peerError
	switch {
	case ctx.Err() != nil:
		return contextEndReason(ctx)
	case errors.As(err, &caller), source != nil:
		return ReasonCallerGone, FaultCaller
	case errors.As(err, &peer):
		return peer.reason, peer.fault
	default:
		return ReasonTruncated, FaultTarget
	}
}

// copy streams the body in chunks. Each read and each write is subject to the idle timeout; time
// spent in the pacer is not counted against either side.
func (p *Proxy) copy(ctx context.Context, cancel context.CancelCauseFunc, resp *response, out responder) (int64, error) {
	idle := p.Limits.withDefaults().BodyIdleTimeout
	timer := p.Clock.AfterFunc(idle, func() {
		cancel(errIdle)
		out.interrupt()
	})
	defer timer.Stop()
	chunk := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(chunk)
	var sent int64
	for {
		timer.Reset(idle)
		n, err := resp.body.Read(chunk[:])
		timer.Stop()
		if n > 0 {
			if err := resp.pace(n); err != nil {
				return sent, err
			}
			timer.Reset(idle)
			if err := out.write(chunk[:n]); err != nil {
				return sent, callerError{err}
			}
			sent += int64(n)
		}
		if err == io.EOF {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
		if ctx.Err() != nil {
			return sent, ctx.Err()
		}
	}
}

// pacing returns a function that is called before each chunk of the flow is passed on. It may
// block.
func (p *Proxy) pacing(ctx context.Context, flow Flow) func(int) error {
	if p.Pacer == nil {
		return func(int) error { return nil }
	}
	return func(bytes int) error { return p.Pacer.Pace(ctx, flow, bytes) }
}

// ServeHTTP handles a request from a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := &httpResponder{writer: w, control: http.NewResponseController(w)}
	body := p.newRequestBody(r, out)
	x, bad := p.parse(r)
	if bad != nil {
		out.refuse(*bad)
		out.finishBody(body)
		return
	}
	out.id = x.request.ID
	ctx, cancel := paclock.WithTimeout(r.Context(), p.Clock, x.request.Deadline.Sub(p.Clock.Now()))
	defer cancel()
	x.writeInterim = out.writeInterim
	x.tryStart = func() bool { return p.beforeDeadline(ctx, x) }
	if body != nil {
		body.pace = p.pacing(ctx, flowTo(x, "", false))
		x.body, x.trailer = body, func() http.Header { return endToEnd(r.Trailer) }
	}
	result := p.handle(ctx, x, out)
	out.finishBody(body)
	p.reportEnd(x.request, result)
	if out.aborted {
		// net/http aborts the response and closes the connection, so that the caller can't mistake a
		// partial response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// reportEnd reports the end of a request to the Observer, and records an event if its outcome is
// unknown.
func (p *Proxy) reportEnd(r Request, last Result) {
	if p.Observer != nil {
		p.Observer.Finished(r, last)
	}
	switch {
	case last.Outcome != Unknown || last.Fault == FaultCaller:
	case last.ResponseBytes > 0:
		record(p.Events, paevent.AnswerCut{
			Subject: eventSubject(r), Reason: string(last.Reason), Fault: string(last.Fault),
			Bytes: last.ResponseBytes, Origin: string(r.Origin),
		})
	default:
		record(p.Events, paevent.RequestUnknown{
			Subject: eventSubject(r), Reason: string(last.Reason), Fault: string(last.Fault),
			Attempts: r.Attempt, Origin: string(r.Origin),
		})
	}
}

// beforeDeadline reports whether the request may still start. It checks the clock because the
// context's own timer may fire late after the process was paused.
func (p *Proxy) beforeDeadline(ctx context.Context, x *exchange) bool {
	return ctx.Err() == nil && p.Clock.Now().Before(x.request.Deadline)
}

// newRequestBody returns a body that can be read while the response is written; nil if there is
// none.
func (p *Proxy) newRequestBody(r *http.Request, out *httpResponder) *requestBody {
	if r.ContentLength == 0 {
		return nil
	}
	// Otherwise net/http would read up to 256 KB of the body before the first byte of a response,
	// which would delay the refusal of a caller that sends slowly.
	_ = out.control.EnableFullDuplex()
	out.expect = r.Header.Get("Expect") != ""
	limits := p.Limits.withDefaults()
	return &requestBody{
		source: r.Body, clock: p.Clock, idleTimeout: limits.BodyIdleTimeout, maxBytes: limits.MaxBody,
		interrupt: func() { _ = out.control.SetReadDeadline(pastDeadline) },
	}
}

// pastDeadline is a connection deadline that has already expired.
var pastDeadline = time.Unix(1, 0)

// flowTo returns the flow of bytes to or from an entry VM.
func flowTo(x *exchange, peer pabundle.EntryName, sending bool) Flow {
	return Flow{Request: x.request.ID, Service: x.request.Service, Peer: peer, Sending: sending}
}

// responseFlow returns the flow of a response: to the origin, from a peer, or local.
func responseFlow(x *exchange, resp *response) Flow {
	if x.request.Origin != "" {
		return flowTo(x, x.request.Origin, true)
	}
	return flowTo(x, resp.peer, false)
}
