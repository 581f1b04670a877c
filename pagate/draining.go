package pagate

import (
	"net/http"

	"papayahead/paevent"
)

// observeDraining takes what a response says of its target's shutdown as soon as its header is read: long responses end late.
func (g *Gate) observeDraining(target string, born int64, header http.Header) {
	if v := header.Get(g.config.Headers.Draining); v == "" || v == "0" {
		return
	}
	g.balancerMutex.Lock()
	isNew := g.balancer.NoteDraining(target, born, g.config.Clock.Now())
	service := g.balancer.ServiceOf(target)
	if isNew {
		g.balancer.LeaveTarget(target, g.config.Clock.Now())
		g.wakeReleased()
	}
	g.balancerMutex.Unlock()
	if isNew && g.pushbackLines.Take(g.config.Clock.Now()) {
		g.record(paevent.TargetDraining{Target: target, Service: service, Born: born})
	}
}
