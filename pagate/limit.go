package pagate

import (
	"context"
	"slices"
	"sync"
	"time"

	"papayahead/pafleet"
	"papayahead/paquota"
	"papayahead/paroute"
	"papayahead/pawire"
)

const (
	// askPace is the least time between two calls to the limiter for each entry VM of the deployment, so that it hears
	// about as many calls however many they are, and askLeast the least at all.
	askPace  = 700 * time.Microsecond
	askLeast = 15 * time.Millisecond
	// sparePace is the time between two calls for requests to come only.
	sparePace = 60 * time.Millisecond
	// askPatience is the longest that a request waits for the limiter: a call between regions, and the one before it.
	askPatience = 350 * time.Millisecond
	// dryPatience is how long it waits on for a limiter that has nothing: a refused caller takes longer to be back.
	dryPatience = 150 * time.Millisecond
	// startAsking is how long after its start requests wait longer: the shares are empty, and the limiter may have
	// started too.
	startAsking = 2 * time.Second
	// askAgain is how long after a call that failed no request waits for the limiter.
	askAgain = 250 * time.Millisecond
	// againMargin is how far the clocks of two lifetimes of a process may differ.
	againMargin = time.Second
	// settleShares is how long after the first start of an entry VM its shares stay empty: until all others know of it.
	settleShares = 3 * time.Second
)

// limits are the own shares of rate limits.
type limits struct {
	gate *Gate
	// asked wakes the calls to the limiter.
	asked chan struct{}

	mutex  sync.Mutex
	shares map[string]*share
	// from is the uptime from which shares fill; again says that they have something at once then.
	from  time.Duration
	again bool
	// failedAt is the uptime of the last call that failed, unless one succeeded since.
	failedAt time.Duration
}

// share is the own share of a workspace's limit and the requests that wait for more.
type share struct {
	*paquota.Share
	// waiters hear whether they may run, in the order in which they came.
	waiters []chan bool
}

func newLimits(g *Gate) *limits {
	return &limits{
		gate: g, asked: make(chan struct{}, 1), shares: map[string]*share{}, from: g.startedUp + settleShares, failedAt: longAgo,
	}
}

// begin takes the first state. An entry VM that is registered already has only started anew: the others count it, and
// if it ran for longer than a window before, its shares have something at once.
func (l *limits) begin(s *state) {
	i := slices.IndexFunc(s.entries, func(e pafleet.Entry) bool { return e.Name == l.gate.self.Name })
	if i < 0 {
		return
	}
	ran := l.gate.self.MinStartInterval(s.entries[i])
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.from, l.again = l.gate.startedUp, ran > l.gate.config.Settings.Quota.Window+againMargin
}

// division divides a workspace's limit as this entry VM sees the deployment.
func (g *Gate) division(w *paroute.Workspace, s *state) paquota.Division {
	d := paquota.Divide(paquota.Limit{Rate: w.Rate, Burst: w.Burst}, g.config.Settings.Quota, s.fleet)
	if !s.registered {
		// The others do not count this one.
		d.Share = paquota.Bucket{}
	}
	return d
}

// admit takes a token for the request, waiting for the limiter if need be, or returns when one may be there.
func (l *limits) admit(x *exchange, s *state) (comeBack time.Duration, ok bool) {
	w := x.workspace
	if w == nil || !w.HasRateLimit() {
		return 0, true
	}
	l.mutex.Lock()
	h := l.shareOf(w, s)
	now := l.gate.uptime()
	verdict := h.Decide(now, l.reachable(now))
	if verdict == paquota.Refuse {
		defer l.mutex.Unlock()
		l.gate.meter.limit("Refused")
		return h.RetryAfter(now), false
	}
	x.token = true
	if verdict == paquota.Admit {
		l.mutex.Unlock()
		l.gate.meter.limit("Own")
		return 0, true
	}
	granted := make(chan bool, 1)
	h.waiters = append(h.waiters, granted)
	l.mutex.Unlock()
	l.wake()
	return l.await(x, h, granted)
}

// await waits for the limiter's answer.
func (l *limits) await(x *exchange, h *share, granted chan bool) (comeBack time.Duration, ok bool) {
	patience := min(l.patience(askPatience), x.limit.Sub(l.gate.config.Clock.Now()))
	timer := l.gate.config.Clock.NewTimer(max(0, patience))
	defer timer.Stop()
	begun := l.gate.config.Clock.Now()
	defer func() { x.limited = l.gate.config.Clock.Since(begun) }()
	outcome := "Unanswered"
	select {
	case ok = <-granted:
		outcome = "Dry"
	case <-timer.Chan():
		ok = l.leave(h, granted)
	case <-x.caller.Done():
		ok = l.leave(h, granted)
	}
	if ok {
		l.gate.meter.limit("Granted")
		return 0, true
	}
	x.token = false
	l.gate.meter.limit(outcome)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return h.RetryAfter(l.gate.uptime()), false
}

