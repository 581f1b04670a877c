package pasteer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/paroute"
)

// Request is what a decision needs to know of a request.
type Request struct {
	Route *paroute.Route
	// Service is the part of the route that the request goes to; PickService returns it.
	Service string
	// Object is what the request is about; empty if it is not known.
	Object string
	// Regions are the only ones that its workspace allows, beside its route's; empty allows all.
	Regions []string
	// Tried are the targets that it was sent to.
	Tried []string
	// Deadline is when its answer is of no more use.
	Deadline time.Time

	// hash is the key once it is known.
	hash uint64
}

// Choice is a target for a request, or a refusal.
type Choice struct {
	// Target is the ID of the target; empty is a refusal.
	Target  string
	Address netip.AddrPort
	// Born is the target's lifetime.
	Born int64
	// Reason says why a request is refused.
	Reason Reason
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Warm says that the object was handled there lately; Load is the estimated load over slots.
	Warm bool
	Load float64
	// wait and finish are the estimated times to the start and to the end of the work.
	wait, finish time.Duration
	// Shifted says that the request goes to another region than those before it; Held that it may not, since
	// enough others just did.
	Shifted, Held bool
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// ReasonNoTarget says that no target of the service may be used.
	ReasonNoTarget Reason = "NoTarget"
	// ReasonFull says that no target would answer before the deadline.
	ReasonFull Reason = "Full"
	// ReasonCold says that the only targets are cold and have all that they bear.
	ReasonCold Reason = "Cold"
)

// The times to come back where nothing better is known: a new target is known within a heartbeat, and a cold one
// bears another request within half a second.
const (
	comeBackNoTarget = 700 * time.Millisecond
	comeBackCold     = 400 * time.Millisecond
	comeBackFull     = 300 * time.Millisecond
)

// PickService counts a request of the route and returns the service that it goes to.
func (s *Balancer) PickService(r *paroute.Route, now time.Time) string {
	p := s.splits[r.Name]
	if p == nil {
		p = &paroute.Splitter{Seed: hashOf(s.Config.Name, r.Name)}
		s.splits[r.Name] = p
	}
	name := p.Next(r.Parts)
	if g := s.services[name]; g != nil {
		s.countFirst(g, now)
	}
	return name
}

// Choose returns where the request goes. Follow it with Start if it is sent.
func (s *Balancer) Choose(q Request, now time.Time) Choice {
	g := s.services[q.Service]
	if g == nil {
		return Choice{Reason: ReasonNoTarget, RetryAfter: comeBackNoTarget}
	}
	q.hash = q.key()
	l := s.shortlistOf(g, q, now)
	switch {
	case l.usable == 0 && l.cold:
		return Choice{Reason: ReasonCold, RetryAfter: comeBackCold}
	case l.usable == 0:
		return Choice{Reason: ReasonNoTarget, RetryAfter: comeBackNoTarget}
	}
	return s.pick(g, l.all, q, now)
}

// key is the hash of the request's object within its service.
func (q Request) key() uint64 {
	if q.hash != 0 {
		return q.hash
	}
	return hashOf(q.Service, q.Object)
}

// allows says whether the request may be handled in a region.
func (q Request) allows(region string) bool {
	return paroute.AllowsRegion(q.Route.AllowedRegions, region) && paroute.AllowsRegion(q.Regions, region)
}

// bound says that the request's object has homes.
func (q Request) bound() bool { return q.Route.Affinity && q.Object != "" }

// reachable says that the target is not left alone after failures or silence.
func (s *Balancer) reachable(t *target, now time.Time) bool {
	return !now.Before(t.downUntil) && (s.Config.Off.SilentTargets || !t.silent(now) || !now.Before(t.tryAt))
}

// hashOf is the hash of two names.
func hashOf(one, other string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(one)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(other)
	return d.Sum64()
}

func sortTargets(all []*target) {
	slices.SortFunc(all, func(a, b *target) int { return cmp.Compare(a.member.ID, b.member.ID) })
}
