package pasteer

import "time"

const (
	// newTargetHomeDelay is how long after it joined a target gets its first request for an object whose home it is.
	// After newTargetAnyDelay it gets a request for any object.
	newTargetHomeDelay = 500 * time.Millisecond
	newTargetAnyDelay  = 2 * time.Second
	// newTargetStagger is how much later each further entry VM sends a first request. News that another one did so
	// takes about as long to reach most of them.
	newTargetStagger = time.Second
)

// newTarget is a target that joined and may not have received a request.
type newTarget struct {
	target *target
	// delay is how much later than the first entry VM this one sends its first request.
	delay time.Duration
}

// pickNewTarget returns a target of this region that joined and is due for its first request, or nil.
//
// When an operator adds targets to a service, every object would stay where it is warm, and the new targets would stay
// idle as long as the others can bear the load. One cold run makes a new target known as in use, and the objects whose
// home it is then stay there. The entry VMs take turns, since otherwise each of a hundred sends a first request to each of
// a hundred new targets, and all requests run cold for seconds.
func (b *Balancer) pickNewTarget(svc *service, all []candidate, q Request, now time.Time) *target {
	if b.Config.Off.Newcomers {
		return nil
	}
	for _, n := range svc.newTargets {
		t, age := n.target, now.Sub(n.target.joinedAt)-n.delay
		if t.used || age <= newTargetHomeDelay || !b.usableNow(t, q, now) {
			continue
		}
		if age > newTargetAnyDelay || len(all) > 0 && all[0].target == t {
			return t
		}
	}
	return nil
}

// newTargetOf computes the delay of this entry VM for a target that joined. Entry VMs in the target's availability zone
// come first, then the others of the region, both ordered by hash.
func (b *Balancer) newTargetOf(t *target) newTarget {
	before := 0
	ownWeight := rendezvousWeight(t.hash, b.hash)
	for _, e := range b.regionPeers {
		first := e.zone == t.state.Zone
		if same := first == (b.Config.Zone == t.state.Zone); same && rendezvousWeight(t.hash, e.hash) > ownWeight || !same && first {
			before++
		}
	}
	return newTarget{t, time.Duration(before) * newTargetStagger}
}

// regionPeer is another entry VM of this region.
type regionPeer struct {
	zone string
	hash uint64
}
