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

// Guards against combinations of faults. Random requests take both paths while the target
// misbehaves, callers disconnect, and connections between the entry VMs break after a random number
// of bytes, with or without the other side seeing it. The target's log must agree with what callers
// were told: a NotRun request did not run, a request that is not idempotent ran at most once, and
// each response that looks complete is the caller's own.
func TestPathUnderRandomFaults(t *testing.T) {
	g := NewWithT(t)
	const callers, each = 8, 50
	p := newPair(t)
	p.proxy.Peers.FenceTimeout, p.proxy.Peers.AcceptTimeout = 300*time.Millisecond, 100*time.Millisecond
	p.proxy.Targets.MaxReuseAge = 5 * time.Millisecond
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(*pathSeed, 0))
	draw := func(n int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(n)
	}
	var armed atomic.Bool
	armed.Store(true)
	p.wrapConn = func(c net.Conn) net.Conn {
		if draw(3) == 0 {
			return c
		}
		return &cutConn{Conn: c, armed: &armed, limit: int64(draw(20_000)), halfOpen: draw(2) == 0, dropWrites: draw(10) == 0}
	}
	t.Cleanup(func() { p.eachConn(func(c net.Conn) { c.Close() }) })
	p.proxy.Placer = placeFunc(func(context.Context, Request) Placement {
		switch draw(15) {
		case 0:
			return Refuse{Reason: "Full"}
		case 1, 2, 3, 4, 5:
			return Local{Address: p.address, MaxConnections: 12}
		}
		return Forward{Entry: "e2", Address: p.ownerAddress, Incarnation: ownerIncarnation}
	})
	var outcomes [3 + 1]atomic.Int64
	var callersDone sync.WaitGroup
	for c := range callers {
		callersDone.Go(func() {
			for n := range each {
				id := fmt.Sprintf("q%d-%d", c, n)
				method := []string{http.MethodGet, http.MethodPost}[draw(2)]
				if draw(8) == 0 {
					p.target.Inject(faultNumber(draw(9)))
				}
				size := int64(draw(9000))
				r := p.ask(method, fmt.Sprintf("/Services/s/?Size=%d", size), id, "upload",
					DeadlineHeader, fmt.Sprint(20+draw(400)), KeyHeader, id)
				outcomes[checkOutcome(t, p, id, method, size, r)].Add(1)
			}
		})
	}
	callersDone.Wait()
	t.Logf("answered %d, not run %d, unknown or truncated %d",
		outcomes[Answered].Load(), outcomes[NotRun].Load(), outcomes[Unknown].Load())
	for _, o := range []Outcome{Answered, NotRun, Unknown} {
		g.Expect(outcomes[o].Load()).To(BeNumerically(">", 3), "too few %s outcomes for a meaningful check", o)
	}
}

// faultNumber returns the fault with the number; 0 to 2 and numbers beyond the list mean none.
func faultNumber(n int) pastand.Faults {
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

// checkOutcome checks what a caller was told against the target's log, and returns the outcome.
func checkOutcome(t *testing.T, p *entryPair, id, method string, size int64, r callerResponse) Outcome {
	runs := executions(p.target, id)
	if method == http.MethodPost && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	switch {
	case r.err != nil || r.outcome() == "Unknown":
		return Unknown
	case r.outcome() == "NotRun":
		if runs != 0 {
			t.Errorf("%s was reported as NotRun but ran", id)
		}
		return NotRun
	}
	if r.status != http.StatusOK || digest(r.body) != pastand.BodyDigest(id, size) {
		t.Errorf("%s got a wrong response that looked complete: %d, %d bytes", id, r.status, len(r.body))
	}
	return Answered
}

// Compares CallRegistry with a model that forgets nothing: a call reported as FenceNever must never
// start, and a started call must never be reported as FenceNever, in any order and however late.
func TestCallRegistryAgainstModel(t *testing.T) {
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
				// A call is sent once; its frame arrives within the lifetime of a connection.
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
