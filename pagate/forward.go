package pagate

import (
	"context"
	"net/http"

	"papayahead/pasteer"
)

// forward sends the request to targets until one responds, and writes the response.
func (g *Gate) forward(ctx context.Context, w http.ResponseWriter, x *exchange) {
	var a attempts
	for {
		c := g.choose(ctx, x)
		switch {
		case c.Target == "" && a.room && c.Reason == pasteer.ReasonNoTarget:
			g.answerLastFailure(w, x, a.last, true)
			return
		case c.Target == "":
			g.answerNoTarget(w, x, c)
			return
		case c.Relay:
			if g.forwardToRelay(ctx, w, x) {
				return
			}
			continue
		}
		sent := g.config.Clock.Now()
		r := g.send(ctx, x, c)
		g.reportAttempt(x, r)
		g.noteOutcome(x, c, r, sent)
		if g.finishAttempt(w, x, c, r, &a) {
			return
		}
	}
}

// attempts are those of one request at targets.
type attempts struct {
	// unsent is how many ended before anything was sent, sheds how often the request was sent to a target again that had turned it away.
	unsent, sheds int
	// last is the result of the latest one; room says that its target turned the request away although it had free slots.
	last attemptResult
	room bool
}

// finishAttempt handles the result of an attempt, and reports whether the client has its response.
func (g *Gate) finishAttempt(w http.ResponseWriter, x *exchange, c pasteer.Choice, r attemptResult, a *attempts) (responded bool) {
	switch {
	case r.reply != nil && !g.takeRetry(x, r):
		g.writeReply(w, x, r)
		return true
	case x.clientCtx.Err() != nil:
		g.recordEnd(x, 0, reasonClientGone)
		panic(http.ErrAbortHandler)
	}
	if r.reply != nil {
		x.failedReply = r.reply
	}
	if r.isUnsent() {
		if a.unsent++; a.unsent < maxUnsent {
			if r.outcome == pasteer.Refused {
				x.unreached = append(x.unreached, c.Target)
			}
			return false
		}
	}
	if r.outcome == pasteer.Shed {
		x.sheds++
	}
	var again bool
	a.last = r
	a.room, again = g.shedWithRoom(c, r)
	if r.reply == nil && (again && a.sheds >= maxSheds || !g.takeRetry(x, r)) {
		g.answerLastFailure(w, x, r, a.room)
		return true
	}
	if again {
		a.sheds++
		return false
	}
	x.tried = append(x.tried, c.Target)
	return false
}

// isUnsent reports whether nothing of the request reached the target.
func (r *attemptResult) isUnsent() bool {
	return r.outcome == pasteer.Refused || r.outcome == pasteer.Withheld
}

// maxUnsent is how many targets are tried that refuse the connection, or want no requests once it is open. Nothing reached them, so
// that they do not count as attempts; in a zone that has just failed, a service has a handful of targets.
const maxUnsent = 4

// maxSheds is how many times a request is sent again to a target that shed it although it had free slots.
const maxSheds = 2

// shedWithRoom reports whether a target shed the request although it had free slots, and whether to send it there again: another
// target would be cold for the object, and this one is as likely to accept the next attempt unless it turns all away.
func (g *Gate) shedWithRoom(c pasteer.Choice, r attemptResult) (room, again bool) {
	if r.report.PushedBack {
		return false, false
	}
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	room = g.balancer.ShedWithFreeSlot(r.report)
	return room, room && !g.balancer.PrefersAnother(c, g.config.Clock.Now())
}

// choose picks the target of the next attempt. For a contended service it may wait until there is a place.
func (g *Gate) choose(ctx context.Context, x *exchange) pasteer.Choice {
	now := g.config.Clock.Now()
	g.balancerMutex.Lock()
	if g.balancer.Contended(x.service) {
		g.balancerMutex.Unlock()
		return g.chooseOrWait(ctx, x)
	}
	defer g.balancerMutex.Unlock()
	q := x.balancerRequest()
	c := g.balancer.Choose(q, now)
	x.lastChoice = c
	g.meter.countChoice(c)
	if c.Target != "" && !c.Relay {
		g.balancer.Start(c, q, now)
	}
	return c
}

// balancerRequest describes the request to the balancer.
func (x *exchange) balancerRequest() pasteer.Request {
	return pasteer.Request{
		Route: x.route, Service: x.service, Object: x.object, Tried: x.tried, Unreached: x.unreached, Deadline: x.deadline,
		Regions: x.allowedRegions(), Avoid: x.avoid, Direct: x.direct, Priority: x.priority(), NoSender: x.noSender(),
	}
}

// pickService returns the service of the route that handles the request.
func (g *Gate) pickService(x *exchange) string {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	return g.balancer.PickService(x.route, x.arrived)
}

// reportAttempt reports the outcome of an attempt to the balancer.
func (g *Gate) reportAttempt(x *exchange, r attemptResult) {
	now := g.config.Clock.Now()
	unreached := r.outcome == pasteer.Refused || r.report.Unreached
	var peers []pasteer.Peer
	if unreached {
		g.notePathFailure(x.service, r.failure)
		defer g.wakePathWatch()
		peers = g.relayPeers()
	}
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	if unreached {
		g.balancer.UpdatePeers(peers, now)
	}
	x.lastFailure = r.failure
	g.balancer.Finish(r.report, now)
	g.wakeReleased()
	g.meter.countAttempt(r.outcome, r.failure)
	if changes := g.balancer.LimitChanges(); len(changes) > 0 {
		defer g.limitsChanged(changes)
	}
}

// takeRetry reports whether the request may be sent again, and charges the retry budget. Only a request that is
// idempotent, or was not executed, is sent again, and only if its body is held in memory.
func (g *Gate) takeRetry(x *exchange, r attemptResult) bool {
	if r.reply != nil && r.outcome == pasteer.Answered {
		return false
	}
	if x.relayed != nil && !r.proof.Proved() {
		// The entry VM that received the request decides: if this one were lost, that one could not count two attempts.
		return false
	}
	if x.unbuffered != nil || r.outcome == pasteer.Abandoned || !x.route.Idempotent && !r.proof.Proved() {
		return false
	}
	if len(x.tried)+1 >= x.route.MaxAttempts || !r.proof.Proved() && !g.mayRepeat(x) {
		return false
	}
	now := g.config.Clock.Now()
	if x.deadline.Sub(now) < x.route.TargetLatency/retryLatencyDivisor {
		return false
	}
	return g.retryAllowed(x, now)
}

// retryLatencyDivisor is the divisor of a route's target latency that yields the time that must be left for another
// attempt; a warm request takes about that long.
const retryLatencyDivisor = 3
