package paproxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"papayahead/palane"
)

// Refusal is the JSON body of a refusal.
type Refusal struct {
	Outcome string
	Reason  Reason
	// ComeBack is the number of milliseconds after which to retry.
	ComeBack int64     `json:",omitempty"`
	Request  RequestID `json:",omitempty"`
	// Status is the HTTP status of the response to an earlier copy with the same key.
	Status int `json:",omitempty"`
}

// httpResponder writes to a caller.
type httpResponder struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	id      RequestID
	// flushEach flushes every chunk, because the length is unknown.
	flushEach   bool
	headWritten bool
	aborted     bool
	// expect reports that reading the body would send 100 Continue to the caller.
	expect bool
}

func (w *httpResponder) writeInterim(status int, h http.Header) {
	addAll(w.writer.Header(), h)
	w.writer.WriteHeader(status)
	for name := range h {
		w.writer.Header().Del(name)
	}
}

func (w *httpResponder) writeHead(head responseHead) error {
	w.headWritten = true
	h := w.writer.Header()
	addAll(h, head.header)
	h.Set(OutcomeHeader, Answered.String())
	h.Set(RequestIDHeader, string(w.id))
	h.Del("Content-Length")
	if head.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.length, 10))
	}
	for _, name := range head.trailerNames {
		h.Add("Trailer", name)
	}
	w.writer.WriteHeader(head.status)
	w.flushEach = head.length < 0
	if w.flushEach {
		return w.control.Flush()
	}
	return nil
}

func (w *httpResponder) write(p []byte) error {
	if _, err := w.writer.Write(p); err != nil {
		return err
	}
	if w.flushEach {
		return w.control.Flush()
	}
	return nil
}

func (w *httpResponder) finish(trailer http.Header) error {
	for name, values := range trailer {
		for _, v := range values {
			w.writer.Header().Add(http.TrailerPrefix+name, v)
		}
	}
	if w.flushEach {
		// net/http sends the last chunk and the trailer after the handler has returned.
		return nil
	}
	// A process that exits when its last request has ended must have sent the response by then.
	return w.control.Flush()
}

func (w *httpResponder) abort(Result) { w.aborted = true }

func (w *httpResponder) interrupt() { _ = w.control.SetWriteDeadline(pastDeadline) }

func (w *httpResponder) refuse(r refusal) {
	h := w.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, r.outcome.String())
	h.Set("Cache-Control", "no-store")
	if w.id != "" {
		h.Set(RequestIDHeader, string(w.id))
	}
	body := Refusal{Outcome: r.outcome.String(), Reason: r.reason, Request: w.id}
	if r.result.concluded {
		body.Status = r.result.Status
		body.ComeBack = r.retryAfter.Milliseconds()
	}
	status := refusalStatus(r)
	if status == http.StatusServiceUnavailable {
		wait := max(r.retryAfter, MinRetryAfter)
		h.Set("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
		body.ComeBack = wait.Milliseconds()
		h.Set(ComeBackHeader, strconv.FormatInt(body.ComeBack, 10))
	}
	if w.expect || r.reason == ReasonFraming || r.reason == ReasonBadRequest {
		h.Set("Connection", "close")
	}
	w.writer.WriteHeader(status)
	_ = json.NewEncoder(w.writer).Encode(body)
}

// ReasonNoMemory and ReasonHeadTooLong are why a request was refused before it was read.
const (
	ReasonNoMemory    Reason = "NoMemory"
	ReasonHeadTooLong Reason = "HeadTooLong"
)

// noMemoryRetryAfter is the delay given to a caller for whose request there is no memory: what others hold comes back within a run.
const noMemoryRetryAfter = 300 * time.Millisecond

// RefuseUnread returns the response to a caller whose request was refused before it was read. Nothing of it was sent to a target.
func RefuseUnread(why palane.Refusal) []byte {
	lines := "Cache-Control: no-store\r\n" + OutcomeHeader + ": " + NotRun.String() + "\r\n"
	body := Refusal{Outcome: NotRun.String(), Reason: ReasonBadRequest}
	switch why {
	case palane.HeadTooLong:
		body.Reason = ReasonHeadTooLong
	case palane.NoRoom:
		body.Reason, body.ComeBack = ReasonNoMemory, noMemoryRetryAfter.Milliseconds()
		lines += "Retry-After: 1\r\n" + ComeBackHeader + ": " + strconv.FormatInt(body.ComeBack, 10) + "\r\n"
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic("paproxy: encode a refusal as JSON: " + err.Error())
	}
	return why.Response(lines, string(b)+"\n")
}

// MinRetryAfter is the shortest delay given to a refused caller. Without it the caller could retry
// at once and add to the load that caused the refusal.
const MinRetryAfter = 50 * time.Millisecond

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(r refusal) int {
	switch r.reason {
	case ReasonBadRequest, ReasonFraming:
		return http.StatusBadRequest
	case ReasonNoService:
		return http.StatusNotFound
	case ReasonMethod:
		return http.StatusMethodNotAllowed
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case r.result.concluded:
		return http.StatusConflict
	case r.outcome == NotRun:
		return http.StatusServiceUnavailable
	case r.reason == ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// Limits on reading the rest of a request's body after a response or refusal. Closing the
// connection while the caller still sends may lose the response (TCP reset), but a caller that
// sends endlessly, or nothing, must not hold the connection.
const (
	maxDrainBytes = 1 << 20
	drainTimeout  = 500 * time.Millisecond
)

// finishBody ends the reading of the caller's body. If the caller waits for 100 Continue the body
// is not read, since reading would send it.
func (w *httpResponder) finishBody(b *requestBody) {
	if b == nil {
		return
	}
	defer b.finish()
	if w.aborted || b.complete() {
		return
	}
	_ = w.control.Flush()
	if started, _, _ := b.state(); started || !w.expect {
		b.drain(maxDrainBytes, drainTimeout)
	}
	if !b.complete() {
		// net/http would read the rest without a time limit.
		b.interrupt()
	}
}
