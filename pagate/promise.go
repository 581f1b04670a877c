package pagate

import (
	"net/http"
	"slices"

	"papayahead/paevent"
	"papayahead/pasteer"
)

// promises are the statuses that tell a client that its request has not run and never will.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// promisesNotRun reports whether a status tells a client that its request has not run and never will.
func promisesNotRun(status int) bool { return slices.Contains(promises, status) }

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
