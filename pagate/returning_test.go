package pagate

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/paquota"
	"papayahead/paroute"
	"papayahead/pasteer"
)

// returnGate is a Gate, one exchange at a time, and a copy of its random source.
func returnGate(contended bool) (*Gate, *clockwork.FakeClock, *rand.Rand) {
	clock := clockwork.NewFakeClock()
	quota := paquota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	return New(Config{
		Settings: Settings{Name: "e", Contended: contended, Quota: quota}, Network: noNetwork{}, Clock: clock,
		Random: rand.New(rand.NewPCG(5, 6)),
	}), clock, rand.New(rand.NewPCG(5, 6))
}

func returnExchange(g *Gate, told time.Duration) *exchange {
	now := g.config.Clock.Now()
	x := &exchange{
		route: &paroute.Route{Name: "r"}, service: "s", arrived: now, deadline: now.Add(told), returning: returning{told: told},
		workspace: &paroute.Workspace{Name: "w", Rate: 40},
	}
	g.noteReturn(x)
	return x
}

func retryAfterOf(w *httptest.ResponseRecorder) float64 {
	s, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	if err != nil {
		panic(err)
	}
	return s
}

// Guards against a deployment without contended services that tells callers other times than before.
func TestUncontendedServicesKeepTheirTimes(t *testing.T) {
	g, _, random := returnGate(false)
	for i := range 20 {
		x := returnExchange(g, time.Duration(3000-100*i)*time.Millisecond)
		w := httptest.NewRecorder()
		status := http.StatusServiceUnavailable
		if i%2 == 0 {
			g.answerNoTarget(w, x, pasteer.Choice{Reason: pasteer.ReasonFull, RetryAfter: 400 * time.Millisecond})
		} else {
			status = http.StatusTooManyRequests
			g.refuseLimited(w, x, g.state.Load(), 400*time.Millisecond)
		}
		want := strconv.FormatFloat((400*time.Millisecond).Seconds()*(1+retryAfterJitter*random.Float64()), 'f', 3, 64)
		if got := w.Header().Get("Retry-After"); got != want || w.Code != status {
			t.Errorf("refusal %d: status %d, told %s, want %s", i, w.Code, got, want)
		}
		if x.returned || x.reserved {
			t.Errorf("refusal %d: %+v", i, x.returning)
		}
	}
	if n := g.returns.schedule.Reservations(g.uptime()); n != 0 {
		t.Errorf("%d places are booked", n)
	}
}

// Guards against callers of a contended service that miss their place by a random delay, share one, or get one where no token is
// missing.
func TestRefusedCallersGetPlacesOneAfterTheOther(t *testing.T) {
	g, clock, _ := returnGate(true)
	s := &state{fleetPeak: 1, registered: true}
	clock.Advance(callFailureBackoff + time.Millisecond) // Before, the limiter counts as not reached.
	for range 40 {
		x := returnExchange(g, 3*time.Second)
		x.hasToken = true
		g.noteAdmitted(x)
	}
	for i, want := range []float64{0.3, 0.35, 0.4} {
		w := httptest.NewRecorder()
		g.refuseLimited(w, returnExchange(g, 3*time.Second), s, 300*time.Millisecond)
		if got := retryAfterOf(w); got != want || w.Code != http.StatusTooManyRequests {
			t.Errorf("caller %d: status %d, told %v, want %v", i, w.Code, got, want)
		}
	}
	for _, reason := range []pasteer.Reason{pasteer.ReasonNoTarget, pasteer.ReasonFull} {
		w := httptest.NewRecorder()
		g.answerNoTarget(w, returnExchange(g, 3*time.Second), pasteer.Choice{Reason: reason, RetryAfter: 700 * time.Millisecond})
		if got := retryAfterOf(w); got < 0.7 || got > 1.05 || g.returns.schedule.Reservations(g.uptime()) != 3 {
			t.Errorf("%s: the caller is told %v", reason, got)
		}
	}
}

// Guards against new requests that take the tokens of callers that return as they were told, or wait before them.
func TestCallersThatReturnComeFirst(t *testing.T) {
	g, clock, _ := returnGate(true)
	s := &state{fleetPeak: 1, registered: true}
	var first *exchange
	for range 20 {
		first = returnExchange(g, 3*time.Second)
	}
	h := g.quotas.shareOf(first.workspace, s)
	now := g.uptime()
	for h.Decide(now, false) == paquota.Admit {
		continue
	}
	for range 4 {
		g.refuseLimited(httptest.NewRecorder(), returnExchange(g, 3*time.Second), s, 100*time.Millisecond)
	}
	h.Refund(now)
	h.Refund(now)
	if v := g.quotas.decide(first, h, now); v == paquota.Admit {
		t.Error("a new request took a token that was held for callers with a place")
	}
	h.CancelWait()
	clock.Advance(200 * time.Millisecond)
	back := returnExchange(g, 2800*time.Millisecond)
	if !back.returned {
		t.Fatal("a caller that returned counts as new")
	}
	if v := g.quotas.decide(back, h, g.uptime()); v != paquota.Admit {
		t.Errorf("the verdict on a caller that returned is %v", v)
	}
	a, b, c := make(chan bool), make(chan bool), make(chan bool)
	h.enqueue(a, false)
	h.enqueue(b, true)
	h.enqueue(c, true)
	if h.waiters[0] != b || h.waiters[1] != c || h.waiters[2] != a {
		t.Error("a new request waits before those that return")
	}
}
