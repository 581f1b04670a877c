package pagate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"papayahead/paevent"
	"papayahead/pasteer"
)

// The reasons of answers of the gate's own, beside those of pasteer.
const (
	reasonNoConfig  = "NoConfiguration"
	reasonNoRoute   = "NoRoute"
	reasonTooLarge  = "TooLarge"
	reasonHeaderTooLarge    = "HeaderTooLarge"
	reasonBadBody   = "BodyUnreadable"
	reasonTargetLost      = "TargetLost"
	reasonDeadline  = "DeadlinePassed"
	reasonShuttingDown   = "ShuttingDown"
	reasonAttemptsSpent  = "AttemptsSpent"
	reasonCallerGone      = "CallerGone"
	reasonAnswerCut = "AnswerCut"
	reasonBehindOthers    = "BehindOthers"
	reasonNoCredential     = "NoCredential"
	reasonMalformedKey    = "CredentialMalformed"
	reasonUnknownKey       = "KeyUnknown"
	reasonStale     = "ConfigurationStale"
	reasonNoCommonRegion   = "NoCommonRegion"
	reasonRateLimit     = "RateLimit"
)

const (
	// retryAfterNoConfig is when a caller should try again at an entry VM that has no configuration yet.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryAfterTargetsFull is when a caller should try again whose request found full targets only: a slot
	// comes free within a warm run.
	retryAfterTargetsFull = 300 * time.Millisecond
	// retryAfterShedWithRoom sends a caller back at once to targets that turned it away though they had room.
	retryAfterShedWithRoom = 30 * time.Millisecond
	// retryAfterShutdown sends callers of a process that shuts down to another one at once.
	retryAfterShutdown = 50 * time.Millisecond
	// retryAfterBehindOthers sends a caller back at once whose request waited behind others on its connection.
	retryAfterBehindOthers = 30 * time.Millisecond
	// retryAfterJitter is the part of a time to come back by which it varies, so that callers that were
	// refused together do not return together.
	retryAfterJitter = 0.5
)

// answerNoTarget answers a request for which there is no target.
func (g *Gate) answerNoTarget(w http.ResponseWriter, x *exchange, c pasteer.Choice) {
	switch {
	case x.failedReply != nil:
		g.writeReply(w, x, attemptResult{reply: x.failedReply, outcome: pasteer.Failed})
	case x.mayHaveExecuted:
		g.writeError(w, x, http.StatusBadGateway, string(c.Reason))
	default:
		g.refuse(w, x, string(c.Reason), c.ComeBack)
	}
}

// answerLastFailure answers a request whose last attempt brought no answer.
func (g *Gate) answerLastFailure(w http.ResponseWriter, x *exchange, r attemptResult, room bool) {
	switch {
	case x.failedReply != nil:
		g.writeReply(w, x, attemptResult{reply: x.failedReply, outcome: pasteer.Failed})
	case !x.mayHaveExecuted && room:
		g.refuse(w, x, reasonAttemptsSpent, retryAfterShedWithRoom)
	case !x.mayHaveExecuted:
		g.refuse(w, x, reasonAttemptsSpent, retryAfterTargetsFull)
	case r.outcome == pasteer.Abandoned && g.requests.Err() != nil:
		g.writeError(w, x, http.StatusGatewayTimeout, reasonShuttingDown)
	case r.outcome == pasteer.Abandoned:
		g.writeError(w, x, http.StatusGatewayTimeout, reasonDeadline)
	default:
		g.writeError(w, x, http.StatusBadGateway, reasonTargetLost)
	}
}

// writeReply passes the target's writeReply on.
func (g *Gate) writeReply(w http.ResponseWriter, x *exchange, r attemptResult) {
	p := r.reply
	g.beginResponse(w, x, len(p.body))
	h := w.Header()
	for name, values := range p.header {
		h[name] = values
	}
	if p.rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(p.body)))
	} else if p.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(p.length, 10))
	}
	w.WriteHeader(p.status)
	_, err := w.Write(p.body)
	if p.rest != nil && err == nil {
		_, err = io.Copy(w, p.rest)
		p.done(err == nil)
	}
	if err != nil && p.rest != nil {
		g.recordEnd(x, p.status, reasonAnswerCut)
		panic(http.ErrAbortHandler)
	}
	g.recordEnd(x, p.status, "")
}

// refuse answers that the request has not run, and when to come back.
func (g *Gate) refuse(w http.ResponseWriter, x *exchange, reason string, comeBack time.Duration) {
	g.refuseWithStatus(w, x, http.StatusServiceUnavailable, reason, comeBack)
}

// refuseWithStatus is refuse with a status that says why.
func (g *Gate) refuseWithStatus(w http.ResponseWriter, x *exchange, status int, reason string, comeBack time.Duration) {
	g.quotas.returnToken(x)
	spread := 1 + retryAfterJitter*g.random()
	seconds := comeBack.Seconds() * spread
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	g.writeError(w, x, status, reason)
}

// writeError gives an answer of the gate's own.
func (g *Gate) writeError(w http.ResponseWriter, x *exchange, status int, reason string) {
	g.beginResponse(w, x, 0)
	if x.id != "" {
		w.Header().Set(g.config.Headers.RequestID, x.id)
	}
	http.Error(w, reason, status)
	g.recordEnd(x, status, reason)
}

// recordEnd logs and counts the end of a request; refusals and failures as far as there is room, and one in servedSample
// of the others.
func (g *Gate) recordEnd(x *exchange, status int, reason string) {
	took := g.config.Clock.Since(x.arrived)
	name := ""
	if x.route != nil {
		name = x.route.Name
	}
	g.meter.countRequest(name, status, reason, took, x.pipelineWait)
	if reason == "" && status < http.StatusInternalServerError {
		if !g.meter.sampleServed() {
			return
		}
	} else if !g.endLog.take(g.config.Clock.Now()) {
		g.meter.unloggedEnds.Inc()
		return
	}
	s := g.state.Load()
	g.record(paevent.RequestEnded{
		Subject: paevent.Subject{Request: x.id, Service: x.service}, Route: name, Status: status, Reason: reason,
		Workspace: x.workspaceName(), Target: x.lastChoice.Target, Object: x.object, Tried: len(x.tried), Version: x.version, Microseconds: took.Microseconds(),
		Load: x.lastChoice.Load, Warm: x.lastChoice.Warm, Held: x.lastChoice.Held, BehindMicroseconds: x.pipelineWait.Microseconds(),
		LimitMicroseconds: x.limitWait.Microseconds(),
		KnownMilliseconds: g.age(s).Milliseconds(), Revision: uint64(s.revision),
	})
}
