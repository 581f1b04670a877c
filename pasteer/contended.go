package pasteer

import (
	"slices"

	"papayahead/paroute"
)

// contended reports whether the mechanisms for scarce slots apply to the service: the settings say that callers compete for
// its slots, or its targets report how slow work is there at this moment.
func (b *Balancer) contended(svc *service) bool { return b.Config.Contended || svc.tellsSlowness }

// ContendedRoute is contended for any of the services of a route.
func (b *Balancer) ContendedRoute(r *paroute.Route) bool {
	return b.Config.Contended || slices.ContainsFunc(r.Parts, func(p paroute.WeightedService) bool {
		svc := b.services[p.Service]
		return svc != nil && b.contended(svc)
	})
}
