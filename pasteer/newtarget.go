package pasteer

import "time"

const (
	// newTargetHomeDelay is how long a target that joined waits for its first request, which then comes from
	// an object whose first home it is; newcomerLate is when any object will do.
	newTargetHomeDelay = 500 * time.Millisecond
	newTargetAnyDelay  = 2 * time.Second
	// newTargetStagger is how much later each further entry VM sends the first request: about as long as the word that
	// one did takes to most others.
	newTargetStagger = time.Second
)

// newTarget is a target that joined and may never have got a request.
type newTarget struct {
	target *target
	// delay is how much later than the first entry VM this one sends to it.
	delay time.Duration
}

// pickNewTarget returns a target of the own region that joined and got nothing yet, or nil.
//
// Load: an operator adds targets to a service whose objects are all warm elsewhere. Harm prevented: every
// object stays where it is warm, and the new targets stand idle for as long as the others bear the load.
// One cold run begins their use; the objects whose first home they are then stay there. The entry VMs take turns:
// where each of a hundred began the use of each of a hundred targets, all that they sent for seconds ran cold.
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

// newTargetOf returns the turn of this entry VM at a target that joined: those of the target's availability zone come
// first, then those of its region, each in the order of hashes.
func (b *Balancer) newTargetOf(t *target) newTarget {
	before := 0
	own := rendezvousWeight(t.hash, b.hash)
	for _, e := range b.regionPeers {
		first := e.zone == t.member.Zone
		if same := first == (b.Config.Zone == t.member.Zone); same && rendezvousWeight(t.hash, e.hash) > own || !same && first {
			before++
		}
	}
	return newTarget{t, time.Duration(before) * newTargetStagger}
}

// regionPeer is another entry VM of the own region.
type regionPeer struct {
	zone string
	hash uint64
}
