package paproxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"papayahead/pastand"
)

// A fault seldom comes alone. Random requests run over both ways while the target misbehaves, callers
// hang up, and connections between the entry VMs break at random bytes, heard of or not. Whatever
// happens, the target's log must agree with what callers were told: "not run" did not run, a request
// that is not idempotent ran at most once, and each answer that looks whole is the caller's own.
func TestPathUnderRandomFaults(t *testing.T) {
	g := NewWithT(t)
	const callers, each = 8, 50
	p := newPair(t)
	p.front.Peers.FenceTimeout, p.front.Peers.AcceptTimeout = 300*time.Millisecond, 100*time.Millisecond
	p.front.Targets.MaxReuseAge = 5 * time.Millisecond
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(*pathSeed, 0))
	draw := func(n int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(n)
	}
	var armed atomic.Bool
	armed.Store(true)
	p.wrapper = func(c net.Conn) net.Conn {
		if draw(3) == 0 {
			return c
		}
		return &cutConn{Conn: c, armed: &armed, limit: int64(draw(20_000)), halfOpen: draw(2) == 0, swallow: draw(10) == 0}
	}
	t.Cleanup(func() { p.eachConn(func(c net.Conn) { c.Close() }) })
	p.front.Placer = placeFunc(func(context.Context, Request) Placement {
		switch draw(15) {
		case 0:
			return Refuse{Reason: "Full"}
		case 1, 2, 3, 4, 5:
			return Local{Address: p.address, MaxConnections: 12}
		}
		return Forward{Entry: "e2", Address: p.peer, Incarnation: ownerIncarnation}
	})
	var told [3 + 1]atomic.Int64
	var callersDone sync.WaitGroup
	for c := range callers {
		callersDone.Go(func() {
			for n := range each {
				id := fmt.Sprintf("q%d-%d", c, n)
				method := []string{http.MethodGet, http.MethodPost}[draw(2)]
				if draw(8) == 0 {
					p.target.Inject(randomFaults(draw(9)))
				}
				size := int64(draw(9000))
				r := p.ask(method, fmt.Sprintf("/Services/s/?Size=%d", size), id, "upload",
					DeadlineHeader, fmt.Sprint(20+draw(400)), KeyHeader, id)
				told[check(t, p, id, method, size, r)].Add(1)
			}
		})
	}
	callersDone.Wait()
	t.Logf("answered %d, not run %d, unknown or cut %d",
		told[Answered].Load(), told[NotRun].Load(), told[Unknown].Load())
	for _, o := range []Outcome{Answered, NotRun, Unknown} {
		g.Expect(told[o].Load()).To(BeNumerically(">", 3), "too few %s to prove anything", o)
	}
}

// randomFaults returns the fault of the number; 0 to 2 and those beyond are none.
func randomFaults(n int) pastand.Faults {
	switch n {
	case 3:
		return pastand.Faults{CloseMidBody: true}
	case 4:
		return pastand.Faults{Truncate: true}
	case 5:
		return pastand.Faults{DropAfterRun: true}
	case 6:
		return pastand.Faults{AnswerLate: true}
	case 7:
		return pastand.Faults{Drain: true}
	case 8:
		return pastand.Faults{TooManyBytes: true}
	default:
		return pastand.Faults{}
	}
}

// check sets what a caller was told against the target's log and returns it.
func check(t *testing.T, p *pair, id, method string, size int64, r reply) Outcome {
	runs := executions(p.target, id)
	if method == http.MethodPost && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	switch {
	case r.err != nil || r.outcome() == "Unknown":
		return Unknown
	case r.outcome() == "NotRun":
		if runs != 0 {
			t.Errorf("%s was refused as not run and ran", id)
		}
		return NotRun
	}
	if r.status != http.StatusOK || digest(r.body) != pastand.BodyDigest(id, size) {
		t.Errorf("%s got a wrong answer that looked whole: %d, %d bytes", id, r.status, len(r.body))
	}
	return Answered
}

// The register against an oracle that remembers everything: what was called "never" never starts, and
// what started is never called "never", whatever the order and however late.
func TestRegisterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		r := &CallRegistry{Incarnation: 1, Clock: clock, Retention: 10 * time.Second, MaxCalls: 4}
		started, never, sent := map[string]bool{}, map[string]bool{}, map[string]time.Time{}
		call := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		touch := func(c string) {
			if sent[c].IsZero() {
				sent[c] = clock.Now()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				c := call.Draw(t, "call")
				// A call is sent once; its frame arrives within the time that a connection lives.
				if touch(c); clock.Since(sent[c]) < 5*time.Second {
					r.Accept(c)
				}
			},
			"start": func(t *rapid.T) {
				c := call.Draw(t, "call")
				if r.Start(c) {
					if never[c] {
						t.Fatalf("%s started after its fence", c)
					}
					started[c] = true
				}
			},
			"end": func(t *rapid.T) {
				c := call.Draw(t, "call")
				if started[c] {
					r.End(c)
				}
			},
			"fence": func(t *rapid.T) {
				c := call.Draw(t, "call")
				touch(c)
				if r.Fence(c, 1, clock.Since(sent[c])) == FenceNever {
					if started[c] {
						t.Fatalf("%s started and was called never", c)
					}
					never[c] = true
				}
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
