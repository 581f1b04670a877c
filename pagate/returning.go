package pagate

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayahead/paquota"
	"papayahead/pareturn"
)

// reservationLead is how long before the time of a reservation its token is kept in the share, and returnPatience how long a
// caller that returns waits for the pool, which grants tokens now and then.
const (
	reservationLead = 100 * time.Millisecond
	returnPatience  = limiterWait - 2*minCallInterval
)

// returns is when callers return that this entry VM refused.
type returns struct {
	mutex     sync.Mutex
	schedule  pareturn.Schedule
	deadlines pareturn.Deadlines
}

// returning is what is known of a request whose caller may have been refused before.
type returning struct {
	// contended says that the request's route has a contended service; the rest is not used otherwise.
	contended bool
	// told is the time that the caller has, by its own header. returned says that it returns like one with a reservation.
	told     time.Duration
	returned bool
	// reserved says that the refused caller has a reservation.
	reserved bool
}

// noteReturn sets what is known of the request's earlier attempts.
func (g *Gate) noteReturn(x *exchange) {
	g.balancerMutex.Lock()
	x.contended = g.balancer.ContendedRoute(x.route)
	g.balancerMutex.Unlock()
	if !x.contended || x.told <= 0 {
		return
	}
	r := &g.returns
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.deadlines.Note(x.route.Name, x.told, g.uptime())
	x.returned = r.deadlines.HasReservation(x.route.Name, x.told)
}

// noteAdmitted counts a token of the request's workspace.
func (g *Gate) noteAdmitted(x *exchange) {
	if x.hasToken {
		g.countToken(x)
	}
}

func (g *Gate) countToken(x *exchange) {
	if !x.contended {
		return
	}
	g.returns.mutex.Lock()
	defer g.returns.mutex.Unlock()
	g.returns.schedule.CountToken(x.workspaceName(), g.uptime())
}

// refuseLimited responds 429 to a request of a workspace at its limit. The caller gets the time of a token.
func (g *Gate) refuseLimited(w http.ResponseWriter, x *exchange, s *state, retryAfter time.Duration) {
	if x.contended {
		share, reachable := g.division(x.workspace, s).Share.Rate, g.quotas.limiterReachable()
		retryAfter = g.reserve(x, retryAfter, func(measured float64) float64 {
			if !reachable {
				return share // What came before were tokens of the pool as well.
			}
			return min(x.workspace.Rate, max(measured, share))
		})
	}
	g.refuseWithStatus(w, x, http.StatusTooManyRequests, reasonRateLimit, retryAfter)
}

// reserve reserves a token for a refused caller and returns the time until then. rateOf returns how many tokens come in a second by how
// many were measured.
func (g *Gate) reserve(x *exchange, earliest time.Duration, rateOf func(float64) float64) time.Duration {
	now, passed := g.uptime(), g.config.Clock.Since(x.arrived)
	r := &g.returns
	r.mutex.Lock()
	defer r.mutex.Unlock()
	left := x.deadline.Sub(x.arrived) - passed
	from, to := r.deadlines.Window(x.route.Name, max(left, x.told-passed))
	r.deadlines.NoteRefused(x.route.Name, now)
	c := r.schedule.Reserve(pareturn.Refused{
		Workspace: x.workspaceName(), Priority: x.priority(), Rate: rateOf(r.schedule.Rate(x.workspaceName(), now)), Earliest: earliest,
		Left: left, From: from, To: to,
	}, now)
	x.reserved = c.Reserved
	kind := returnTold
	if c.Reserved {
		kind = returnBooked
	}
	g.meter.returnsTold(pareturn.ClassOf(x.priority()), kind).Inc()
	return c.After
}

// decide decides on a request. In a contended deployment one that returns as it was told goes first, and others leave it the token
// that was reserved.
func (l *rateShares) decide(x *exchange, h *rateShare, now time.Duration) paquota.Verdict {
	reachable := l.reachable(now)
	if !x.contended {
		return h.Decide(now, reachable)
	}
	name, r := x.workspace.Name, &l.gate.returns
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if x.returned {
		r.schedule.Claim(name, x.priority(), reservationLead, now)
		return h.DecideReturn(now, reachable, returnPatience)
	}
	return h.DecideReserving(r.schedule.TokensToKeep(name, reservationLead, now), now, reachable)
}

// limiterReachable is reachable without the mutex.
func (l *rateShares) limiterReachable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reachable(l.gate.uptime())
}

// enqueue adds a request that waits for a token: those that return first.
func (h *rateShare) enqueue(granted chan bool, returned bool) {
	if !returned {
		h.waiters = append(h.waiters, granted)
		return
	}
	h.waiters = slices.Insert(h.waiters, h.returned, granted)
	h.returned++
}

// returnsTold counts callers that were told when to return; returned counts requests that came as those with a reservation do.
func (m *meter) returnsTold(class int, kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_returns_total{priority="` + strconv.Itoa(class) + `",kind="` + kind + `"}`)
}

func (m *meter) returned(outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_returned_total{outcome="` + outcome + `"}`)
}

// Labels of the metrics on callers that return.
const (
	returnBooked    = "Booked"
	returnTold      = "Told"
	returnAdmitted  = "Admitted"
	returnedRefused = "Refused"
)

// exportReturns exports the metrics on callers that return.
func (m *meter) exportReturns(g *Gate) {
	for class := range pareturn.Classes {
		for _, kind := range []string{returnBooked, returnTold} {
			m.returnsTold(class, kind).Set(0)
		}
	}
	m.returned(returnAdmitted).Set(0)
	m.returned(returnedRefused).Set(0)
	m.set.NewGauge("papayahead_gate_return_places", func() float64 {
		g.returns.mutex.Lock()
		defer g.returns.mutex.Unlock()
		return float64(g.returns.schedule.Reservations(g.uptime()))
	})
}

// countReturned counts a request that returned like one with a reservation.
func (m *meter) countReturned(status int) {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		m.returned(returnedRefused).Inc()
		return
	}
	m.returned(returnAdmitted).Inc()
}
