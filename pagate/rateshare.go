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
	// callIntervalPerEntry times the number of entry VMs is the least time between two calls to the limiter,
	// which thus gets about the same number of calls in a deployment of any size. minCallInterval is the least
	// time in a small one.
	callIntervalPerEntry = 700 * time.Microsecond
	minCallInterval      = 15 * time.Millisecond
	// spareCallInterval is the time between calls that only fetch tokens for later requests.
	spareCallInterval = 60 * time.Millisecond
	// limiterWait is the longest time that a request waits for the limiter: a call between regions, and the one
	// before it.
	limiterWait = 350 * time.Millisecond
	// emptyPoolWait is how long a request waits on if the pool is empty; a client that is refused takes longer to
	// return.
	emptyPoolWait = 150 * time.Millisecond
	// startPeriod is how long after its start an entry VM lets requests wait longer: its shares are empty, and
	// the limiter may have just started too.
	startPeriod = 2 * time.Second
	// callFailureBackoff is how long after a failed call requests are not queued for the limiter.
	callFailureBackoff = 250 * time.Millisecond
	// restartClockMargin is how far the clocks of two runs of the process may differ.
	restartClockMargin = time.Second
	// firstStartDelay is how long after its first start the shares of an entry VM stay empty, until all others
	// count it.
	firstStartDelay = 3 * time.Second
)

// rateShares holds this entry VM's shares of the workspaces' rate limits, and gets further tokens from the limiter.
type rateShares struct {
	gate *Gate
	// wakeUp requests a call to the limiter.
	wakeUp chan struct{}

	mutex  sync.Mutex
	shares map[string]*rateShare
	// fillFrom is the uptime from which shares fill. restarted says that they start with some tokens, as the
	// entry VM was registered before.
	fillFrom  time.Duration
	restarted bool
	// failedAt is the uptime of the last failed call, unless one succeeded since.
	failedAt time.Duration
}

// rateShare is the share of one workspace's limit and the requests that wait for a token.
type rateShare struct {
	*paquota.Share
	// waiters receive whether the request may run, in order of arrival.
	waiters []chan bool
	// returned is how many of them return as they were told; these come first.
	returned int
}

func newRateShares(g *Gate) *rateShares {
	return &rateShares{
		gate: g, wakeUp: make(chan struct{}, 1), shares: map[string]*rateShare{},
		fillFrom: g.startUptime + firstStartDelay, failedAt: longBeforeStart,
	}
}

// start initializes the shares from the first state. An entry VM that is already registered has restarted and is
// counted by the others; if its former run lasted longer than a quota window, its shares start with some tokens.
func (l *rateShares) start(s *state) {
	i := slices.IndexFunc(s.entries, func(e pafleet.Entry) bool { return e.Name == l.gate.self.Name })
	if i < 0 {
		return
	}
	ran := l.gate.self.MinStartInterval(s.entries[i])
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fillFrom, l.restarted = l.gate.startUptime, ran > l.gate.config.Settings.Quota.Window+restartClockMargin
}

// division divides a workspace's limit into shares and pool by the number of entry VMs in the state.
func (g *Gate) division(w *paroute.Workspace, s *state) paquota.Division {
	d := paquota.Divide(paquota.Limit{Rate: w.Rate, Burst: w.Burst}, g.config.Settings.Quota, s.fleetPeak)
	if !s.registered {
		// The others do not count this entry VM yet.
		d.Share = paquota.Bucket{}
	}
	return d
}

// admit takes a token for the request, waiting for the limiter if need be. Otherwise it returns the Retry-After.
func (l *rateShares) admit(x *exchange, s *state) (retryAfter time.Duration, ok bool) {
	w := x.workspace
	if w == nil || !w.HasRateLimit() {
		return 0, true
	}
	l.mutex.Lock()
	h := l.shareOf(w, s)
	now := l.gate.uptime()
	verdict := l.decide(x, h, now)
	if verdict == paquota.Refuse {
		defer l.mutex.Unlock()
		l.gate.meter.countLimited("Refused")
		return h.RetryAfter(now), false
	}
	x.hasToken = true
	if verdict == paquota.Admit {
		l.mutex.Unlock()
		l.gate.meter.countLimited("Own")
		return 0, true
	}
	granted := make(chan bool, 1)
	h.enqueue(granted, x.returned)
	l.mutex.Unlock()
	l.wake()
	return l.awaitGrant(x, h, granted)
}

