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

// cutConn closes itself after armed is set and limit more bytes have been read.
type cutConn struct {
	net.Conn
	armed *atomic.Bool
	limit int64
	// dropWrites makes the armed connection accept writes and deliver nothing, like one whose state a
	// middlebox dropped.
	dropWrites bool
	// halfOpen keeps the other side from seeing the close.
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
	if c.armed.Load() && c.dropWrites {
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

// firstAttemptOnly places the first attempt and refuses all later ones.
func firstAttemptOnly(p func() Placement) Placer {
	return placeFunc(func(_ context.Context, r Request) Placement {
		if r.Attempt > 1 {
			return Refuse{Reason: r.Previous.Reason, RetryAfter: time.Second}
		}
		return p()
	})
}

// Guards against a truncated response that looks complete: the connection between two entry VMs
// breaks in the middle of a response, and the origin ends its own response to the caller cleanly.
func TestForwardedResponseCutBetweenEntryVMs(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	var armed atomic.Bool
	armed.Store(true)
	p.wrapConn = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &armed, limit: 150_000} })
	for _, query := range []string{"?Size=300000", "?Size=300000&Chunked=true"} {
		r := p.ask("GET", "/Services/archive/"+query, "cut", "")
		if r.err != nil {
			g.Expect(p.results.last().Outcome).To(Equal(Unknown))
			g.Expect(p.results.last().Fault).To(Equal(FaultPeer))
			p.wrapConn = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &armed, limit: 150_000} })
			continue
		}
		g.Expect(r.err).To(HaveOccurred(), "%d bytes looked complete", len(r.body))
	}
}

// Guards against a false NotRun: the connection of a forwarded call breaks while the call waits in
// the peer's queue, the caller is told NotRun and books again, and then the queued copy runs as
// well. The fence must keep it from starting.
func TestFencedCallNeverStarts(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.wrapConn = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &atomic.Bool{}, halfOpen: true} })
	t.Cleanup(func() { p.eachConn(func(c net.Conn) { c.Close() }) })
	p.proxy.Placer = firstAttemptOnly(func() Placement { return p.forward() })
	queued, resume, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
	p.owner.Placer = placeFunc(func(context.Context, Request) Placement {
		close(queued)
		// The queue ignores the end of its context, as in a process that is paused.
		<-resume
		place := p.local()
		place.Done = func(Result) { close(left) }
		return place
	})
	done := make(chan callerResponse)
	go func() { done <- p.ask("POST", "/Services/reservations/", "booked", "") }()
	<-queued
	p.eachConn(func(c net.Conn) { _ = c.SetReadDeadline(pastDeadline) })
	r := <-done
	g.Expect(r.outcome()).To(Equal("NotRun"))
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	close(resume)
	<-left
	g.Expect(executions(p.target, "booked")).To(Equal(0))
}

// Guards against a late start: a peer is paused past the deadline of a queued request and sends it
// to the target when it resumes, although its caller has gone elsewhere.
func TestPausedPeerDoesNotStartAfterDeadline(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.proxy.Peers.FenceTimeout = 50 * time.Millisecond
	p.proxy.Placer = firstAttemptOnly(func() Placement { return p.local() })
	g.Expect(p.ask("GET", "/Services/reservations/", "warm", "").status).To(Equal(http.StatusOK))
	p.proxy.Placer = firstAttemptOnly(func() Placement { return p.forward() })
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	p.owner.Clock, p.owner.Calls.Clock = clock, clock
	left := make(chan Result, 1)
	p.owner.Placer = placeFunc(func(context.Context, Request) Placement {
		// Simulates a pause: the clock has advanced, but no timer of the process has fired yet.
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

// Guards against a double payment: a charge runs, but the peer's reply is lost. The origin must not
// report NotRun.
func TestLostReplyOfStartedCallIsUnknown(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	var armed atomic.Bool
	p.wrapConn = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &armed} })
	p.proxy.Placer = firstAttemptOnly(func() Placement { return p.forward() })
	done := make(chan callerResponse)
	go func() { done <- p.ask("POST", "/Services/billing/?Class=brief", "charged", "") }()
	g.Eventually(p.target.InFlight).Should(Equal(1))
	armed.Store(true)
	r := <-done
	g.Expect(r.outcome()).To(Equal("Unknown"))
	g.Expect(executions(p.target, "charged")).To(Equal(1))
}

// Guards against a false NotRun after a restart: the peer no longer knows what its previous process
// ran. Asked about a call to that process it must not answer FenceNever.
func TestRestartedPeerReportsUnknown(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	var armed atomic.Bool
	p.wrapConn = onFirst(func(c net.Conn) net.Conn { return &cutConn{Conn: c, armed: &armed} })
	p.proxy.Placer = firstAttemptOnly(func() Placement { return p.forward() })
	done := make(chan callerResponse)
	go func() { done <- p.ask("POST", "/Services/billing/?Class=brief", "charged", "") }()
	g.Eventually(p.target.InFlight).Should(Equal(1))
	p.owner.Calls.mutex.Lock()
	p.owner.Calls.calls, p.owner.Calls.Incarnation = nil, ownerIncarnation+1
	p.owner.Calls.mutex.Unlock()
	armed.Store(true)
	g.Expect((<-done).outcome()).To(Equal("Unknown"))

	r := p.ask("POST", "/Services/billing/", "next", "")
	g.Expect(r.outcome()).To(Equal("NotRun"), "the placement was for the previous process")
	g.Expect(executions(p.target, "next")).To(Equal(0))
}

// Guards against requests to another region stalling one by one on a connection that is permanently
// silent, while new connections work.
func TestSilentPeerConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.proxy.Peers.AcceptTimeout = 100 * time.Millisecond
	var armed atomic.Bool
	p.wrapConn = onFirst(func(c net.Conn) net.Conn {
		return &cutConn{Conn: c, armed: &armed, limit: 1 << 40, dropWrites: true}
	})
	g.Expect(p.ask("GET", "/Services/library/", "warm", "").status).To(Equal(http.StatusOK))
	armed.Store(true)
	r := p.ask("POST", "/Services/library/?Size=100", "share", "body")
	g.Expect(complete(r, "share", 100)).To(BeTrue(), "%v", r)
	g.Expect(executions(p.target, "share")).To(Equal(1))
	g.Expect(p.results.last().Fault).To(Equal(FaultNone))
}

// A call that arrives after its fence, or twice, must not start. A call that was forgotten must not
// be reported as never started.
func TestCallRegistry(t *testing.T) {
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
	g.Expect(r.Accept("c")).To(BeFalse(), "the registry is full")
	r.End("a")
	clock.Advance(31 * time.Second)
	g.Expect(r.Accept("c")).To(BeTrue())
	g.Expect(r.Fence("a", 3, 31*time.Second)).To(Equal(FenceUnknown), "it ran but was forgotten")
}
