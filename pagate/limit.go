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
	// callIntervalPerEntry is the least time between two calls to the limiter for each entry VM of the deployment, so that it hears
	// about as many calls however many they are, and askLeast the least at all.
	callIntervalPerEntry  = 700 * time.Microsecond
	minCallInterval = 15 * time.Millisecond
	// spareCallInterval is the time between two calls for requests to come only.
	spareCallInterval = 60 * time.Millisecond
	// limiterWait is the longest that a request waits for the limiter: a call between regions, and the one before it.
	limiterWait = 350 * time.Millisecond
	// emptyPoolWait is how long it waits on for a limiter that has nothing: a refused caller takes longer to be back.
	emptyPoolWait = 150 * time.Millisecond
	// startPeriod is how long after its start requests wait longer: the shares are empty, and the limiter may have
	// started too.
	startPeriod = 2 * time.Second
	// callFailureBackoff is how long after a call that failed no request waits for the limiter.
	callFailureBackoff = 250 * time.Millisecond
	// restartClockMargin is how far the clocks of two lifetimes of a process may differ.
	restartClockMargin = time.Second
	// firstStartDelay is how long after the first start of an entry VM its shares stay empty: until all others know of it.
	firstStartDelay = 3 * time.Second
)

// rateShares are the own shares of rate rateShares.
type rateShares struct {
	gate *Gate
	// wakeUp wakes the calls to the limiter.
	wakeUp chan struct{}

	mutex  sync.Mutex
	shares map[string]*rateShare
	// fillFrom is the uptime fillFrom which shares fill; again says that they have something at once then.
	fillFrom  time.Duration
	restarted bool
	// failedAt is the uptime of the last call that failed, unless one succeeded since.
	failedAt time.Duration
}

// rateShare is the own rateShare of a workspace's limit and the requests that wait for more.
type rateShare struct {
	*paquota.Share
	// waiters hear whether they may run, in the order in which they came.
	waiters []chan bool
}

func newLimits(g *Gate) *rateShares {
	return &rateShares{
		gate: g, wakeUp: make(chan struct{}, 1), shares: map[string]*rateShare{}, fillFrom: g.startUptime + firstStartDelay, failedAt: longBeforeStart,
	}
}

// start takes the first state. An entry VM that is registered already has only started anew: the others count it, and
// if it ran for longer than a window before, its shares have something at once.
func (l *rateShares) start(s *state) {
	i := slices.IndexFunc(s.entries, func(e pafleet.Entry) bool { return e.Name == l.gate.self.Name })
	if i < 0 {
		return
	}
	ran := l.gate.self.RanAtLeast(s.entries[i])
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fillFrom, l.restarted = l.gate.startUptime, ran > l.gate.config.Settings.Quota.Window+restartClockMargin
}

// division divides a workspace's limit as this entry VM sees the deployment.
func (g *Gate) division(w *paroute.Workspace, s *state) paquota.Division {
	d := paquota.Divide(paquota.Limit{Rate: w.Rate, Burst: w.Burst}, g.config.Settings.Quota, s.fleetPeak)
	if !s.registered {
		// The others do not count this one.
		d.Share = paquota.Bucket{}
	}
	return d
}

// admit takes a token for the request, waiting for the limiter if need be, or returns when one may be there.
func (l *rateShares) admit(x *exchange, s *state) (comeBack time.Duration, ok bool) {
	w := x.workspace
	if w == nil || !w.Limited() {
		return 0, true
	}
	l.mutex.Lock()
	h := l.shareOf(w, s)
	now := l.gate.uptime()
	verdict := h.Take(now, l.reachable(now))
	if verdict == paquota.Refuse {
		defer l.mutex.Unlock()
		l.gate.meter.countLimited("Refused")
		return h.ComeBack(now), false
	}
	x.hasToken = true
	if verdict == paquota.Run {
		l.mutex.Unlock()
		l.gate.meter.countLimited("Own")
		return 0, true
	}
	granted := make(chan bool, 1)
	h.waiters = append(h.waiters, granted)
	l.mutex.Unlock()
	l.wake()
	return l.awaitGrant(x, h, granted)
}

