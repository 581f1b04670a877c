package pasteer

import (
	"time"
)

const (
	// newcomerAfter is how long a target that joined waits for its first request, which then comes from
	// an object whose first home it is; newcomerLate is when any object will do.
	newcomerAfter = 500 * time.Millisecond
	newcomerLate  = 2 * time.Second
)

// newcomer returns a target of the own region that joined and got nothing yet, or nil.
//
// Load: an operator adds targets to a service whose objects are all warm elsewhere. Harm prevented: every
// object stays where it is warm, and the new targets stand idle for as long as the others bear the load.
// One cold run begins their use; the objects whose first home they are then stay there.
func (s *Steer) newcomer(g *service, all []candidate, q Request, now time.Time) *target {
	for _, t := range g.newcomers {
		if t.used || !s.mayTake(t, q, now) {
			continue
		}
		first := len(all) > 0 && all[0].target == t
		if here := now.Sub(t.joinedAt); first && here > newcomerAfter || here > newcomerLate {
			return t
		}
	}
	return nil
}
