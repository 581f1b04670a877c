package pagate

import (
	"net/http"
	"strconv"
	"time"

	"papayahead/paevent"
	"papayahead/paproof"
	"papayahead/pasteer"
)

// Reasons for responses that the gate generates itself; pasteer defines further ones.
const (
	reasonNoConfig       = "NoConfiguration"
	reasonNoRoute        = "NoRoute"
	reasonTooLarge       = "TooLarge"
	reasonHeaderTooLarge = "HeaderTooLarge"
	reasonBadBody        = "BodyUnreadable"
	reasonTargetLost     = "TargetLost"
	reasonDeadline       = "DeadlinePassed"
	reasonShuttingDown   = "ShuttingDown"
	reasonAttemptsSpent  = "AttemptsSpent"
	reasonClientGone     = "CallerGone"
	reasonAnswerCut      = "AnswerCut"
	reasonBehindOthers   = "BehindOthers"
	reasonNoCredential   = "NoCredential"
	reasonMalformedKey   = "CredentialMalformed"
	reasonUnknownKey     = "KeyUnknown"
	reasonStale          = "ConfigurationStale"
	reasonNoCommonRegion = "NoCommonRegion"
	reasonRateLimit      = "RateLimit"
	reasonBehindConfig   = "BehindConfiguration"
	reasonBadRelayCall   = "RelayCallUnreadable"
	reasonEndsTargets    = "EndsTargets"
	reasonSuspected      = "Suspected"
	reasonBuffersFull    = "BuffersFull"
	reasonNoRoom         = "NoRoomForConnection"
	reasonUnproven       = "UnprovenRefusal"

	reasonUnknownWorkspace = "WorkspaceUnknown"
)

const (
	// retryAfterNoConfig applies at an entry VM that has no configuration yet.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryAfterTargetsFull applies when all targets that were tried were full: a slot frees up within the run
	// time of a warm request.
	retryAfterTargetsFull = 300 * time.Millisecond
	// retryAfterShedWithRoom applies when targets shed the request although they had free slots, so that a retry
	// is likely to succeed at once.
	retryAfterShedWithRoom = 30 * time.Millisecond
	// retryAfterShutdown sends clients of a process that shuts down to another entry VM at once.
	retryAfterShutdown = 50 * time.Millisecond
	// retryAfterBehindOthers applies to a request whose deadline passed while it waited behind others on its
	// connection.
	retryAfterBehindOthers = 30 * time.Millisecond
	// retryAfterNoRoom applies when all connections that clients may hold have requests: one ends, or is closed, within a run.
	retryAfterNoRoom = 300 * time.Millisecond
	// retryAfterJitter is the fraction by which a Retry-After is lengthened at random at most, so that clients
	// that were refused together do not return together.
	retryAfterJitter = 0.5
)

// answerNoTarget responds to a request for which the balancer found no target.
func (g *Gate) answerNoTarget(w http.ResponseWriter, x *exchange, c pasteer.Choice) {
	switch {
	case x.failedReply != nil:
		g.writeReply(w, x, attemptResult{reply: x.failedReply, outcome: pasteer.Failed})
	default:
		g.refuse(w, x, string(c.Reason), c.RetryAfter)
	}
}

// answerLastFailure responds to a request whose last attempt got no reply. room says that the last target shed the
// request although it had free slots.
func (g *Gate) answerLastFailure(w http.ResponseWriter, x *exchange, r attemptResult, room bool) {
	switch {
	case x.failedReply != nil:
		g.writeReply(w, x, attemptResult{reply: x.failedReply, outcome: pasteer.Failed})
	case !x.sends.MayHaveRun() && g.requestsCtx.Err() != nil:
		// Another entry VM that handed the request over may still send it.
		g.refuse(w, x, reasonShuttingDown, retryAfterShutdown)
	case !x.sends.MayHaveRun() && room:
		g.refuse(w, x, reasonAttemptsSpent, retryAfterShedWithRoom)
	case !x.sends.MayHaveRun():
		g.refuse(w, x, reasonAttemptsSpent, retryAfterTargetsFull)
	case r.outcome == pasteer.Abandoned && g.requestsCtx.Err() != nil:
		g.writeError(w, x, http.StatusGatewayTimeout, reasonShuttingDown)
	case r.outcome == pasteer.Abandoned:
		g.writeError(w, x, http.StatusGatewayTimeout, reasonDeadline)
	default:
		g.writeError(w, x, http.StatusBadGateway, reasonTargetLost)
	}
}

// writeReply passes the target's reply on to the client.
func (g *Gate) writeReply(w http.ResponseWriter, x *exchange, r attemptResult) {
	p := r.reply
	if !x.sends.PassesOn(p.status) {
		g.replaceReply(w, x, p)
		return
	}
	g.beginResponse(w, x, len(p.body))
	h := w.Header()
	for name, values := range p.header {
		h[name] = values
	}
	switch {
	case x.method == http.MethodHead || p.status == http.StatusNotModified:
		// The length, if there is one, is that of another response's body.
	case p.rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(p.body)))
	case p.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(p.length, 10))
	}
	g.markRelayed(w, x, relayReply{Outcome: relayAnswered})
	defer g.boundUnread(x)()
	sendsOn := p.sendsOn(x)
	g.beginBeside(w, x, sendsOn)
	w.WriteHeader(p.status)
	_, err := w.Write(p.body)
	if p.rest != nil && err == nil {
		err = g.copyRest(w, p.rest)
		if p.onEnd != nil && (err == nil || p.rest.failed) {
			p.onEnd(err == nil)
		}
	}
	g.finishReply(w, x, p, sendsOn, err)
}

