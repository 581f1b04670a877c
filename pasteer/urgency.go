package pasteer

import (
	"time"

	"papayahead/paroute"
)

// keptRetryShare is the share of the retry budget that is kept for requests that are more urgent than the least urgent.
const keptRetryShare = 0.25

// updateUrgencies takes the bounds of the priorities of the configured routes.
func (b *Balancer) updateUrgencies(c *paroute.Config) {
	b.mostUrgent, b.leastUrgent = 0, 0
	for n, r := range c.Routes {
		if n == 0 {
			b.mostUrgent, b.leastUrgent = r.Priority, r.Priority
		}
		b.mostUrgent, b.leastUrgent = min(b.mostUrgent, r.Priority), max(b.leastUrgent, r.Priority)
	}
}

// TakeRetryFor is TakeRetry for a request of a priority: of a contended service's budget the last retries are kept for more
// urgent requests. Targets that fail under an overload would otherwise use them up for whoever comes first.
func (b *Balancer) TakeRetryFor(service string, priority int, now time.Time) bool {
	svc := b.services[service]
	if svc != nil && b.contended(svc) && priority >= b.leastUrgent && b.mostUrgent < b.leastUrgent && !b.Config.Off.RetryBudget {
		if svc.retries.Left(now)-1 < keptRetryShare*svc.retries.Capacity(now) {
			return false
		}
	}
	return b.TakeRetry(service, now)
}