// awaitGrant waits for the limiter's answer.
func (l *rateShares) awaitGrant(x *exchange, h *rateShare, granted chan bool) (comeBack time.Duration, ok bool) {
	patience := min(l.maxWait(limiterWait), x.deadline.Sub(l.gate.config.Clock.Now()))
	timer := l.gate.config.Clock.NewTimer(max(0, patience))
	defer timer.Stop()
	begun := l.gate.config.Clock.Now()
	defer func() { x.limitWait = l.gate.config.Clock.Since(begun) }()
	outcome := "Unanswered"
	select {
	case ok = <-granted:
		outcome = "Dry"
	case <-timer.Chan():
		ok = l.cancelWait(h, granted)
	case <-x.caller.Done():
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
	return h.ComeBack(l.gate.uptime()), false
}

// maxWait returns how long a request waits for a token, where it is usually a time.
//
// Load: all entry VMs lose power and come back under full load, with every bucket empty. Harm prevented: callers are
// refused in the first second, though a token would come within the next, and find the same when they are back.
func (l *rateShares) maxWait(usually time.Duration) time.Duration {
	if l.gate.uptime()-l.gate.startUptime < startPeriod {
		return startConfigWait
	}
	return usually
}

// cancelWait ends the wait of a request, and says whether it was granted in the same moment.
func (l *rateShares) cancelWait(h *rateShare, granted chan bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if i := slices.Index(h.waiters, granted); i >= 0 {
		h.waiters = slices.Delete(h.waiters, i, i+1)
		h.Leave()
		return false
	}
	return <-granted
}

// returnToken returns the token of a request that did not run.
func (l *rateShares) returnToken(x *exchange) {
	if !x.hasToken {
		return
	}
	x.hasToken = false
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if h := l.shares[x.workspace.Name]; h != nil {
		h.Return(l.gate.uptime())
	}
}

// shareOf returns the share of a workspace as the state divides it.
func (l *rateShares) shareOf(w *paroute.Workspace, s *state) *rateShare {
	division := l.gate.division(w, s)
	h := l.shares[w.Name]
	if h == nil {
		again := 0.0
		if l.restarted {
			again = division.Again
		}
		h = &rateShare{Share: paquota.NewShare(division.Share, again, l.gate.config.Settings.Quota, l.fillFrom)}
		l.shares[w.Name] = h
	}
	h.Set(division.Share, l.gate.uptime())
	return h
}

// reachable says whether the limiter is worth waiting for.
func (l *rateShares) reachable(now time.Duration) bool { return now-l.failedAt > callFailureBackoff }

// wake makes the next call to the limiter come as soon as it may.
func (l *rateShares) wake() {
	select {
	case l.wakeUp <- struct{}{}:
	default:
	}
}

// run asks the limiter for what the shares want.
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
		if s.table == nil || !s.table.Limited() {
			continue
		}
		l.prune(s)
		wanted := l.wanted(s)
		if len(wanted) == 0 {
			continue
		}
		begun := g.uptime()
		granted, err := g.limiter.takeTokens(ctx, s, wanted)
		if g.uptime()-begun > paquota.CallTime {
			granted = nil
		}
		l.distribute(wanted, granted, err)
		g.sleep(ctx, max(minCallInterval, time.Duration(s.fleetPeak)*callIntervalPerEntry))
	}
}

// prune drops the shares of workspaces that are gone or have no limit any more.
func (l *rateShares) prune(s *state) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, h := range l.shares {
		if w := s.table.Workspace(name); (w == nil || !w.Limited()) && len(h.waiters) == 0 {
			delete(l.shares, name)
		}
	}
}

// wanted returns what to ask for.
func (l *rateShares) wanted(s *state) []*pawire.Wanted {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.gate.uptime()
	var all []*pawire.Wanted
	for name, h := range l.shares {
		if w := s.table.Workspace(name); w != nil {
			h.Set(l.gate.division(w, s).Share, now)
		}
		if n := h.Wanted(now); n.Waiting+n.Spare > 0 {
			all = append(all, &pawire.Wanted{Workspace: name, Waiting: uint32(n.Waiting), Spare: uint32(n.Spare)})
		}
	}
	return all
}

// distribute hands out what the limiter gave; where it gave no answer, requests wait on until their patience ends.
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
		run, refused := h.Granted(int(min(granted[i].GetTokens(), w.GetWaiting()+w.GetSpare())), next, l.maxWait(emptyPoolWait), now)
		for n, c := range h.waiters[:run+refused] {
			c <- n < run
		}
		h.waiters = slices.Delete(h.waiters, 0, run+refused)
	}
}
