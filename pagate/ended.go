package pagate

import (
	"context"
	"net/netip"
	"time"

	"papayahead/paconn"
	"papayahead/paevent"
	"papayahead/paquarantine"
	"papayahead/pasteer"
)

// endCheckTimeout bounds the connection that tells whether a target has ended: a few round trips of 70 ms.
const endCheckTimeout = 400 * time.Millisecond

// noteOutcome records what an attempt tells of whether its target has ended. Of a response that is passed on while it is read
// that is known at its end.
func (g *Gate) noteOutcome(x *exchange, c pasteer.Choice, r attemptResult, sent time.Time) {
	switch {
	case r.outcome == pasteer.Lost && (r.failure == paconn.FailureReset || r.failure == paconn.FailureClosed):
		g.noteLoss(x, c, sent)
	case r.reply != nil && r.reply.rest != nil:
		r.reply.onEnd = func(whole bool) {
			if whole {
				g.noteAnswered(x, c, r)
			} else {
				g.noteLoss(x, c, sent)
			}
		}
	default:
		g.noteAnswered(x, c, r)
	}
}

// noteLoss records that the connection of an attempt ended without a complete response. Whether the target has ended is
// told by another connection: one broken response, a planned close or a path that fails leave the target as it is.
func (g *Gate) noteLoss(x *exchange, c pasteer.Choice, sent time.Time) {
	l := paquarantine.Loss{
		Request: x.contentFingerprint(), Resource: x.content().Resource(), Target: paquarantine.Lifetime{Target: c.Target, Born: c.Born},
		Sent: sent, Ended: g.config.Clock.Now(),
	}
	start, ended := g.endChecks.Add(l)
	if start {
		go g.checkEnd(g.requestsCtx, x.service, l.Target, c.Address)
	}
	if ended {
		g.recordLosses(l)
	}
}

// checkEnd finds out whether a target has ended: then it refuses connections.
func (g *Gate) checkEnd(ctx context.Context, service string, t paquarantine.Lifetime, address netip.AddrPort) {
	begun := g.config.Clock.Now()
	conn, err := g.conns.Connect(ctx, address, t.Target, t.Born, endCheckTimeout)
	if err == nil {
		g.conns.Put(conn)
	}
	ended := err != nil && paconn.DialFailure(ctx, err) == paconn.FailureDialRefused
	losses := g.endChecks.Finish(t, ended)
	if !ended {
		return
	}
	g.meter.targetEnds.Inc()
	e := paevent.TargetEnded{
		Target: t.Target, Born: t.Born, Service: service, Milliseconds: g.config.Clock.Since(begun).Milliseconds(),
	}
	for _, l := range losses {
		e.Requests = append(e.Requests, l.Resource.String())
	}
	g.record(e)
	g.recordLosses(losses...)
}

// content is what makes the request the same as another try of its caller.
func (x *exchange) content() paquarantine.Content {
	return paquarantine.Content{
		Method: x.method, Host: x.host, URI: x.uri, Workspace: x.workspaceName(), Body: x.buffered,
	}
}

// contentFingerprint returns the digest of the content, which is computed only while or when a target ends.
func (x *exchange) contentFingerprint() paquarantine.Fingerprint {
	if x.fingerprint == (paquarantine.Fingerprint{}) {
		x.fingerprint = x.content().Fingerprint()
	}
	return x.fingerprint
}
