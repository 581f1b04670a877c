package paproxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"papayahead/pastand"
)

// Guards against a truncated response that looks complete: a target fails in the middle of a
// response, and the entry VM ends its own response to the caller cleanly.
func TestTruncatedResponseNeverEndsCleanly(t *testing.T) {
	for name, f := range map[string]pastand.Faults{
		"declared length": {CloseMidBody: true},
		"chunked":         {Truncate: true},
		"before its head": {DropAfterRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPair(t)
			p.target.Inject(f)
			for _, place := range []Placement{p.local(), p.forward()} {
				p.proxy.Placer = placeFunc(func(_ context.Context, r Request) Placement {
					if r.Attempt > 1 {
						return Refuse{Reason: "Budget"}
					}
					return place
				})
				r := p.ask("GET", "/Services/library/?Size=300000", "cut", "")
				if f.DropAfterRun {
					g.Expect(r.status).To(Equal(http.StatusBadGateway))
					g.Expect(r.outcome()).To(Equal("Unknown"))
					continue
				}
				g.Expect(r.err).To(HaveOccurred(), "%T: %d bytes looked complete", place, len(r.body))
				last := p.results.last()
				g.Expect(last.Outcome).To(Equal(Unknown))
				g.Expect(last.Fault).To(Equal(FaultTarget))
				g.Expect(last.Reason).To(Equal(ReasonTruncated))
			}
		})
	}
}

// Guards against delivering a response to the wrong caller: a target responds after the deadline,
// or sends more than it declared, and the next request on the connection reads what was left over.
func TestSurplusResponseReachesNoOtherRequest(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	var before sync.Map
	late := &rawTarget{respond: func(w io.Writer, r *http.Request, c, n int) bool {
		id := r.Header.Get(RequestIDHeader)
		if last, _ := before.Swap(c, id); last == "twice" {
			writeResponse(w, "twice", "left over")
		}
		switch id {
		case "surplus":
			writeResponse(w, id, "own")
			writeResponse(w, id, "left over")
		case "late":
			time.Sleep(500 * time.Millisecond)
			writeResponse(w, id, "late")
		default:
			writeResponse(w, id, "own of "+id)
		}
		return true
	}}
	late.start(t)
	b.proxy.Placer = placeFunc(func(context.Context, Request) Placement { return Local{Address: late.address} })
	for i := range 18 {
		kind := []string{"surplus", "late", "twice"}[i%3]
		first := b.ask("GET", "/Services/s/", kind, "", DeadlineHeader, "100")
		if kind == "late" {
			g.Expect(first.status).To(Equal(http.StatusGatewayTimeout))
			g.Expect(first.outcome()).To(Equal("Unknown"))
		}
		id := fmt.Sprintf("next%d", i)
		second := b.ask("POST", "/Services/s/", id, "x")
		if second.status == http.StatusOK {
			g.Expect(string(second.body)).To(Equal("own of " + id))
		} else {
			g.Expect(second.outcome()).To(Equal("Unknown"))
		}
	}
}

// Guards against swapped responses: a target sends responses with mismatched request IDs, each on
// its own connection, so that their order gives no hint. Only the request ID shows the mismatch.
func TestMismatchedResponsesAreDropped(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	b.target.Inject(pastand.Faults{WrongIdentity: true})
	r := b.ask("POST", "/Services/s/?Size=10", "mine", "x")
	g.Expect(r.status).To(Equal(http.StatusBadGateway))
	g.Expect(r.outcome()).To(Equal("Unknown"))
	g.Expect(b.results.last().Reason).To(Equal(ReasonWrongIdentity))
}

// Guards against the status of a response that its target broke off with the body of the next one: together they have one head.
func TestResponseAfterOneThatIsCutInItsHeadIsNone(t *testing.T) {
	for _, cut := range []string{"HTTP/1.1 500 Internal", "HTTP/1.1 200 OK\r\nServer: a", "HTTP/1.1 404 X\r\nServer:"} {
		g := NewWithT(t)
		b := newBench(t)
		target := &rawTarget{respond: func(w io.Writer, r *http.Request, _, _ int) bool {
			if _, err := io.WriteString(w, cut); err != nil {
				return false
			}
			writeResponse(w, r.Header.Get(RequestIDHeader), "ok")
			return true
		}}
		target.start(t)
		b.proxy.Placer = placeFunc(func(context.Context, Request) Placement {
			return Local{Address: target.address, Done: b.results.add}
		})
		r := b.ask("POST", "/Services/s/", "mine", "x")
		g.Expect(r.status).To(Equal(http.StatusBadGateway), cut)
		g.Expect(r.outcome()).To(Equal("Unknown"), cut)
	}
}

