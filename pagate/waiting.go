package pagate

import (
	"context"
	"net/http"
	"time"

	"papayahead/paroute"
	"papayahead/pasteer"
)

// waitingRequest is a request to a contended service. left is closed once its wait is over.
type waitingRequest struct {
	pasteer.Waiter
	x    *exchange
	left chan struct{}
}

// chooseOrWait picks the target of the next attempt of a request to a contended service. It returns once there is a free slot for the
// request at a target, or it is refused.
func (g *Gate) chooseOrWait(ctx context.Context, x *exchange) pasteer.Choice {
	began := g.config.Clock.Now()
	w := &waitingRequest{x: x, left: make(chan struct{})}
	w.Request, w.Bytes, w.Arrived = x.balancerRequest(), int64(len(x.buffered)), x.arrived
	if x.workspace != nil {
		w.Workspace = x.workspace.Name
	}
	if recheck, waits := g.admitToRoom(w, began); waits {
		g.awaitChoice(ctx, w, recheck)
		x.roomWait += g.config.Clock.Since(began)
		x.overtaken += w.Overtaken()
		g.meter.countWait(x.priority(), g.config.Clock.Since(began), w.Overtaken())
	}
	c := w.decision()
	x.lastChoice = c
	g.meter.countChoice(c)
	if c.Target == "" {
		g.meter.countRoomRefusal(x.priority(), string(c.Reason))
		if x.clientCtx.Err() != nil {
			if !x.sends.MayHaveRun() {
				g.quotas.returnToken(x)
			}
			g.recordEnd(x, 0, reasonClientGone)
			panic(http.ErrAbortHandler)
		}
	}
	return c
}

// decision returns the choice once the wait is over. A request that only this process had no time for says so, since another entry VM
// may still serve it.
func (w *waitingRequest) decision() pasteer.Choice {
	c := w.Choice
	if c.Reason == pasteer.ReasonTooLate && w.Request.Deadline.Before(w.x.deadline) {
		c.Reason, c.RetryAfter = pasteer.Reason(reasonShuttingDown), retryAfterShutdown
	}
	return c
}

// admitToRoom decides on a request that arrives. If it waits, it returns when to choose a target anew.
func (g *Gate) admitToRoom(w *waitingRequest, now time.Time) (recheck time.Duration, waits bool) {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	defer g.wakeReleased()
	if !g.balancer.Admit(&w.Waiter, now) {
		return 0, false
	}
	g.waiting[&w.Waiter] = w
	g.limitByShutdown(w, now)
	return g.balancer.RecheckAfter(&w.Waiter, now), true
}

// awaitChoice returns once the wait is over: by another request's end, by a choice made anew, or as ctx is done.
func (g *Gate) awaitChoice(ctx context.Context, w *waitingRequest, recheck time.Duration) {
	for {
		select {
		case <-w.left:
			return
		case <-g.config.Clock.After(recheck):
			recheck = g.recheckWaiting(w)
		case <-ctx.Done():
			g.withdraw(w)
			return
		}
	}
}

// recheckWaiting chooses a target anew, and returns when to do so again.
func (g *Gate) recheckWaiting(w *waitingRequest) time.Duration {
	now := g.config.Clock.Now()
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	defer g.wakeReleased()
	g.limitByShutdown(w, now)
	g.balancer.Recheck(&w.Waiter, now)
	if !w.Waits() {
		return 0
	}
	return g.balancer.RecheckAfter(&w.Waiter, now)
}

// withdraw ends the wait of a request whose caller left, or that this process has no time for.
func (g *Gate) withdraw(w *waitingRequest) {
	reason := pasteer.Reason(reasonShuttingDown)
	if w.x.clientCtx.Err() != nil {
		reason = reasonClientGone
	}
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	defer g.wakeReleased()
	g.balancer.Withdraw(&w.Waiter, reason, g.config.Clock.Now())
}

// wakeReleased wakes the requests whose wait ended. The balancerMutex must be held.
func (g *Gate) wakeReleased() {
	for _, r := range g.balancer.Released() {
		if w := g.waiting[r]; w != nil {
			delete(g.waiting, r)
			close(w.left)
		}
	}
}

// limitByShutdown has a request refused that would be sent too late to complete before a process that shuts down ends: its caller
// is told in time that it has not run. The balancerMutex must be held.
func (g *Gate) limitByShutdown(w *waitingRequest, now time.Time) {
	if g.shuttingDown.Load() {
		since := time.Duration(now.UnixNano() - g.shutdownAt.Load())
		g.balancer.SetDeadline(&w.Waiter, now.Add(g.config.Settings.GracePeriod-killMargin-cancelMargin-since))
	}
}

// limitWaiting is limitByShutdown for all requests that wait when a shutdown begins: the next slot may be free before their recheck.
func (g *Gate) limitWaiting() {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	now := g.config.Clock.Now()
	for _, w := range g.waiting {
		g.limitByShutdown(w, now)
	}
}

// updateWaiting applies a new configuration to the requests that wait. The balancerMutex must be held.
func (g *Gate) updateWaiting(t *paroute.Table) {
	for _, w := range g.waiting {
		g.balancer.SetPriority(&w.Waiter, priorityIn(t, w.x))
	}
}

// priorityIn returns the urgency of a request by a configuration; one whose route is missing there keeps its own.
func priorityIn(t *paroute.Table, x *exchange) int {
	if name := x.workspaceName(); name != "" {
		if w := t.Workspace(name); w != nil && w.Priority != nil {
			return *w.Priority
		}
	}
	for n := range t.Config.Routes {
		if t.Config.Routes[n].Name == x.route.Name {
			return t.Config.Routes[n].Priority
		}
	}
	return x.priority()
}

// priority returns the urgency of the request: of its workspace if that has one, else of its route.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.Priority != nil {
		return *x.workspace.Priority
	}
	return x.route.Priority
}
