package pastand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"papayahead/paevent"
)

// End is how a request ended for its caller.
type End string

// The ends of a request.
const (
	// EndAnswered is the whole answer, right and in time; EndLate is whole and right after the deadline.
	EndAnswered End = "Answered"
	EndLate     End = "Late"
	// EndRefused was told NotRun by every attempt that got through.
	EndRefused End = "Refused"
	// EndUnknown was told Unknown.
	EndUnknown End = "Unknown"
	// EndLost has no answer at all: the connection broke or stayed silent.
	EndLost End = "Lost"
	// EndCutOff has the beginning of an answer.
	EndCutOff End = "CutOff"
	// EndWrong has an answer that passed for whole, and is not the right one.
	EndWrong End = "Wrong"
	// EndRepeated was told that another copy under its key was answered.
	EndRepeated End = "Repeated"
	// EndFailed has the answer of a failing target (5xx).
	EndFailed End = "Failed"
)

// attempt is what a caller learned from one attempt.
type attempt struct {
	end End
	// unsent says that no connection was there to send on.
	unsent   bool
	comeBack time.Duration
}

// result is the end of a request.
type result struct {
	end      End
	took     time.Duration
	attempts int
	// notRun says that by all that the caller was told the request did not run.
	notRun bool
}

// learn takes an attempt into the request's end: a refusal or a missing connection says nothing on an
// attempt before that may have run.
func (r *result) learn(a attempt) {
	r.notRun = r.notRun && (a.end == EndRefused || a.unsent)
	harmless := a.unsent || a.end == EndRefused
	switch {
	case r.end == "", !harmless, a.end == EndRefused && r.notRun:
		r.end = a.end
	}
}

// serve sees one request to its end, as a caller does: along the list of entry VMs, again after a
// refusal when its time to come back allows it, and again after a failure only if that can do no harm.
func (c *Callers) serve(ctx context.Context, q request) result {
	deadline := q.intended.Add(q.load.Deadline.Duration)
	ctx, cancel := withTimeout(ctx, c.Clock, deadline.Add(lateTime).Sub(c.Clock.Now()))
	defer cancel()
	entries := c.entries(ctx, q.caller, q.load.Service)
	if len(entries) == 0 {
		return result{end: EndLost, took: c.Clock.Since(q.intended), notRun: true}
	}
	if q.repeated {
		done := make(chan attempt, 1)
		go func() { done <- c.try(ctx, q, entries[len(entries)-1], deadline) }()
		defer func() { <-done }()
	}
	r := result{notRun: !q.repeated}
	next := 0
	for r.attempts < orDefault(c.Attempts, DefaultAttempts) {
		a := c.try(ctx, q, entries[next%len(entries)], deadline)
		r.attempts++
		r.learn(a)
		if !c.again(ctx, q, a, deadline) {
			break
		}
		if a.end != EndRefused {
			next++
		}
	}
	r.took = c.Clock.Since(q.intended)
	return r
}

// again says whether the caller tries once more, after it waited for a refusal's time to come back.
func (c *Callers) again(ctx context.Context, q request, a attempt, deadline time.Time) bool {
	switch {
	case a.end == EndAnswered, a.end == EndLate, a.end == EndWrong, a.end == EndRepeated:
		return false
	case a.unsent:
		return c.Clock.Now().Before(deadline)
	case a.end == EndRefused:
		wait := a.comeBack + time.Duration(float64(a.comeBack)*maxSpread*c.draw())
		if c.Clock.Now().Add(wait).After(deadline) {
			return false
		}
		select {
		case <-c.Clock.After(wait):
			return true
		case <-ctx.Done():
			return false
		}
	default:
		return q.load.Method != http.MethodPost && c.Clock.Now().Before(deadline)
	}
}

// try sends the request to one entry VM.
func (c *Callers) try(ctx context.Context, q request, entry string, deadline time.Time) attempt {
	left := deadline.Sub(c.Clock.Now())
	var wrote, reused atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		wrote.Store(true)
		reused.Store(i.Reused)
	}})
	r, err := newHTTPRequest(traced, q, entry, left)
	if err != nil {
		return attempt{end: EndLost, unsent: true}
	}
	response, err := c.Transport.RoundTrip(r)
	if err != nil {
		if c.Recorder != nil {
			c.Recorder.Record(paevent.AttemptLost{Request: q.identity, Entry: entry, Reused: reused.Load(), Reason: err.Error()})
		}
		return attempt{end: EndLost, unsent: !wrote.Load()}
	}
	defer response.Body.Close()
	a := readAnswer(q, response)
	if a.end == EndAnswered && c.Clock.Now().After(deadline) {
		a.end = EndLate
	}
	return a
}

func newHTTPRequest(ctx context.Context, q request, entry string, left time.Duration) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: entry, Path: "/Services/" + q.load.Service + "/"}
	u.RawQuery = url.Values{SizeParameter: {strconv.FormatInt(q.load.Size, 10)}, ClassParameter: {q.load.Class}}.Encode()
	method := q.load.Method
	if method == "" {
		method = http.MethodGet
	}
	var body io.Reader
	if method == http.MethodPost {
		// A body that can't be read twice keeps net/http's client from sending a keyed POST again.
		body = io.MultiReader(bytes.NewReader(make([]byte, max(q.load.Upload, 1))))
	}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return nil, err
	}
	r.Header.Set(identityHeader, q.identity)
	r.Header.Set(deadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if method == http.MethodPost {
		r.ContentLength = max(q.load.Upload, 1)
		r.Header.Set(keyHeader, q.identity)
		r.Header.Set(firstSentHeader, strconv.FormatInt(q.intended.UnixMilli(), 10))
	}
	return r, nil
}

// readAnswer reads an answer to its end and checks that it is the request's own and whole.
func readAnswer(q request, r *http.Response) attempt {
	sum := sha256.New()
	_, err := io.Copy(sum, r.Body)
	outcome := r.Header.Get(outcomeHeader)
	switch {
	case outcome == notRun:
		ms, _ := strconv.ParseInt(r.Header.Get(comeBackHeader), 10, 32)
		return attempt{end: EndRefused, comeBack: time.Duration(ms) * time.Millisecond}
	case outcome == answered && r.StatusCode == http.StatusConflict:
		return attempt{end: EndRepeated}
	case outcome == "Unknown":
		return attempt{end: EndUnknown}
	case err != nil && !errors.Is(err, context.Canceled):
		return attempt{end: EndCutOff}
	case r.StatusCode >= http.StatusInternalServerError:
		return attempt{end: EndFailed}
	case r.StatusCode != http.StatusOK || !right(q, r, sum):
		return attempt{end: EndWrong}
	}
	return attempt{end: EndAnswered}
}

// right says that the answer is the one that the request must get.
func right(q request, r *http.Response, sum hash.Hash) bool {
	got := hex.EncodeToString(sum.Sum(nil))
	return r.Header.Get(identityHeader) == q.identity && got == BodyDigest(q.identity, q.load.Size)
}