// finishReply ends what a reply holds after it was written, or failed to be with err.
func (g *Gate) finishReply(w http.ResponseWriter, x *exchange, p *reply, sendsOn bool, err error) {
	ended := true
	switch {
	case sendsOn && err == nil && x.unbuffered == nil:
		// The rest of the body is in memory, so that the client's next request need not wait for it.
		p.delivered()
		go func() {
			g.awaitSent(x)
			p.done(true)
		}()
	case sendsOn && err == nil:
		ended = http.NewResponseController(w).Flush() == nil
		if ended {
			p.delivered()
			ended = g.awaitSent(x)
		}
		p.done(true)
	case p.done != nil:
		p.done(err == nil)
	}
	if err != nil && p.rest != nil {
		g.recordEnd(x, p.status, reasonAnswerCut)
		if x.unframed {
			x.lane.Reset()
		}
		panic(http.ErrAbortHandler)
	}
	g.recordEnd(x, p.status, "")
	if !ended {
		panic(http.ErrAbortHandler) // What is left of the body must not pass for a request.
	}
	if x.bodyBeside() {
		g.endBody(w, x)
	}
}

// refuse responds 503 with a Retry-After to a request that has not run, and 502 if that is not proved. retryAfter is extended by the
// jitter unless it is reserved.
func (g *Gate) refuse(w http.ResponseWriter, x *exchange, reason string, retryAfter time.Duration) {
	g.refuseWithStatus(w, x, http.StatusServiceUnavailable, reason, retryAfter)
}

// refuseWithStatus is refuse with another status code. It returns the request's rate limit token.
func (g *Gate) refuseWithStatus(w http.ResponseWriter, x *exchange, status int, reason string, retryAfter time.Duration) {
	proof := x.sends.Close()
	if !proof.Proved() {
		g.writeError(w, x, http.StatusBadGateway, reason)
		return
	}
	g.quotas.returnToken(x)
	g.markRelayed(w, x, relayReply{
		Outcome: relayNotRun, Reason: reason, RetryMicroseconds: retryAfter.Microseconds(), Elsewhere: g.saidElsewhere(x, reason),
	})
	factor := 1.0
	if !x.reserved {
		factor += retryAfterJitter * g.random()
	}
	seconds := retryAfter.Seconds() * factor
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	g.writeOwn(w, x, status, reason, proof)
}

// writeError writes a response of the gate's own to a request that may have run, or must not be sent again.
func (g *Gate) writeError(w http.ResponseWriter, x *exchange, status int, reason string) {
	g.markRelayed(w, x, relayReply{Outcome: relayUnknown, Reason: reason})
	g.writeOwn(w, x, status, reason, paproof.NotRun{})
}

// writeOwn writes a response of the gate's own, with the reason as its body. A status that promises that the request has not run needs
// the proof, or it is replaced.
func (g *Gate) writeOwn(w http.ResponseWriter, x *exchange, status int, reason string, proof paproof.NotRun) {
	if paproof.IsPromise(status) && !proof.Proved() {
		status = http.StatusBadGateway
	}
	g.beginResponse(w, x, 0)
	if x.id != "" {
		w.Header().Set(g.config.Headers.RequestID, x.id)
	}
	g.beginBeside(w, x, false)
	http.Error(w, reason, status)
	g.recordEnd(x, status, reason)
	if x.bodyBeside() {
		g.endBody(w, x)
	}
}

// recordEnd counts the end of a request and logs it. Log lines on refusals and failures are bounded by endLog; of
// other requests one in servedLogInterval is logged.
func (g *Gate) recordEnd(x *exchange, status int, reason string) {
	elapsed := g.config.Clock.Since(x.arrived)
	route, priority := "", 0
	if x.route != nil {
		route, priority = x.route.Name, x.priority()
	}
	from := ""
	if x.relayed != nil {
		from = x.relayed.From
		g.meter.relayedFor.Inc()
	} else {
		g.meter.countRequest(route, status, reason, elapsed, x.pipelineWait)
		if x.returned {
			g.meter.countReturned(status)
		}
	}
	if reason == "" && status < http.StatusInternalServerError {
		if !g.meter.sampleServed() {
			return
		}
	} else if !g.endLog.Take(g.config.Clock.Now()) {
		g.meter.unloggedEnds.Inc()
		return
	}
	s := g.state.Load()
	g.record(paevent.RequestEnded{
		Subject: paevent.Subject{Request: x.id, Service: x.service}, Route: route, Status: status, Reason: reason,
		Workspace: x.workspaceName(), Target: x.lastChoice.Target, Object: x.object,
		Tried: len(x.tried), Sheds: x.sheds, Relays: x.relays, From: from, Failure: string(x.lastFailure), Version: x.version, Microseconds: elapsed.Microseconds(),
		Load: x.lastChoice.Load, Warm: x.lastChoice.Warm, Held: x.lastChoice.Held, BehindMicroseconds: x.pipelineWait.Microseconds(),
		LimitMicroseconds: x.limitWait.Microseconds(), Priority: priority, RoomMicroseconds: x.roomWait.Microseconds(), Overtaken: x.overtaken,
		KnownMilliseconds: g.age(s).Milliseconds(), Revision: uint64(s.revision),
	})
}