// awaitGrant waits for the limiter's reply to a request in the queue.
func (l *rateShares) awaitGrant(x *exchange, h *rateShare, granted chan bool) (retryAfter time.Duration, ok bool) {
	wait := min(l.maxWait(limiterWait), x.deadline.Sub(l.gate.config.Clock.Now()))
	timer := l.gate.config.Clock.NewTimer(max(0, wait))
	defer timer.Stop()
	start := l.gate.config.Clock.Now()
	defer func() { x.limitWait = l.gate.config.Clock.Since(start) }()
	outcome := "Unanswered"
	select {
	case ok = <-granted:
		outcome = "Dry"
	case <-timer.Chan():
		ok = l.cancelWait(h, granted)
	case <-x.clientCtx.Done():
		ok = l.cancelWait(h, granted)
	}
	if ok {
		l.gate.meter.countLimited("Granted")
		return 0, true
	}
	x.hasToken = false
	l.gate.meter.countLimited(outcome)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return h.RetryAfter(l.gate.uptime()), false
}

// maxWait returns how long a request waits for a token: the given time, or longer in the start period.
//
// After a power failure of all entry VMs under full load every bucket is empty. With the usual wait clients would be
// refused in the first second, although a token would come within the next, and be refused again when they return.
func (l *rateShares) maxWait(usual time.Duration) time.Duration {
	if l.gate.uptime()-l.gate.startUptime < startPeriod {
		return startConfigWait
	}
	return usual
}

// cancelWait removes a request from the queue, and reports whether it had been granted a token by then.
func (l *rateShares) cancelWait(h *rateShare, granted chan bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if i := slices.Index(h.waiters, granted); i >= 0 {
		h.waiters = slices.Delete(h.waiters, i, i+1)
		if i < h.returned {
			h.returned--
		}
		h.CancelWait()
		return false
	}
	return <-granted
}

// returnToken returns the token of a request that was not executed.
func (l *rateShares) returnToken(x *exchange) {
	if !x.hasToken {
		return
	}
	x.hasToken = false
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if h := l.shares[x.workspace.Name]; h != nil {
		h.Refund(l.gate.uptime())
	}
}

// shareOf returns the share of a workspace, sized by the state. The mutex must be held.
func (l *rateShares) shareOf(w *paroute.Workspace, s *state) *rateShare {
	division := l.gate.division(w, s)
	h := l.shares[w.Name]
	if h == nil {
		initial := 0.0
		if l.restarted {
			initial = division.RestartTokens
		}
		h = &rateShare{Share: paquota.NewShare(division.Share, initial, l.gate.config.Settings.Quota, l.fillFrom)}
		l.shares[w.Name] = h
	}
	h.SetBucket(division.Share, l.gate.uptime())
	return h
}

// reachable reports whether requests should be queued for the limiter.
func (l *rateShares) reachable(now time.Duration) bool { return now-l.failedAt > callFailureBackoff }

// wake requests a call to the limiter without waiting for spareCallInterval.
func (l *rateShares) wake() {
	select {
	case l.wakeUp <- struct{}{}:
	default:
	}
}

// run calls the limiter whenever a share needs tokens.
func (l *rateShares) run(ctx context.Context) {
	g := l.gate
	for ctx.Err() == nil {
		select {
		case <-l.wakeUp:
		case <-g.config.Clock.After(spareCallInterval):
		case <-ctx.Done():
			return
		}
		s := g.state.Load()
		if s.table == nil || !s.table.HasRateLimit() {
			continue
		}
		l.prune(s)
		wanted := l.wanted(s)
		if len(wanted) == 0 {
			continue
		}
		start := g.uptime()
		granted, err := g.limiter.takeTokens(ctx, s, wanted)
		if g.uptime()-start > paquota.MaxCallTime {
			granted = nil
		}
		l.distribute(wanted, granted, err)
		g.sleep(ctx, max(minCallInterval, time.Duration(s.fleetPeak)*callIntervalPerEntry))
	}
}

// prune drops the shares of workspaces that are gone or no longer limited.
func (l *rateShares) prune(s *state) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, h := range l.shares {
		if w := s.table.Workspace(name); (w == nil || !w.HasRateLimit()) && len(h.waiters) == 0 {
			delete(l.shares, name)
		}
	}
}

// wanted returns the tokens to request from the limiter.
func (l *rateShares) wanted(s *state) []*pawire.Wanted {
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

// distribute hands the granted tokens to shares and waiting requests. After a failed call the requests wait until
// their time is up.
func (l *rateShares) distribute(wanted []*pawire.Wanted, granted []*pawire.Granted, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.gate.uptime()
	if err != nil || len(granted) != len(wanted) {
		if now-l.gate.startUptime > startPeriod {
			l.failedAt = now
		}
		return
	}
	l.failedAt = longBeforeStart
	for i, w := range wanted {
		h := l.shares[w.GetWorkspace()]
		if h == nil {
			continue
		}
		next := time.Duration(granted[i].GetNextMilliseconds()) * time.Millisecond
		run, refused := h.ApplyGrant(int(min(granted[i].GetTokens(), w.GetWaiting()+w.GetSpare())), next, l.maxWait(emptyPoolWait), now)
		for n, c := range h.waiters[:run+refused] {
			c <- n < run
		}
		h.waiters = slices.Delete(h.waiters, 0, run+refused)
		h.returned = max(0, h.returned-run-refused)
	}
}
