package pasteer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is another entry VM that may forward requests for this one.
type Peer struct {
	Name, Zone, Region string
	// Address is where it accepts requests of other entry VMs; Born identifies its process.
	Address netip.AddrPort
	Born    int64
	// LinkMbps is the bandwidth of its link in Mbit/s; 0 if unknown.
	LinkMbps float64
	// Lost is what it last said of the services whose targets it fails to reach.
	Lost map[string]LostPath
}

// relayState is what this entry VM knows of another one from the requests that it handed to it. The zero value is ready
// for use.
type relayState struct {
	// outstanding is the number of requests that it works on for this entry VM.
	outstanding int
	// delay is the moving average of what the detour adds to a request, as of measuredAt.
	delay      time.Duration
	measuredAt time.Time
	// failedUntil is until when it gets no requests of a service; the empty name is for all services.
	failedUntil map[string]time.Time
	// pendingSince is since when it has responded to nothing that it was handed as a sender, zero if it responded to all; after
	// maxSenderPending it is handed the next request at nextTryAt.
	pendingSince, nextTryAt time.Time
}

const (
	// relayFailedTTL is how long an entry VM gets no requests that said it cannot serve them, or did not respond.
	relayFailedTTL = time.Second
	// maxRelayFailedTTL bounds what it says itself.
	maxRelayFailedTTL = 4 * time.Second
	// relayDelayWeight is the weight of the latest request in the average of what the detour adds, and relayDelayTTL
	// how long that average counts.
	relayDelayWeight = 0.2
	relayDelayTTL    = 2 * time.Second
	// outstandingCost is what each outstanding request counts when entry VMs are compared.
	outstandingCost = time.Millisecond
)

// UpdatePeers replaces the other entry VMs, and judges the paths anew by what they reach.
func (b *Balancer) UpdatePeers(all []Peer, now time.Time) {
	b.peers = all
	b.peerByHash = make(map[uint64]Peer, len(all))
	for _, p := range all {
		b.peerByHash[xxhash.Sum64String(p.Name)] = p
	}
	b.forgetRelays(now)
	for _, svc := range b.services {
		if svc.relays || b.hasLost(svc) {
			b.judgePath(svc, now)
		}
	}
}

// HasLost reports whether connections to any target fail.
func (b *Balancer) HasLost() bool {
	for _, svc := range b.services {
		if svc.relays || b.hasLost(svc) {
			return true
		}
	}
	return false
}

func (b *Balancer) hasLost(svc *service) bool {
	lost, _ := svc.lostTargets()
	return lost > 0
}

// anyPeerReaches reports whether another entry VM reaches clearly more of the service's targets.
func (b *Balancer) anyPeerReaches(svc *service, lost int, now time.Time) bool {
	for _, p := range b.peers {
		if b.peerReaches(p, svc.name, lost, now) {
			return true
		}
	}
	return false
}

// peerReaches reports whether an entry VM fails to reach less than half as many targets of the service as this one.
func (b *Balancer) peerReaches(p Peer, service string, lost int, now time.Time) bool {
	return !b.relayFails(p.Name, service, now) && 2*p.Lost[service].Targets < lost
}

// relayFails reports whether an entry VM said a moment ago that it cannot serve requests of the service.
func (b *Balancer) relayFails(name, service string, now time.Time) bool {
	s := b.relayStates[name]
	return s != nil && (now.Before(s.failedUntil[service]) || now.Before(s.failedUntil[""]))
}

// PickRelay returns the entry VM to hand a request to, and false if there is none. It prefers those of this region, unless
// the detour through another region is faster by now, and spreads requests by the work and the delay of each. It answers
// the load of one entry VM that is cut off as well as of most of a zone or of a region: a choice of the nearest, or of one
// for all, would send a zone's requests to a single entry VM. A request that is bound to regions goes only to entry VMs there.
func (b *Balancer) PickRelay(q Request, tried []string, now time.Time) (Peer, bool) {
	svc := b.services[q.Service]
	if svc == nil || !svc.relays {
		return Peer{}, false
	}
	lost, _ := svc.lostTargets()
	var all []Peer
	for _, p := range b.peers {
		if b.peerReaches(p, q.Service, lost, now) {
			all = append(all, p)
		}
	}
	return b.cheapestPeer(svc, all, q, tried, now)
}