// Guards against delivering a response to the wrong caller: a caller disconnects in the middle of a
// long response, and the next request on the same connection to the target reads the rest of it.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	for i := range 5 {
		ctx, cancel := context.WithCancel(context.Background())
		r, _ := http.NewRequestWithContext(ctx, "GET", b.url+"/Services/s/?Size=30000000&Chunked=true", nil)
		r.Header.Set(RequestIDHeader, "gone")
		response, err := b.client.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.CopyN(io.Discard, response.Body, 1000)
		g.Expect(err).NotTo(HaveOccurred())
		cancel()
		response.Body.Close()
		id := fmt.Sprintf("after%d", i)
		g.Expect(complete(b.ask("GET", "/Services/s/?Size=5000", id, ""), id, 5000)).To(BeTrue())
	}
	g.Eventually(func() int { return b.proxy.Targets.open(b.address) }).Should(BeNumerically("<=", 1))
}

// Guards against a double payment: a POST is sent on a reused connection, which the target closes
// after reading it, and net/http resends it on a new connection because of its Idempotency-Key.
func TestKeyedPostOnClosedConnectionIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	target := &rawTarget{respond: func(w io.Writer, r *http.Request, c, n int) bool {
		if n == 2 {
			return false
		}
		writeResponse(w, r.Header.Get(RequestIDHeader), "ok")
		return true
	}}
	target.start(t)
	b.proxy.Placer = placeFunc(func(context.Context, Request) Placement {
		return Local{Address: target.address, Done: b.results.add}
	})
	g.Expect(b.ask("GET", "/Services/deposits/", "warm", "").status).To(Equal(http.StatusOK))
	r := b.ask("POST", "/Services/deposits/", "pay", "", KeyHeader, "deposit-17")
	g.Expect(target.count("pay")).To(Equal(1))
	g.Expect(r.status).To(Equal(http.StatusBadGateway))
	g.Expect(r.outcome()).To(Equal("Unknown"), "the target received the complete request and may have run it")
	g.Expect(b.results.last().Fault).To(Equal(FaultConnection))
	g.Expect(b.dials.Load()).To(Equal(int64(1)))
}

// Guards against a false NotRun: a connection breaks after the request's bytes were sent, the
// caller is told NotRun and books elsewhere, but the first booking was made. NotRun requires that
// no write was started.
func TestNotRunOnlyWithoutWrite(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	broken := &rawTarget{respond: func(io.Writer, *http.Request, int, int) bool { return false }}
	broken.start(t)
	address := broken.address
	b.proxy.Placer = placeFunc(func(_ context.Context, r Request) Placement {
		if r.Attempt > 1 {
			return Refuse{Reason: "Budget", RetryAfter: 1500 * time.Millisecond}
		}
		return Local{Address: address, Done: b.results.add}
	})
	r := b.ask("POST", "/Services/s/", "written", "x")
	g.Expect(r.outcome()).To(Equal("Unknown"))
	r = b.ask("GET", "/Services/s/", "repeated", "")
	g.Expect(r.outcome()).To(Equal("Unknown"), "the first attempt may have run, whatever the second says")

	address = closedAddress(t)
	r = b.ask("POST", "/Services/s/", "unwritten", "x")
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.outcome()).To(Equal("NotRun"))
	g.Expect(r.header.Get("Retry-After")).To(Equal("2"))
	g.Expect(r.header.Get(ComeBackHeader)).To(Equal("1500"))
	g.Expect(string(r.body)).To(MatchJSON(`{"Outcome":"NotRun","Reason":"Budget","ComeBack":1500,"Request":"unwritten"}`))

	b.target.Slots = 0
	address = b.address
	r = b.ask("POST", "/Services/s/", "shed", "x")
	g.Expect(r.outcome()).To(Equal("NotRun"))
	g.Expect(b.results.last().Fault).To(Equal(FaultShed))
	g.Expect(executions(b.target, "shed")).To(Equal(0))
}

// Guards against stalled requests: a middlebox drops the state of open connections, requests on
// them are lost without an error, and the target is blamed although it responds to others at once.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	b.proxy.Targets.MaxReuseAge = 20 * time.Millisecond
	b.proxy.Targets.SilenceTimeout = 100 * time.Millisecond
	dropping := &rawTarget{respond: func(w io.Writer, r *http.Request, c, n int) bool {
		if n == 1 {
			writeResponse(w, r.Header.Get(RequestIDHeader), "ok")
		}
		return true
	}}
	dropping.start(t)
	b.proxy.Placer = placeFunc(func(context.Context, Request) Placement {
		return Local{Address: dropping.address, Done: b.results.add}
	})
	for i, method := range []string{"GET", "GET", "POST", "POST"} {
		r := b.ask(method, "/Services/library/", fmt.Sprintf("r%d", i), "", DeadlineHeader, "2000")
		g.Expect(r.status).To(Equal(http.StatusOK), "request %d", i)
		g.Expect(b.results.last().Fault).To(Equal(FaultNone))
		time.Sleep(40 * time.Millisecond)
	}
	g.Expect(dropping.count("r2")).To(Equal(1))
	g.Expect(dropping.count("r3")).To(Equal(1))
}

