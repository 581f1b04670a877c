package paproxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// cutConn closes itself once the switch is set and limit bytes more have been read.
type cutConn struct {
	net.Conn
	armed *atomic.Bool
	limit int64
	// swallow makes the armed connection take writes and deliver nothing, as a forgotten one does.
	swallow bool
	// halfOpen keeps the other side from hearing that the connection is closed.
	halfOpen bool
}

func (c *cutConn) Close() error {
	if c.halfOpen {
		return c.SetDeadline(pastDeadline)
	}
	return c.Conn.Close()
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.armed.Load() {
		return n, err
	}
	if c.limit -= int64(n); c.limit < 0 {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.armed.Load() && c.swallow {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// onFirst wraps only the first connection.
func onFirst(wrap func(net.Conn) net.Conn) func(net.Conn) net.Conn {
	var done atomic.Bool
	return func(c net.Conn) net.Conn {
		if done.CompareAndSwap(false, true) {
			return wrap(c)
		}
		return c
	}
}

// refuseAgain places the first attempt and refuses all others.
func refuseAgain(p func() Placement) Placer {
	return placeFunc(func(_ context.Context, r Request) Placement {
		if r.Attempt > 1 {
			return Refuse{Reason: r.Previous.Reason, RetryAfter: time.Second}
		}
		return p()
	})
}

// A restored archive ends in its middle without an error: the link between two regions broke, and the
// origin closed the caller's answer as if all had come.
func TestForwardedAnswerCutBetweenEntries(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	var armed atomic.Bool
	armed.Store(true)
	p.wrapper = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &armed, limit: 150_000} })
	for _, query := range []string{"?Size=300000", "?Size=300000&Chunked=true"} {
		r := p.ask("GET", "/Services/archive/"+query, "cut", "")
		if r.err != nil {
			g.Expect(p.results.last().Outcome).To(Equal(Unknown))
			g.Expect(p.results.last().Fault).To(Equal(FaultPeer))
			p.wrapper = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &armed, limit: 150_000} })
			continue
		}
		g.Expect(r.err).To(HaveOccurred(), "%d bytes looked whole", len(r.body))
	}
}

// A repair shop is told "not run" and books again; then the first copy, which waited in a queue of a
// peer that did not hear of the broken connection, runs as well. The fence must keep it from starting.
func TestFencedCallNeverStarts(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.wrapper = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &atomic.Bool{}, halfOpen: true} })
	t.Cleanup(func() { p.eachConn(func(c net.Conn) { c.Close() }) })
	p.front.Placer = refuseAgain(func() Placement { return p.forward() })
	queued, thaw, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
	p.owner.Placer = placeFunc(func(context.Context, Request) Placement {
		close(queued)
		// A queue that does not see its context end, as in a process that is paused.
		<-thaw
		place := p.local()
		place.Done = func(Result) { close(left) }
		return place
	})
	done := make(chan reply)
	go func() { done <- p.ask("POST", "/Services/reservations/", "booked", "") }()
	<-queued
	p.eachConn(func(c net.Conn) { _ = c.SetReadDeadline(pastDeadline) })
	r := <-done
	g.Expect(r.outcome()).To(Equal("NotRun"))
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	close(thaw)
	<-left
	g.Expect(executions(p.target, "booked")).To(Equal(0))
}

// A paused peer wakes up after the deadline with a queued request in hand and sends it to the target,
// though its caller has long gone elsewhere.
func TestThawedPeerDoesNotStartPastTheDeadline(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.front.Peers.FenceTimeout = 50 * time.Millisecond
	p.front.Placer = refuseAgain(func() Placement { return p.local() })
	g.Expect(p.ask("GET", "/Services/reservations/", "warm", "").status).To(Equal(http.StatusOK))
	p.front.Placer = refuseAgain(func() Placement { return p.forward() })
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	p.owner.Clock, p.owner.Calls.Clock = clock, clock
	left := make(chan Result, 1)
	p.owner.Placer = placeFunc(func(context.Context, Request) Placement {
		// The pause: the clock has gone on, while no timer of the process has fired yet.
		p.owner.Clock = clockwork.NewFakeClockAt(time.Unix(1010, 0))
		place := p.local()
		place.Done = func(r Result) { left <- r }
		return place
	})
	r := p.ask("POST", "/Services/reservations/", "late", "", DeadlineHeader, "500")
	g.Expect((<-left).Outcome).To(Equal(NotRun))
	g.Expect(r.outcome()).To(Equal("NotRun"))
	g.Expect(executions(p.target, "late")).To(Equal(0))
}

