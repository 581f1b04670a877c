package pagate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabuffer"
	"papayahead/paheader"
	"papayahead/paproof"
	"papayahead/pasteer"
)

// errStray says that a connection carries only responses to other requests.
var errStray = errors.New("connection carries only responses to other requests")

// readResponse returns the response to this request. Responses to other requests, which arrive late or twice, are
// detected by their request ID and skipped. What follows one that is too long to skip is no head.
func (a *attempt) readResponse(r *http.Request) (*http.Response, error) {
	names := a.gate.config.Headers
	for range maxStrayAnswers {
		response, err := a.conn.ReadHead(r, &a.x.heads)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(names.RequestID)
		if id == a.x.id || id == "" && !a.conn.Reused {
			return response, nil
		}
		a.gate.meter.strayAnswers(a.strayKind(id)).Inc()
		if paheader.IsUnframed(response) {
			return nil, errStray
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered)); err != nil || n == maxBuffered {
			return nil, errors.Join(errStray, err)
		}
	}
	return nil, errStray
}

// strayKind says whose response arrived in place of the one to this request.
type strayKind string

const (
	// strayCopy is a response to a request that the connection has carried before, strayOther one to any other request, and strayUnnamed
	// one without an ID.
	strayCopy    strayKind = "Copy"
	strayOther   strayKind = "Other"
	strayUnnamed strayKind = "Unnamed"
)

var strayKinds = []strayKind{strayCopy, strayOther, strayUnnamed}

// strayKind returns the kind of a response with an ID that is not the request's.
func (a *attempt) strayKind(id string) strayKind {
	switch {
	case id == "":
		return strayUnnamed
	case a.conn.Carried(id):
		return strayCopy
	}
	return strayOther
}

// readReply reads the body of a response and returns the outcome.
func (a *attempt) readReply(ctx context.Context, response *http.Response) attemptResult {
	if a.relayCall != "" {
		return a.readRelayed(ctx, response)
	}
	r := a.classify(response)
	if r.outcome == pasteer.Shed || r.outcome == pasteer.Moved {
		a.releaseConn(response, a.discardBody(response))
		return r
	}
	return a.readBody(ctx, response, r)
}

// refusalBodyTimeout is how long the body of a response is awaited that nobody gets. A connection without it is closed.
const refusalBodyTimeout = 20 * time.Millisecond

// discardBody reads the body of a response that is not passed on, and reports whether it was whole. The request waits meanwhile.
func (a *attempt) discardBody(response *http.Response) bool {
	if err := a.conn.SetReadDeadline(a.gate.config.Clock.Now().Add(refusalBodyTimeout)); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered))
	return err == nil
}

// readBody reads the body of a response that is passed on, and adds both to the outcome.
func (a *attempt) readBody(ctx context.Context, response *http.Response, r attemptResult) attemptResult {
	body, err := a.gate.hold(a.x, response.Body)
	usedUp := errors.Is(err, pabuffer.ErrUsedUp)
	if err != nil && !usedUp {
		return a.fail(ctx, trace.Wrap(err))
	}
	p := &reply{status: response.StatusCode, header: paheader.EndToEnd(response.Header), body: body, length: response.ContentLength}
	r.reply = p
	switch long := len(body) > maxBuffered || usedUp; {
	case long:
		p.rest = &restReader{Reader: response.Body}
	case !a.sending.running() || response.StatusCode >= http.StatusMultipleChoices:
		a.releaseConn(response, true)
		return r
	}
	p.done = func(whole bool) { a.releaseConn(response, whole) }
	return r
}

// classify returns the outcome by the header of a response.
func (a *attempt) classify(response *http.Response) attemptResult {
	names := a.gate.config.Headers
	r := attemptResult{outcome: pasteer.Answered, report: a.report()}
	load := paheader.ParseLoad(response.Header.Get(names.Load))
	r.report.LoadKnown, r.report.Running, r.report.Waiting, r.report.Slowness = load.Known, load.Running, load.Waiting, load.Slowness
	if n, err := strconv.ParseFloat(response.Header.Get(names.WarmUp), 64); err == nil {
		r.report.ColdFor = time.Duration(n * float64(time.Millisecond))
	}
	limits := response.Header.Values(names.Limit)
	r.report.Limited, r.report.Limit, r.report.LimitUnreadable = paheader.ParseLimit(limits, pasteer.ValidLimit)
	if r.report.LimitUnreadable {
		a.gate.noteUnreadableLimit(a.choice.Target, strings.Join(limits, ","))
	}
	said := paproof.Response{
		Status: response.StatusCode, NotExecuted: response.Header.Get(names.NotExecuted) != "",
		Target: a.choice.Target, Responder: response.Header.Get(names.Instance),
	}
	if !said.Misdirected() {
		a.gate.observeDraining(a.choice.Target, a.choice.Born, response.Header)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		r.report.PushedBack = a.gate.observePushback(a.choice, response.Header.Values(names.RetryAfter))
	}
	switch {
	case said.Misdirected():
		r.outcome = pasteer.Moved
	case said.NotExecuted:
		r.outcome = pasteer.Shed
	case response.StatusCode >= http.StatusInternalServerError:
		r.outcome = pasteer.Failed
	}
	if r.proof = said.Rejection(); paproof.IsPromise(said.Status) && !r.proof.Proved() {
		a.gate.noteUnproven(a.choice, a.x, said.Status)
	}
	r.report.Outcome = r.outcome
	return r
}

func (a *attempt) report() pasteer.Report {
	return pasteer.Report{
		Target: a.choice.Target, Route: a.x.route.Name, Object: a.x.object, Duration: a.gate.config.Clock.Since(a.startedAt),
		Warm: a.choice.Warm,
	}
}

// releaseConn returns the connection to the pool if request and response are complete, or closes it.
//
// A target may respond before it has read the whole request. What it reads on later must not be the next request, so
// that a connection whose request is not written completely is never reused.
func (a *attempt) releaseConn(response *http.Response, whole bool) {
	written := !a.sending.running() && a.sending.err == nil
	if why := a.endReason(response, whole, written); why != "" {
		if a.relayCall == "" {
			a.gate.meter.endedFor(why).Inc()
		}
		a.conn.Close()
		return
	}
	if timeout, ok := paheader.ParseKeepAlive(response.Header.Get("Keep-Alive")); ok {
		a.conn.LimitIdle(timeout)
	}
	a.pool.Put(a.conn)
}

// endReason is why a connection is not used again after a response.
type endReason string

const (
	// endUnread means that the response was not read to its end, endUnwritten that the request was not written to its end.
	endUnread    endReason = "Unread"
	endUnwritten endReason = "Unwritten"
	// endByTarget means that the target closes it, endUnframed that only its end tells that of the response, and endStray that
	// more than the response arrived.
	endByTarget endReason = "ByTarget"
	endUnframed endReason = "Unframed"
	endStray    endReason = "Stray"
	// endCarried means that it has carried more requests than are remembered.
	endCarried endReason = "CarriedMany"
)

var endReasons = []endReason{endUnread, endUnwritten, endByTarget, endUnframed, endStray, endCarried}

// endReason returns why the connection is not used again after the response; empty if it is.
func (a *attempt) endReason(response *http.Response, whole, written bool) endReason {
	switch {
	case !whole:
		return endUnread
	case !written:
		return endUnwritten
	case response.Close:
		return endByTarget
	case paheader.IsUnframed(response):
		return endUnframed
	case a.conn.HasUnread():
		return endStray
	case !a.conn.RemembersAll(a.gate.config.Clock.Now()):
		return endCarried
	}
	return ""
}