// A target may close its idle connections at any time; no request may fail because of it.
func TestConnectionClosedWhileIdleCostsNothing(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	closing := &rawTarget{respond: func(w io.Writer, r *http.Request, c, n int) bool {
		writeResponse(w, r.Header.Get(RequestIDHeader), "ok")
		return false
	}}
	closing.start(t)
	b.proxy.Placer = placeFunc(func(context.Context, Request) Placement { return Local{Address: closing.address, MaxConnections: 2} })
	for i := range 10 {
		r := b.ask("POST", "/Services/s/", fmt.Sprintf("r%d", i), "x")
		g.Expect(r.status).To(Equal(http.StatusOK), "request %d", i)
		time.Sleep(5 * time.Millisecond)
	}
}

// Like TestConnectionClosedWhileIdleCostsNothing, but only the connection's http.Transport has
// noticed the close when the request is sent. No write was started, so another connection may take
// the request.
func TestConnectionClosedDuringSendIsReplaced(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	var attempts atomic.Int64
	b.proxy.Placer = placeFunc(func(_ context.Context, r Request) Placement {
		attempts.Store(int64(r.Attempt))
		return b.local()
	})
	g.Expect(b.ask("GET", "/Services/s/", "warm", "").status).To(Equal(http.StatusOK))
	b.proxy.Targets.mutex.Lock()
	c := b.proxy.Targets.pools[b.address].idle[0]
	c.transport.CloseIdleConnections()
	c.tracked = &trackedConn{Conn: c.tracked.Conn}
	b.proxy.Targets.mutex.Unlock()
	g.Expect(b.ask("POST", "/Services/s/", "paid", "").status).To(Equal(http.StatusOK))
	g.Expect(executions(b.target, "paid")).To(Equal(1))
	g.Expect(attempts.Load()).To(Equal(int64(1)), "the Placer is told of one attempt per request")
}

// closeHook calls before and then closes the connection.
type closeHook struct {
	net.Conn
	before func()
}

func (c *closeHook) Close() error {
	c.before()
	return c.Conn.Close()
}

// Guards against a false NotRun: net/http's write loop runs on after RoundTrip has returned and
// sends a request that was reported as NotRun. The count that seal returns must be final, even for
// a write between the count and the close.
func TestSealedConnectionWritesNothing(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	hook := &closeHook{Conn: near}
	w := &trackedConn{Conn: hook}
	_, err := w.Write([]byte("first"))
	g.Expect(err).NotTo(HaveOccurred())
	var late error
	hook.before = func() { _, late = w.Write([]byte("second")) }
	g.Expect(w.seal()).To(Equal(1))
	g.Expect(late).To(HaveOccurred())
}

// A target accepts 330 connections from all entry VMs together and closes any beyond these. Each
// entry VM must stay within its share, and report NotRun if none of its connections is free.
func TestConnectionBudgetIsKept(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	place := b.local()
	place.MaxConnections = 1
	b.proxy.Placer = placeFunc(func(_ context.Context, r Request) Placement {
		if r.Attempt > 1 {
			return Refuse{Reason: r.Previous.Reason}
		}
		return place
	})
	done := make(chan callerResponse)
	go func() { done <- b.ask("GET", "/Services/s/?Class=brief", "first", "") }()
	g.Eventually(b.target.InFlight).Should(Equal(1))
	r := b.ask("GET", "/Services/s/", "second", "")
	g.Expect(r.outcome()).To(Equal("NotRun"))
	g.Expect(string(r.body)).To(ContainSubstring(string(ReasonConnectionBudget)))
	g.Expect((<-done).status).To(Equal(http.StatusOK))
	g.Expect(b.ask("GET", "/Services/s/", "third", "").status).To(Equal(http.StatusOK))
}

// The target must get the deadline, and must stop running a request whose caller has disconnected.
func TestDeadlineAndCancellationReachTheTarget(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	for _, place := range []Placement{p.local(), p.forward()} {
		p.proxy.Placer = placeFunc(func(context.Context, Request) Placement { return place })
		r := p.ask("POST", "/Services/s/?Class=slow", "deadline", "x", DeadlineHeader, "200")
		g.Expect(r.outcome()).To(Equal("Unknown"))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		q, _ := http.NewRequestWithContext(ctx, "GET", p.url+"/Services/s/?Class=slow", nil)
		gone := p.do(q)
		cancel()
		g.Expect(gone.err).To(HaveOccurred())
		g.Eventually(p.target.InFlight).WithTimeout(3 * time.Second).Should(Equal(0))
	}
}
