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

	// cachedKey is the key once it is known.
	cachedKey uint64
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
	retryAfterNoTarget = 700 * time.Millisecond
	retryAfterCold     = 400 * time.Millisecond
	retryAfterFull     = 300 * time.Millisecond
)

// PickService counts a request of the route and returns the service that it goes to.
func (b *Balancer) PickService(r *paroute.Route, now time.Time) string {
	p := b.splits[r.Name]
	if p == nil {
		p = &paroute.Splitter{Seed: hashPair(b.Config.Name, r.Name)}
		b.splits[r.Name] = p
	}
	name := p.Next(r.Parts)
	if svc := b.services[name]; svc != nil {
		b.countRequest(svc, now)
	}
	return name
}

// Choose returns where the request goes. Follow it with Start if it is sent.
func (b *Balancer) Choose(q Request, now time.Time) Choice {
	svc := b.services[q.Service]
	if svc == nil {
		return Choice{Reason: ReasonNoTarget, RetryAfter: retryAfterNoTarget}
	}
	q.cachedKey = q.key()
	l := b.buildShortlist(svc, q, now)
	switch {
	case l.usable == 0 && l.coldLimited:
		return Choice{Reason: ReasonCold, RetryAfter: retryAfterCold}
	case l.usable == 0:
		return Choice{Reason: ReasonNoTarget, RetryAfter: retryAfterNoTarget}
	}
	return b.pick(svc, l.all, q, now)
}

// key is the hash of the request's object within its service.
func (q Request) key() uint64 {
	if q.cachedKey != 0 {
		return q.cachedKey
	}
	return hashPair(q.Service, q.Object)
}

// allows says whether the request may be handled in a region.
func (q Request) allows(region string) bool {
	return paroute.Allows(q.Route.AllowedRegions, region) && paroute.Allows(q.Regions, region)
}

// hasAffinity says that the request's object has homes.
func (q Request) hasAffinity() bool { return q.Route.Affinity && q.Object != "" }

// available says that the target is not left alone after failures or silence.
func (b *Balancer) available(t *target, now time.Time) bool {
	return !now.Before(t.backoffUntil) && (b.Config.Off.SilentTargets || !t.unresponsive(now) || !now.Before(t.nextTryAt))
}

// hashPair is the hash of two names.
func hashPair(first, second string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(first)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(second)
	return d.Sum64()
}

func sortByID(all []*target) {
	slices.SortFunc(all, func(a, b *target) int { return cmp.Compare(a.member.ID, b.member.ID) })
}
