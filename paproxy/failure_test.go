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

// A camera shows footage that ends in grey: the library's target dies in the middle of an answer, the
// entry VM ends its own answer in good order, and the caller takes the half for the whole.
func TestCutAnswerNeverEndsCleanly(t *testing.T) {
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
				p.front.Placer = placeFunc(func(_ context.Context, r Request) Placement {
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
				g.Expect(r.err).To(HaveOccurred(), "%T: %d bytes looked whole", place, len(r.body))
				last := p.results.last()
				g.Expect(last.Outcome).To(Equal(Unknown))
				g.Expect(last.Fault).To(Equal(FaultTarget))
				g.Expect(last.Reason).To(Equal(ReasonTruncated))
			}
		})
	}
}

// A team sees another team's booking: a target answers the first request after its deadline, or sends
// more than it declared, and the connection's next request gets what was left over.
func TestLeftoversReachNoOtherRequest(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	var before sync.Map
	late := &rawTarget{answer: func(w io.Writer, r *http.Request, c, n int) bool {
		id := r.Header.Get(RequestIDHeader)
		if last, _ := before.Swap(c, id); last == "twice" {
			plain(w, "twice", "left over")
		}
		switch id {
		case "surplus":
			plain(w, id, "own")
			plain(w, id, "left over")
		case "late":
			time.Sleep(500 * time.Millisecond)
			plain(w, id, "late")
		default:
			plain(w, id, "own of "+id)
		}
		return true
	}}
	late.start(t)
	b.front.Placer = placeFunc(func(context.Context, Request) Placement { return Local{Address: late.address} })
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

// Two teams ask at once and get each other's slots, because a target answers under crossed identities
// on a connection of its own for each: order alone can't tell, only the identity can.
func TestCrossedAnswersAreDropped(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	b.target.Inject(pastand.Faults{WrongIdentity: true})
	r := b.ask("POST", "/Services/s/?Size=10", "mine", "x")
	g.Expect(r.status).To(Equal(http.StatusBadGateway))
	g.Expect(r.outcome()).To(Equal("Unknown"))
	g.Expect(b.results.last().Reason).To(Equal(ReasonWrongIdentity))
}

// A caller hangs up in the middle of a long answer; the next caller on the same connection to the
// target would read the rest of it.
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
		g.Expect(whole(b.ask("GET", "/Services/s/?Size=5000", id, ""), id, 5000)).To(BeTrue())
	}
	g.Eventually(func() int { return b.front.Targets.open(b.address) }).Should(BeNumerically("<=", 1))
}

// A small school pays its deposit twice: the POST goes out on a reused connection that the target
// closes after reading it, and net/http, given the Idempotency-Key, sends it again on a new one.
func TestKeyedPostOnDyingConnectionIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	target := &rawTarget{answer: func(w io.Writer, r *http.Request, c, n int) bool {
		if n == 2 {
			return false
		}
		plain(w, r.Header.Get(RequestIDHeader), "ok")
		return true
	}}
	target.start(t)
	b.front.Placer = placeFunc(func(context.Context, Request) Placement {
		return Local{Address: target.address, Done: b.results.add}
	})
	g.Expect(b.ask("GET", "/Services/deposits/", "warm", "").status).To(Equal(http.StatusOK))
	r := b.ask("POST", "/Services/deposits/", "pay", "", KeyHeader, "deposit-17")
	g.Expect(target.count("pay")).To(Equal(1))
	g.Expect(r.status).To(Equal(http.StatusBadGateway))
	g.Expect(r.outcome()).To(Equal("Unknown"), "the target had the whole request: it may have run")
	g.Expect(b.results.last().Fault).To(Equal(FaultConnection))
	g.Expect(b.dials.Load()).To(Equal(int64(1)))
}

