package pasteer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"papayahead/pahash"
	"papayahead/paroute"
	"papayahead/pawaiting"
)

// Request describes a request to be sent to a target.
type Request struct {
	Route *paroute.Route
	// Service is the service of the route that PickService returned for the request.
	Service string
	// Object is the affinity key of the request; empty if it has none.
	Object string
	// Regions are the regions that the request's workspace allows, in addition to the limits of the route; empty allows
	// all.
	Regions []string
	// Tried are the IDs of the targets that the request was sent to already.
	Tried []string
	// Unreached are the IDs of the targets to which no connection could be opened for the request.
	Unreached []string
	// Avoid are the IDs of targets that want no requests from the entry VM that relays the request to this one.
	Avoid []string
	// Deadline is when the caller no longer accepts an answer.
	Deadline time.Time
	// Priority is the urgency of the request; 0 is the most urgent.
	Priority int
	// Direct is set if no other entry VM may take the request.
	Direct bool
	// NoSender is set if the request is not to be handed to the sender of its target: it was handed over already, or its body is
	// not held in memory and can be sent only once.
	NoSender bool

	// cachedKey is the result of key once it was computed.
	cachedKey uint64
	// waiting is set while the request waits in the room.
	waiting *pawaiting.Item
}

// Choice is a target for a request, or a refusal.
type Choice struct {
	// Target is the ID of the target; empty if the request is refused.
	Target  string
	Address netip.AddrPort
	// Born identifies the lifetime of the target; it differs after a restart.
	Born int64
	// Reason is why the request is refused; empty if it is not.
	Reason Reason
	// RetryAfter is how long the caller of a refused request should wait before it retries.
	RetryAfter time.Duration
	// Warm is set if the target is presumably warm for the object; Load is the target's estimated load per slot.
	Warm bool
	Load float64
	// wait and finish are the estimated times until the run starts and until the answer arrives.
	wait, finish time.Duration
	// Shifted is set if the request goes to another region than the previous ones for its object; Held is set if it has
	// to stay in that region because MaxShift was reached.
	Shifted, Held bool
	// Avoided is set if the target turned away several requests in a row, and no other is usable.
	Avoided bool
	// Relay is set if the target is to be reached through another entry VM, which chooses the target by what it knows.
	Relay bool
	// ToSender is set if that is one of those that send to targets which named a limit: PickLimitSender returns it.
	ToSender bool
	// Sender is set if that is the one of this zone that sends to Target, to the hash of its name: StartSender returns it.
	Sender uint64
}

// Reason is why a request is refused.
type Reason string

// The reasons for a refusal.
const (
	// ReasonNoTarget means that no target of the service may be used for the request.
	ReasonNoTarget Reason = "NoTarget"
	// ReasonFull means that no target would answer in time.
	ReasonFull Reason = "Full"
	// ReasonCrowded means that too many requests would change the region in which they run, since callers crowd in and the
	// other targets have no room.
	ReasonCrowded Reason = "Crowded"
	// ReasonCold means that only cold targets are left and all of them get as many requests as they bear.
	ReasonCold Reason = "Cold"
	// ReasonPushback means that only targets are left that want no requests from this entry VM for a time.
	ReasonPushback Reason = "Pushback"
	// ReasonLimited means that only targets are left that named a limit, and get as many requests as that.
	ReasonLimited Reason = "Limited"
	// ReasonRoomFull means that the waiting room is full of requests that are at least as urgent.
	ReasonRoomFull Reason = "RoomFull"
	// ReasonTooLate means that the request waited until an answer could no longer come before its deadline.
	ReasonTooLate Reason = "TooLate"
)

// The values of Choice.RetryAfter. A new target becomes known within a heartbeat, and a cold one bears another request
// within half a second.
const (
	retryAfterNoTarget = 700 * time.Millisecond
	retryAfterCold     = 400 * time.Millisecond
	retryAfterFull     = 300 * time.Millisecond
	// minRetryAfterLimited keeps callers from returning before a token that others wait for as well.
	minRetryAfterLimited = 100 * time.Millisecond
	// minRetryAfterPushback keeps callers from returning before the response to the first request after a pushback.
	minRetryAfterPushback = 100 * time.Millisecond
)