// cheapestPeer returns the entry VM with the least expected delay of a detour, in a region that the request allows and not tried
// yet, and false if there is none. Of equal ones another is first each time.
func (b *Balancer) cheapestPeer(svc *service, all []Peer, q Request, tried []string, now time.Time) (best Peer, found bool) {
	var lowest time.Duration
	svc.relayNext++
	for i := range all {
		p := all[(svc.relayNext+i)%len(all)]
		if !q.allows(p.Region) || slices.Contains(tried, p.Name) {
			continue
		}
		if c := b.relayCost(p, now); !found || c < lowest {
			best, lowest, found = p, c, true
		}
	}
	return best, found
}

// relayCost returns the expected delay of a detour through an entry VM, with a charge for the requests it has already.
func (b *Balancer) relayCost(p Peer, now time.Time) time.Duration {
	usual := roundTripTime[b.distance(p.Zone, p.Region)]
	s := b.relayStates[p.Name]
	if s == nil {
		return usual
	}
	delay := usual
	if now.Sub(s.measuredAt) < relayDelayTTL {
		delay = max(usual, s.delay)
	}
	return delay + time.Duration(s.outstanding)*outstandingCost
}

// StartRelay records that a request is handed to an entry VM.
func (b *Balancer) StartRelay(name string) { b.relayState(name).outstanding++ }

// RelayReport describes how a request ended that was handed to an entry VM.
type RelayReport struct {
	Name, Service string
	// Failed says that it did not respond, or cannot serve requests of the service; Unresponsive that it cannot serve any.
	Failed, Unresponsive bool
	// RetryAfter is when it may be able to again; 0 if unknown.
	RetryAfter time.Duration
	// Delay is what the detour added; 0 if unknown.
	Delay time.Duration
	// Target is the target that answered, and Object the request's object.
	Target, Object string
}

// FinishRelay records how a request ended that was passed to StartRelay.
func (b *Balancer) FinishRelay(r RelayReport, now time.Time) {
	s := b.relayState(r.Name)
	s.outstanding = max(0, s.outstanding-1)
	switch {
	case r.Unresponsive:
		s.fail("", now, relayFailedTTL)
	case r.Failed && r.RetryAfter > 0:
		s.fail(r.Service, now, min(r.RetryAfter, maxRelayFailedTTL))
	case r.Failed:
		s.fail(r.Service, now, relayFailedTTL)
	case r.Delay > 0:
		if now.Sub(s.measuredAt) > relayDelayTTL {
			s.delay = r.Delay
		}
		s.delay += time.Duration(relayDelayWeight * float64(r.Delay-s.delay))
		s.measuredAt = now
	}
	if t := b.targets[r.Target]; t != nil && r.Object != "" {
		// The object is warm there, and does not change its region when the path works again.
		b.recordUse(t, r.Object, now)
	}
	if svc := b.services[r.Service]; svc != nil && r.Failed {
		b.judgePath(svc, now)
	}
}

// relayState returns what is known of an entry VM, creating it if needed.
func (b *Balancer) relayState(name string) *relayState {
	s := b.relayStates[name]
	if s == nil {
		s = &relayState{failedUntil: map[string]time.Time{}}
		b.relayStates[name] = s
	}
	return s
}

// fail records that the entry VM cannot serve a service.
func (s *relayState) fail(service string, now time.Time, d time.Duration) {
	s.failedUntil[service] = now.Add(d)
}

// forgetRelays drops the entry VMs of which nothing is known that still counts.
func (b *Balancer) forgetRelays(now time.Time) {
	maps.DeleteFunc(b.relayStates, func(_ string, s *relayState) bool { return s.isForgotten(now) })
}

// isForgotten reports whether nothing is known of the entry VM that still counts.
func (s *relayState) isForgotten(now time.Time) bool {
	maps.DeleteFunc(s.failedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	return s.outstanding == 0 && len(s.failedUntil) == 0 && now.Sub(s.nextTryAt) > relayDelayTTL && now.Sub(s.measuredAt) > relayDelayTTL
}