// A caller is told "not run" and books elsewhere, while the first booking stands: its bytes had left
// when the connection broke. NotRun needs that no write started.
func TestNotRunOnlyWithoutAWrite(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	broken := &rawTarget{answer: func(io.Writer, *http.Request, int, int) bool { return false }}
	broken.start(t)
	address := broken.address
	b.front.Placer = placeFunc(func(_ context.Context, r Request) Placement {
		if r.Attempt > 1 {
			return Refuse{Reason: "Budget", RetryAfter: 1500 * time.Millisecond}
		}
		return Local{Address: address, Done: b.results.add}
	})
	r := b.ask("POST", "/Services/s/", "written", "x")
	g.Expect(r.outcome()).To(Equal("Unknown"))
	r = b.ask("GET", "/Services/s/", "repeated", "")
	g.Expect(r.outcome()).To(Equal("Unknown"), "the first attempt may have run, whatever the second says")

	address = serveNothing(t)
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

// Library browsing stalls although every target answers others at once: a middlebox lost track of the
// open connections, requests on them vanish, and the target gets the blame.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	b.front.Targets.MaxReuseAge = 20 * time.Millisecond
	b.front.Targets.SilenceTimeout = 100 * time.Millisecond
	forgetful := &rawTarget{answer: func(w io.Writer, r *http.Request, c, n int) bool {
		if n == 1 {
			plain(w, r.Header.Get(RequestIDHeader), "ok")
		}
		return true
	}}
	forgetful.start(t)
	b.front.Placer = placeFunc(func(context.Context, Request) Placement {
		return Local{Address: forgetful.address, Done: b.results.add}
	})
	for i, method := range []string{"GET", "GET", "POST", "POST"} {
		r := b.ask(method, "/Services/library/", fmt.Sprintf("r%d", i), "", DeadlineHeader, "2000")
		g.Expect(r.status).To(Equal(http.StatusOK), "request %d", i)
		g.Expect(b.results.last().Fault).To(Equal(FaultNone))
		time.Sleep(40 * time.Millisecond)
	}
	g.Expect(forgetful.count("r2")).To(Equal(1))
	g.Expect(forgetful.count("r3")).To(Equal(1))
}

// A target that closed its idle connections, as it may at any time, must not cost a request.
func TestConnectionClosedWhileIdleCostsNothing(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	polite := &rawTarget{answer: func(w io.Writer, r *http.Request, c, n int) bool {
		plain(w, r.Header.Get(RequestIDHeader), "ok")
		return false
	}}
	polite.start(t)
	b.front.Placer = placeFunc(func(context.Context, Request) Placement { return Local{Address: polite.address, MaxConnections: 2} })
	for i := range 10 {
		r := b.ask("POST", "/Services/s/", fmt.Sprintf("r%d", i), "x")
		g.Expect(r.status).To(Equal(http.StatusOK), "request %d", i)
		time.Sleep(5 * time.Millisecond)
	}
}

// As above, but the close was noticed by the connection's transport alone, in the very moment of the
// send: no write started, so that another connection may take the request.
func TestConnectionGoneAtTheSendIsReplaced(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	var attempts atomic.Int64
	b.front.Placer = placeFunc(func(_ context.Context, r Request) Placement {
		attempts.Store(int64(r.Attempt))
		return b.local()
	})
	g.Expect(b.ask("GET", "/Services/s/", "warm", "").status).To(Equal(http.StatusOK))
	b.front.Targets.mutex.Lock()
	c := b.front.Targets.pools[b.address].idle[0]
	c.transport.CloseIdleConnections()
	c.tracked = &trackedConn{Conn: c.tracked.Conn}
	b.front.Targets.mutex.Unlock()
	g.Expect(b.ask("POST", "/Services/s/", "paid", "").status).To(Equal(http.StatusOK))
	g.Expect(executions(b.target, "paid")).To(Equal(1))
	g.Expect(attempts.Load()).To(Equal(int64(1)), "the Placer hears of one attempt a request")
}

// closeHook runs a function before it closes.
type closeHook struct {
	net.Conn
	before func()
}

func (c *closeHook) Close() error {
	c.before()
	return c.Conn.Close()
}

// A write loop that runs on after RoundTrip gave up must not send what was just called not run: the
// count that seal returns is final, even for a write between the count and the close.
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

// A target with 330 connections over all entry VMs closes those beyond them in anyone's face, so each
// entry VM keeps to its own part, and says that nothing ran where it has none left.
func TestConnectionBudgetIsKept(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t)
	place := b.local()
	place.MaxConnections = 1
	b.front.Placer = placeFunc(func(_ context.Context, r Request) Placement {
		if r.Attempt > 1 {
			return Refuse{Reason: r.Previous.Reason}
		}
		return place
	})
	done := make(chan reply)
	go func() { done <- b.ask("GET", "/Services/s/?Class=brief", "first", "") }()
	g.Eventually(b.target.InFlight).Should(Equal(1))
	r := b.ask("GET", "/Services/s/", "second", "")
	g.Expect(r.outcome()).To(Equal("NotRun"))
	g.Expect(string(r.body)).To(ContainSubstring(string(ReasonConnectionBudget)))
	g.Expect((<-done).status).To(Equal(http.StatusOK))
	g.Expect(b.ask("GET", "/Services/s/", "third", "").status).To(Equal(http.StatusOK))
}

// The deadline goes along, and a request whose caller is gone stops running at the target.
func TestDeadlineAndCancellationReachTheTarget(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	for _, place := range []Placement{p.local(), p.forward()} {
		p.front.Placer = placeFunc(func(context.Context, Request) Placement { return place })
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
