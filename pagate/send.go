package pagate

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paheader"
	"papayahead/pasteer"
)

const (
	// bufferMost is the most bytes of a request or an answer that are held whole. An answer that is
	// held can be checked to its end before its first byte goes to the caller.
	bufferMost = 256 << 10
	// inlineMost is the most bytes of a request that are written before the answer is awaited; more
	// could block on a target that answers before it reads.
	inlineMost = 2 << 10
	// strayMost is how many answers to other requests are skipped on a connection.
	strayMost = 3
	// answerSlack is how long after the deadline an answer is still awaited: the target gives its own
	// answer at the deadline, and what is ready is delivered.
	answerSlack = 120 * time.Millisecond
)

// reply is an answer of a target.
type reply struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows the body where it is too long to hold; done ends the exchange.
	rest   io.Reader
	length int64
	done   func(whole bool)
}

// attempt is one send of a request to one target.
type attempt struct {
	gate   *Gate
	x      *exchange
	choice pasteer.Choice
	conn   *conn
	// wrote says that a byte of the request may have left.
	wrote bool
	sent  chan error
	begun time.Time
}

// result is how an attempt ended.
type result struct {
	reply   *reply
	outcome pasteer.Outcome
	// notRun says that the target certainly did not run the request.
	notRun bool
	err    error
	report pasteer.Report
}

// send sends the request to the chosen target, once.
func (g *Gate) send(ctx context.Context, x *exchange, c pasteer.Choice) result {
	a := &attempt{gate: g, x: x, choice: c, begun: g.config.Clock.Now()}
	maxIdle := idleMost
	if !x.route.Idempotent {
		maxIdle = proofOfLife
	}
	var err error
	a.conn, err = g.pool.take(ctx, c.Address, c.Target, c.Born, maxIdle)
	if err != nil {
		return a.failed(ctx, err)
	}
	if !a.conn.reused {
		g.meter.connections.Inc()
	}
	stop := context.AfterFunc(ctx, func() { a.conn.Close() })
	r := a.exchange(ctx)
	if r.reply == nil || r.reply.rest == nil {
		stop()
	}
	return r
}

// exchange writes the request and reads the answer.
func (a *attempt) exchange(ctx context.Context) result {
	limit := a.x.limit.Add(answerSlack)
	if err := a.conn.SetDeadline(limit); err != nil {
		return a.failed(ctx, trace.Wrap(err))
	}
	request := a.request()
	a.wrote = true
	a.sent = make(chan error, 1)
	if a.x.inline() {
		err := a.write(request)
		a.sent <- err
		if err != nil {
			return a.failed(ctx, trace.Wrap(err))
		}
	} else {
		go func() { a.sent <- a.write(request) }()
	}
	response, err := a.read(request) //nolint:bodyclose // take reads it, and the connection's end ends it
	if err != nil {
		return a.failed(ctx, trace.Wrap(err))
	}
	return a.take(ctx, response)
}

func (a *attempt) write(r *http.Request) error {
	w := bufio.NewWriterSize(a.conn, readBuffer)
	if err := r.Write(w); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(w.Flush())
}

// request returns the request as the target gets it.
func (a *attempt) request() *http.Request {
	names := a.gate.config.Headers
	h := a.x.header.Clone()
	left := max(1, a.x.limit.Sub(a.gate.config.Clock.Now()).Milliseconds())
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.ExpectedInstance, a.choice.Target)
	if h.Get("User-Agent") == "" {
		// An empty value keeps net/http from naming itself in the caller's place.
		h["User-Agent"] = []string{""}
	}
	r := &http.Request{
		Method: a.x.method, URL: &url.URL{Opaque: a.x.uri}, Host: a.x.host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: a.x.size,
	}
	switch {
	case a.x.stream != nil:
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(a.x.body), a.x.stream))
	case len(a.x.body) > 0:
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(a.x.body)), int64(len(a.x.body))
	default:
		r.Body, r.ContentLength = http.NoBody, 0
	}
	return r
}