// A plan charge runs, but the peer's reply is lost; "not run" would let the customer pay twice.
func TestLostReplyOfAStartedCallIsUnknown(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	var armed atomic.Bool
	p.wrapper = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &armed} })
	p.front.Placer = refuseAgain(func() Placement { return p.forward() })
	done := make(chan reply)
	go func() { done <- p.ask("POST", "/Services/billing/?Class=brief", "charged", "") }()
	g.Eventually(p.target.InFlight).Should(Equal(1))
	armed.Store(true)
	r := <-done
	g.Expect(r.outcome()).To(Equal("Unknown"))
	g.Expect(executions(p.target, "charged")).To(Equal(1))
}

// A peer restarts and has forgotten what it ran; asked for a call of its predecessor it must not say
// "never".
func TestRestartedPeerKnowsNothing(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	var armed atomic.Bool
	p.wrapper = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &armed} })
	p.front.Placer = refuseAgain(func() Placement { return p.forward() })
	done := make(chan reply)
	go func() { done <- p.ask("POST", "/Services/billing/?Class=brief", "charged", "") }()
	g.Eventually(p.target.InFlight).Should(Equal(1))
	p.owner.Calls.mutex.Lock()
	p.owner.Calls.calls, p.owner.Calls.Incarnation = nil, ownerIncarnation+1
	p.owner.Calls.mutex.Unlock()
	armed.Store(true)
	g.Expect((<-done).outcome()).To(Equal("Unknown"))

	r := p.ask("POST", "/Services/billing/", "next", "")
	g.Expect(r.outcome()).To(Equal("NotRun"), "the placement was for the predecessor")
	g.Expect(executions(p.target, "next")).To(Equal(0))
}

// The connection to a peer went silent for good; requests to the other region stall one by one while
// new connections work.
func TestSilentPeerConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.front.Peers.AcceptTimeout = 100 * time.Millisecond
	var armed atomic.Bool
	p.wrapper = onFirst(func(c net.Conn) net.Conn {
		return &cutConn{Conn: c, armed: &armed, limit: 1 << 40, swallow: true}
	})
	g.Expect(p.ask("GET", "/Services/library/", "warm", "").status).To(Equal(http.StatusOK))
	armed.Store(true)
	r := p.ask("POST", "/Services/library/?Size=100", "share", "body")
	g.Expect(whole(r, "share", 100)).To(BeTrue(), "%v", r)
	g.Expect(executions(p.target, "share")).To(Equal(1))
	g.Expect(p.results.last().Fault).To(Equal(FaultNone))
}

// A call that arrives after its fence, or twice, must not run, and one whose memory has expired must
// not be taken for one that never came.
func TestRegister(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	r := &CallRegistry{Incarnation: 3, Clock: clock, Retention: 30 * time.Second, MaxCalls: 3}
	g.Expect(r.Fence("early", 3, 0)).To(Equal(FenceNever))
	g.Expect(r.Accept("early")).To(BeFalse())
	g.Expect(r.Start("early")).To(BeFalse())
	g.Expect(r.Accept("a")).To(BeTrue())
	g.Expect(r.Accept("a")).To(BeFalse())
	g.Expect(r.Start("a")).To(BeTrue())
	g.Expect(r.Fence("a", 3, time.Second)).To(Equal(FenceStarted))
	g.Expect(r.Fence("a", 2, time.Second)).To(Equal(FenceUnknown))
	g.Expect(r.Accept("b")).To(BeTrue())
	g.Expect(r.Fence("b", 3, time.Second)).To(Equal(FenceNever))
	g.Expect(r.Start("b")).To(BeFalse())
	g.Expect(r.Accept("c")).To(BeFalse(), "the register is full")
	r.End("a")
	clock.Advance(31 * time.Second)
	g.Expect(r.Accept("c")).To(BeTrue())
	g.Expect(r.Fence("a", 3, 31*time.Second)).To(Equal(FenceUnknown), "it ran and is forgotten")
}
