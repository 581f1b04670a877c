package pasteer

import "time"

const (
	// newcomerAfter is how long a target that joined waits for its first request, which then comes from
	// an object whose first home it is; newcomerLate is when any object will do.
	newcomerAfter = 500 * time.Millisecond
	newcomerLate  = 2 * time.Second
	// newcomerTurn is how much later each further entry VM sends the first request: about as long as the word that
	// one did takes to most others.
	newcomerTurn = time.Second
)

// newcomer is a target that joined and may never have got a request.
type newcomer struct {
	target *target
	// wait is how much later than the first entry VM this one sends to it.
	wait time.Duration
}

// newcomer returns a target of the own region that joined and got nothing yet, or nil.
//
// Load: an operator adds targets to a service whose objects are all warm elsewhere. Harm prevented: every
// object stays where it is warm, and the new targets stand idle for as long as the others bear the load.
// One cold run begins their use; the objects whose first home they are then stay there. The entry VMs take turns:
// where each of a hundred began the use of each of a hundred targets, all that they sent for seconds ran cold.
func (s *Balancer) newcomer(g *service, all []candidate, q Request, now time.Time) *target {
	if s.Config.Off.Newcomers {
		return nil
	}
	for _, n := range g.newcomers {
		t, here := n.target, now.Sub(n.target.joinedAt)-n.wait
		if t.used || here <= newcomerAfter || !s.mayTake(t, q, now) {
			continue
		}
		if here > newcomerLate || len(all) > 0 && all[0].target == t {
			return t
		}
	}
	return nil
}

// newcomerOf returns the turn of this entry VM at a target that joined: those of the target's availability zone come
// first, then those of its region, each in the order of hashes.
func (s *Balancer) newcomerOf(t *target) newcomer {
	before := 0
	own := rendezvous(t.hash, s.hash)
	for _, e := range s.mates {
		first := e.zone == t.member.Zone
		if same := first == (s.Config.Zone == t.member.Zone); same && rendezvous(t.hash, e.hash) > own || !same && first {
			before++
		}
	}
	return newcomer{t, time.Duration(before) * newcomerTurn}
}

// mate is another entry VM of the own region.
type mate struct {
	zone string
	hash uint64
}