// patience returns how long a request waits for a token, where it is usually a time.
//
// Load: all entry VMs lose power and come back under full load, with every bucket empty. Harm prevented: callers are
// refused in the first second, though a token would come within the next, and find the same when they are back.
func (l *limits) patience(usually time.Duration) time.Duration {
	if l.gate.uptime()-l.gate.startedUp < startAsking {
		return startWait
	}
	return usually
}

// leave ends the wait of a request, and says whether it was granted in the same moment.
func (l *limits) leave(h *share, granted chan bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if i := slices.Index(h.waiters, granted); i >= 0 {
		h.waiters = slices.Delete(h.waiters, i, i+1)
		h.CancelWait()
		return false
	}
	return <-granted
}

// giveBack returns the token of a request that did not run.
func (l *limits) giveBack(x *exchange) {
	if !x.token {
		return
	}
	x.token = false
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if h := l.shares[x.workspace.Name]; h != nil {
		h.Refund(l.gate.uptime())
	}
}

// shareOf returns the share of a workspace as the state divides it.
func (l *limits) shareOf(w *paroute.Workspace, s *state) *share {
	division := l.gate.division(w, s)
	h := l.shares[w.Name]
	if h == nil {
		again := 0.0
		if l.again {
			again = division.RestartTokens
		}
		h = &share{Share: paquota.NewShare(division.Share, again, l.gate.config.Settings.Quota, l.from)}
		l.shares[w.Name] = h
	}
	h.SetBucket(division.Share, l.gate.uptime())
	return h
}

// reachable says whether the limiter is worth waiting for.
func (l *limits) reachable(now time.Duration) bool { return now-l.failedAt > askAgain }

// wake makes the next call to the limiter come as soon as it may.
func (l *limits) wake() {
	select {
	case l.asked <- struct{}{}:
	default:
	}
}

// run asks the limiter for what the shares want.
func (l *limits) run(ctx context.Context) {
	g := l.gate
	for ctx.Err() == nil {
		select {
		case <-l.asked:
		case <-g.config.Clock.After(sparePace):
		case <-ctx.Done():
			return
		}
		s := g.state.Load()
		if s.table == nil || !s.table.HasRateLimit() {
			continue
		}
		l.forget(s)
		wanted := l.wanted(s)
		if len(wanted) == 0 {
			continue
		}
		begun := g.uptime()
		granted, err := g.limiter.ask(ctx, s, wanted)
		if g.uptime()-begun > paquota.MaxCallTime {
			granted = nil
		}
		l.granted(wanted, granted, err)
		g.sleep(ctx, max(askLeast, time.Duration(s.fleet)*askPace))
	}
}

// forget drops the shares of workspaces that are gone or have no limit any more.
func (l *limits) forget(s *state) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, h := range l.shares {
		if w := s.table.Workspace(name); (w == nil || !w.HasRateLimit()) && len(h.waiters) == 0 {
			delete(l.shares, name)
		}
	}
}

// wanted returns what to ask for.
func (l *limits) wanted(s *state) []*pawire.Wanted {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.gate.uptime()
	var all []*pawire.Wanted
	for name, h := range l.shares {
		if w := s.table.Workspace(name); w != nil {
			h.SetBucket(l.gate.division(w, s).Share, now)
		}
		if n := h.Demand(now); n.Waiting+n.Spare > 0 {
			all = append(all, &pawire.Wanted{Workspace: name, Waiting: uint32(n.Waiting), Spare: uint32(n.Spare)})
		}
	}
	return all
}

// granted hands out what the limiter gave; where it gave no answer, requests wait on until their patience ends.
func (l *limits) granted(wanted []*pawire.Wanted, granted []*pawire.Granted, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.gate.uptime()
	if err != nil || len(granted) != len(wanted) {
		if now-l.gate.startedUp > startAsking {
			l.failedAt = now
		}
		return
	}
	l.failedAt = longAgo
	for i, w := range wanted {
		h := l.shares[w.GetWorkspace()]
		if h == nil {
			continue
		}
		next := time.Duration(granted[i].GetNextMilliseconds()) * time.Millisecond
		run, refused := h.ApplyGrant(int(min(granted[i].GetTokens(), w.GetWaiting()+w.GetSpare())), next, l.patience(dryPatience), now)
		for n, c := range h.waiters[:run+refused] {
			c <- n < run
		}
		h.waiters = slices.Delete(h.waiters, 0, run+refused)
	}
}