// errStray says that a connection holds answers to other requests only.
var errStray = errors.New("the connection carries answers to other requests")

// read returns the answer to this request. Answers to others, which arrive late or twice, are told
// by their identity and skipped.
func (a *attempt) read(r *http.Request) (*http.Response, error) {
	names := a.gate.config.Headers
	for range strayMost {
		response, err := http.ReadResponse(a.conn.reader, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(names.RequestID)
		if id == a.x.id || id == "" && !a.conn.reused {
			return response, nil
		}
		a.gate.meter.strays.Inc()
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errStray
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, bufferMost)); err != nil {
			return nil, err
		}
	}
	return nil, errStray
}

// take reads the answer's body and says what the answer means.
func (a *attempt) take(ctx context.Context, response *http.Response) result {
	r := a.result(response)
	if r.outcome == pasteer.Shed || r.outcome == pasteer.Moved {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, bufferMost))
		a.finish(response, err == nil)
		return r
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, bufferMost+1))
	if err != nil {
		return a.failed(ctx, trace.Wrap(err))
	}
	p := &reply{status: response.StatusCode, header: paheader.EndToEnd(response.Header), body: body, length: response.ContentLength}
	r.reply = p
	if len(body) <= bufferMost {
		a.finish(response, true)
		return r
	}
	p.rest = response.Body
	p.done = func(whole bool) { a.finish(response, whole) }
	return r
}

// result reads the answer's head.
func (a *attempt) result(response *http.Response) result {
	names := a.gate.config.Headers
	r := result{outcome: pasteer.Answered, report: a.report()}
	r.report.LoadKnown, r.report.Running, r.report.Waiting = readLoad(response.Header.Get(names.Load))
	if n, err := strconv.ParseFloat(response.Header.Get(names.WarmUp), 64); err == nil {
		r.report.ColdFor = time.Duration(n * float64(time.Millisecond))
	}
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		r.outcome, r.notRun = pasteer.Moved, true
	case response.Header.Get(names.NotExecuted) != "":
		r.outcome, r.notRun = pasteer.Shed, true
	case response.StatusCode >= http.StatusInternalServerError:
		r.outcome = pasteer.Failed
	}
	r.report.Outcome = r.outcome
	return r
}

func (a *attempt) report() pasteer.Report {
	return pasteer.Report{
		Target: a.choice.Target, Route: a.x.route.Name, Object: a.x.object, Duration: a.gate.config.Clock.Since(a.begun),
		Warm: a.choice.Warm,
	}
}

// readLoad reads "running,waiting,slots"; a value that cannot be read tells nothing.
func readLoad(v string) (told bool, running, waiting int) {
	n, err := fmt.Sscanf(v, "%d,%d", &running, &waiting)
	return err == nil && n == 2, running, waiting
}

// finish gives the connection back if both sides are done with it, or closes it.
//
// A target may answer before it has read the whole request; what it reads on later must not be the
// next request, so that a connection whose request is not written yet is never used again.
func (a *attempt) finish(response *http.Response, whole bool) {
	written := false
	select {
	case err := <-a.sent:
		written = err == nil
	default:
	}
	unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if !whole || !written || response.Close || unframed || a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	if life, ok := keepAlive(response.Header.Get("Keep-Alive")); ok {
		a.conn.life = max(0, min(idleMost, life-idleMargin))
	}
	a.gate.pool.keep(a.conn)
}

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(v string) (time.Duration, bool) {
	for _, p := range strings.Split(v, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(p), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}

// failed closes the connection of an attempt without a whole answer.
func (a *attempt) failed(ctx context.Context, err error) result {
	r := result{outcome: pasteer.Lost, err: err, report: a.report(), notRun: !a.wrote}
	if a.conn != nil {
		a.conn.Close()
	} else {
		r.outcome = pasteer.Refused
	}
	if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		r.outcome = pasteer.Abandoned
	}
	r.report.Outcome = r.outcome
	return r
}
