package pagate

import (
	"net/http"

	"papayahead/paevent"
	"papayahead/pasteer"
)

// noteUnproven counts and logs a response of a target whose status promises that the request did not run, though nothing else in it
// says so: the target may have run it.
func (g *Gate) noteUnproven(c pasteer.Choice, x *exchange, status int) {
	g.meter.unprovenRefusals(status).Inc()
	if !g.unprovenLines.Take(g.config.Clock.Now()) {
		return
	}
	g.record(paevent.TargetRefusalUnproven{
		Subject: paevent.Subject{Request: x.id, Service: x.service}, Target: c.Target, Status: status, Route: x.route.Name,
		Idempotent: x.route.Idempotent,
	})
}

// replaceReply responds 502 in place of a target's response whose status promises what is not proved. The target's stamp and its
// Retry-After belong to its status and go with it.
func (g *Gate) replaceReply(w http.ResponseWriter, x *exchange, p *reply) {
	if p.done != nil {
		p.done(false)
	}
	g.writeError(w, x, http.StatusBadGateway, reasonUnproven)
}
