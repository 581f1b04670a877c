package pastand

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// The headers between entry VMs and targets, as docs/PATH.md defines them.
const (
	identityHeader = "Papaya-Request-Id"
	deadlineHeader = "Papaya-Deadline"
	outcomeHeader  = "Papaya-Outcome"
	drainingHeader = "Papaya-Draining"
	stampHeader    = "Papaya-Stamp"
	comeBackHeader = "Papaya-Come-Back"
	keyHeader      = "Idempotency-Key"
	notRun         = "NotRun"
	answered       = "Answered"

	firstSentHeader = "Papaya-First-Sent"
)

// declaredLimit is the largest answer that gets a declared length and a digest in its header.
const declaredLimit = 1 << 20

// job is one request at the target.
type job struct {
	identity, class string
	size            int64
	chunked         bool
	faults          Faults
	received        string
}

// serveRequest takes, sheds, runs and answers one request of the service.
func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	if t.Recorder != nil {
		t.Recorder.Stamps.ReceiveText(r.Header.Get(stampHeader))
		w.Header().Set(stampHeader, t.Recorder.Stamps.NextText())
	}
	j := job{identity: r.Header.Get(identityHeader), class: r.FormValue(ClassParameter)}
	j.size, _ = strconv.ParseInt(r.URL.Query().Get(SizeParameter), 10, 64)
	j.chunked = r.URL.Query().Get(ChunkedParameter) == "true" || j.size > declaredLimit
	ctx, cancel := t.deadline(r)
	defer cancel()
	place, took := t.take(ctx, w, r, &j)
	if !took {
		return
	}
	outcome := t.run(ctx, r, &j)
	t.give()
	t.log.end(place, outcome, t.Clock.Now())
	if outcome == Cancelled {
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, j)
}

// deadline bounds the request's context by its deadline header.
func (t *Target) deadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return withTimeout(r.Context(), t.Clock, time.Duration(left)*time.Millisecond)
}

// take waits for a slot and records the start, or sheds the request.
func (t *Target) take(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) (int, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	j.faults = t.faults
	if t.faults.Drain {
		w.Header().Set(drainingHeader, "true")
	}
	full := t.inFlight >= t.Slots && t.waiting >= t.Queue
	if full || t.faults.Drain {
		shed(w, j.identity)
		return 0, false
	}
	if t.faults.FastFail {
		w.Header().Set(identityHeader, j.identity)
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return 0, false
	}
	if !t.waitForSlot(ctx) {
		shed(w, j.identity)
		return 0, false
	}
	t.inFlight++
	return t.log.start(Execution{
		Target: t.Name, Request: j.identity, Key: r.Header.Get(keyHeader), Method: r.Method,
		Class: j.class, Started: t.Clock.Now(), InFlight: t.inFlight, Draining: t.faults.Drain,
	}), true
}

// waitForSlot gives the lock up until a slot is free; false says that the context ended first.
func (t *Target) waitForSlot(ctx context.Context) bool {
	t.waiting++
	defer func() { t.waiting-- }()
	for t.inFlight >= t.Slots {
		if t.freed == nil {
			t.freed = make(chan struct{})
		}
		freed := t.freed
		t.mutex.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		t.mutex.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// give frees the slot.
func (t *Target) give() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inFlight--
	t.done++
	if t.freed != nil {
		close(t.freed)
		t.freed = nil
	}
}

// shed answers that the request did not run.
func shed(w http.ResponseWriter, identity string) {
	w.Header().Set(outcomeHeader, notRun)
	w.Header().Set(identityHeader, identity)
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// run consumes the request's body and spends the run time.
func (t *Target) run(ctx context.Context, r *http.Request, j *job) ExecutionOutcome {
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return Cancelled
	}
	j.received = hex.EncodeToString(h.Sum(nil))
	if j.faults.Silent {
		<-ctx.Done()
		return Cancelled
	}
	if j.faults.AnswerLate {
		<-ctx.Done()
		return Completed
	}
	select {
	case <-t.Clock.After(t.runTime(j)):
		return Completed
	case <-ctx.Done():
		return Cancelled
	}
}

// runTime draws the request's run time.
func (t *Target) runTime(j *job) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r, ok := t.RunTimes[j.class]
	if !ok {
		r = t.RunTimes[""]
	}
	normal := 0.0
	if t.Random != nil {
		normal = t.Random.NormFloat64()
	}
	d := float64(r.sample(normal)) * t.Cold.factor(t.done)
	if j.faults.Slow > 0 {
		d *= j.faults.Slow
	}
	return time.Duration(d)
}

// answer writes the body that belongs to the request's identity, as the faults allow.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, j job) {
	if j.faults.DropAfterRun {
		panic(http.ErrAbortHandler)
	}
	if j.faults.TooManyBytes {
		answerTooMuch(w, j)
		return
	}
	h := w.Header()
	h.Set(TargetHeader, t.Name)
	h.Set(ReceivedHeader, j.received)
	h.Set(identityHeader, j.identity)
	if j.faults.WrongIdentity {
		h.Set(identityHeader, j.identity+"-other")
	}
	send := j.size
	if j.faults.CloseMidBody || j.faults.Truncate {
		send /= 2
	}
	if j.chunked || j.faults.Truncate {
		h.Set("Trailer", DigestHeader)
	} else {
		h.Set("Content-Length", strconv.FormatInt(j.size, 10))
		h.Set(DigestHeader, BodyDigest(j.identity, j.size))
	}
	w.WriteHeader(http.StatusOK)
	if r.Method == http.MethodHead {
		return
	}
	sum := sha256.New()
	if _, err := io.Copy(w, io.TeeReader(Body(j.identity, send), sum)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if send != j.size || j.faults.Truncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if j.chunked {
		h.Set(DigestHeader, hex.EncodeToString(sum.Sum(nil)))
	}
}

// tooMany is the number of bytes sent beyond the declared length.
const tooMany = 512

// answerTooMuch writes an answer with more bytes than it declares, past net/http's own checks.
func answerTooMuch(w http.ResponseWriter, j job) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	_, _ = fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n", j.size, identityHeader, j.identity)
	_, _ = io.Copy(b, Body(j.identity, j.size+tooMany))
	_ = b.Flush()
}