// PickService counts a request of the route and returns the service that handles it, by the weights of the route's parts.
// The service is empty if no part has a positive weight.
func (b *Balancer) PickService(r *paroute.Route, now time.Time) string {
	p := b.splits[r.Name]
	if p == nil {
		p = &paroute.Splitter{Seed: pahash.Pair(b.Config.Name, r.Name)}
		b.splits[r.Name] = p
	}
	name := p.Next(r.Parts)
	if svc := b.services[name]; svc != nil {
		b.countRequest(svc, now)
	}
	return name
}

// Choose selects the target of a request or refuses it. The caller calls Start if it sends the request.
func (b *Balancer) Choose(q Request, now time.Time) Choice {
	svc := b.services[q.Service]
	if svc == nil {
		return Choice{Reason: ReasonNoTarget, RetryAfter: retryAfterNoTarget}
	}
	q.cachedKey = q.key()
	counted := q.waiting == nil && b.countsInMix(q)
	if counted {
		b.arriveInMix(now)
	}
	c := b.chooseTarget(svc, q, now)
	if counted && c.Reason == ReasonFull {
		b.mix.Refuse(now)
	}
	return c
}

func (b *Balancer) chooseTarget(svc *service, q Request, now time.Time) Choice {
	l := b.buildShortlist(svc, q, now)
	if l.usable == 0 {
		l.useAvoided()
	}
	switch {
	case l.usable == 0 && l.limited && !q.Direct && !b.Config.Off.Relays && b.hasLimitSender(svc, q, now):
		return Choice{Target: svc.limited[0].state.ID, Relay: true, ToSender: true}
	case l.usable == 0:
		return l.refusal()
	}
	c := b.pick(svc, l.all, q, now)
	if c.Target == "" && l.avoided > 0 {
		l.useAvoided()
		c = b.pick(svc, l.all, q, now)
	}
	return b.handOver(svc, c, q, now)
}

// refusal refuses a request for which no target is usable, for the reason that is over first.
func (l *shortlist) refusal() Choice {
	c := Choice{Reason: ReasonNoTarget, RetryAfter: retryAfterNoTarget}
	switch {
	case l.limited:
		c = Choice{Reason: ReasonLimited, RetryAfter: max(minRetryAfterLimited, l.limitWait)}
	case l.coldLimited:
		c = Choice{Reason: ReasonCold, RetryAfter: retryAfterCold}
	}
	if l.pushedBack && (c.Reason == ReasonNoTarget && !l.unavailable || l.pushbackWait < c.RetryAfter) {
		c = Choice{Reason: ReasonPushback, RetryAfter: max(minRetryAfterPushback, l.pushbackWait)}
	}
	return c
}

// key is the hash of the request's object within its service.
func (q Request) key() uint64 {
	if q.cachedKey != 0 {
		return q.cachedKey
	}
	return pahash.Pair(q.Service, q.Object)
}

// allows reports whether the request may be handled in a region.
func (q Request) allows(region string) bool {
	return paroute.AllowsRegion(q.Route.AllowedRegions, region) && paroute.AllowsRegion(q.Regions, region)
}

// hasAffinity reports whether the request prefers the homes of its object and the targets that are warm for it.
func (q Request) hasAffinity() bool { return q.Route.Affinity && q.Object != "" }

// available reports whether the target may be tried: it wants requests, and it is neither in backoff nor unresponsive, or its next
// trial is due, or another entry VM reaches it.
func (b *Balancer) available(t *target, now time.Time) bool {
	return t.pushbackWait(now) == 0 && b.reachable(t, now)
}

// reachable reports whether connections to the target are expected to work, or are to be tried.
func (b *Balancer) reachable(t *target, now time.Time) bool {
	return t.viaRelay || !now.Before(t.backoffUntil) && (b.Config.Off.SilentTargets || !t.unresponsive(now) || !now.Before(t.nextTryAt))
}

func sortByID(all []*target) {
	slices.SortFunc(all, func(a, b *target) int { return cmp.Compare(a.state.ID, b.state.ID) })
}
