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
	reasonHeader    = "HeaderTooLarge"
	reasonBadBody   = "BodyUnreadable"
	reasonLost      = "TargetLost"
	reasonDeadline  = "DeadlinePassed"
	reasonLeaving   = "ShuttingDown"
	reasonAttempts  = "AttemptsSpent"
	reasonGone      = "CallerGone"
	reasonCutAnswer = "AnswerCut"
	reasonBehind    = "BehindOthers"
	reasonNoKey     = "NoCredential"
	reasonBadKey    = "CredentialMalformed"
	reasonKey       = "KeyUnknown"
	reasonStale     = "ConfigurationStale"
	reasonRegions   = "NoCommonRegion"
	reasonLimit     = "RateLimit"
)

const (
	// comeBackNoConfig is when a caller should try again at an entry VM that has no configuration yet.
	comeBackNoConfig = 300 * time.Millisecond
	// comeBackAttempts is when a caller should try again whose request found full targets only: a slot
	// comes free within a warm run.
	comeBackAttempts = 300 * time.Millisecond
	// comeBackRoom sends a caller back at once to targets that turned it away though they had room.
	comeBackRoom = 30 * time.Millisecond
	// comeBackLeaving sends callers of a process that shuts down to another one at once.
	comeBackLeaving = 50 * time.Millisecond
	// comeBackBehind sends a caller back at once whose request waited behind others on its connection.
	comeBackBehind = 30 * time.Millisecond
	// comeBackSpread is the part of a time to come back by which it varies, so that callers that were
	// refused together do not return together.
	comeBackSpread = 0.5
)

// unplaced answers a request for which there is no target.
func (g *Gate) unplaced(w http.ResponseWriter, x *exchange, c pasteer.Choice) {
	switch {
	case x.failed != nil:
		g.answer(w, x, result{reply: x.failed, outcome: pasteer.Failed})
	case x.mayHaveRun:
		g.answerOwn(w, x, http.StatusBadGateway, string(c.Reason))
	default:
		g.refuse(w, x, string(c.Reason), c.RetryAfter)
	}
}

// giveUp answers a request whose last attempt brought no answer.
func (g *Gate) giveUp(w http.ResponseWriter, x *exchange, r result, room bool) {
	switch {
	case x.failed != nil:
		g.answer(w, x, result{reply: x.failed, outcome: pasteer.Failed})
	case !x.mayHaveRun && room:
		g.refuse(w, x, reasonAttempts, comeBackRoom)
	case !x.mayHaveRun:
		g.refuse(w, x, reasonAttempts, comeBackAttempts)
	case r.outcome == pasteer.Abandoned && g.ending.Err() != nil:
		g.answerOwn(w, x, http.StatusGatewayTimeout, reasonLeaving)
	case r.outcome == pasteer.Abandoned:
		g.answerOwn(w, x, http.StatusGatewayTimeout, reasonDeadline)
	default:
		g.answerOwn(w, x, http.StatusBadGateway, reasonLost)
	}
}

// answer passes the target's answer on.
func (g *Gate) answer(w http.ResponseWriter, x *exchange, r result) {
	p := r.reply
	g.beginAnswer(w, x, len(p.body))
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
		g.ended(x, p.status, reasonCutAnswer)
		panic(http.ErrAbortHandler)
	}
	g.ended(x, p.status, "")
}

// refuse answers that the request has not run, and when to come back.
func (g *Gate) refuse(w http.ResponseWriter, x *exchange, reason string, comeBack time.Duration) {
	g.refuseAs(w, x, http.StatusServiceUnavailable, reason, comeBack)
}

// refuseAs is refuse with a status that says why.
func (g *Gate) refuseAs(w http.ResponseWriter, x *exchange, status int, reason string, comeBack time.Duration) {
	g.limits.giveBack(x)
	spread := 1 + comeBackSpread*g.random()
	seconds := comeBack.Seconds() * spread
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	g.answerOwn(w, x, status, reason)
}

// answerOwn gives an answer of the gate's own.
func (g *Gate) answerOwn(w http.ResponseWriter, x *exchange, status int, reason string) {
	g.beginAnswer(w, x, 0)
	if x.id != "" {
		w.Header().Set(g.config.Headers.RequestID, x.id)
	}
	http.Error(w, reason, status)
	g.ended(x, status, reason)
}

// ended logs and counts the end of a request; refusals and failures as far as there is room, and one in servedSample
// of the others.
func (g *Gate) ended(x *exchange, status int, reason string) {
	took := g.config.Clock.Since(x.arrived)
	name := ""
	if x.route != nil {
		name = x.route.Name
	}
	g.meter.request(name, status, reason, took, x.behind)
	if reason == "" && status < http.StatusInternalServerError {
		if !g.meter.sample() {
			return
		}
	} else if !g.ends.take(g.config.Clock.Now()) {
		g.meter.unlogged.Inc()
		return
	}
	s := g.state.Load()
	g.record(paevent.RequestEnded{
		Subject: paevent.Subject{Request: x.id, Service: x.service}, Route: name, Status: status, Reason: reason,
		Workspace: x.workspaceName(), Target: x.last.Target, Object: x.object, Tried: len(x.tried), Version: x.version, Microseconds: took.Microseconds(),
		Load: x.last.Load, Warm: x.last.Warm, Held: x.last.Held, BehindMicroseconds: x.behind.Microseconds(),
		LimitMicroseconds: x.limited.Microseconds(),
		KnownMilliseconds: g.age(s).Milliseconds(), Revision: uint64(s.revision),
	})
}
