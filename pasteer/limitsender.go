package pasteer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
)

// noSender is the index of an entry VM that sends nothing to a limited target.
const noSender = -1

// updateLimitSenders computes which entry VMs send to a limited target, and this one's position among them: as many as get
// senderRate each, at least one. Those of the target's zone come first, then those of its region, which have most
// of the requests that are sent there.
func (b *Balancer) updateLimitSenders(t *target, now time.Time) {
	l := &t.limit
	ranks := []limitRank{{t.distance, rendezvousWeight(t.hash, b.hash), b.hash}}
	for _, e := range b.entries {
		d := distanceBetween(e.zone, e.region, t.state.Zone, t.region)
		ranks = append(ranks, limitRank{d, rendezvousWeight(t.hash, e.hash), e.hash})
	}
	slices.SortFunc(ranks, func(x, y limitRank) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(y.weight, x.weight))
	})
	l.senders = max(1, min(int(l.perSecond/senderRate), len(ranks)))
	wasSender := l.index != noSender
	l.index, l.senderHashes = noSender, nil
	for i, r := range ranks[:l.senders] {
		l.senderHashes = append(l.senderHashes, r.entry)
		if r.entry == b.hash {
			l.index = i
		}
	}
	if !wasSender && l.index != noSender {
		// The first requests of the senders are spread over the time in which the target takes one of each.
		l.tokens, l.refilledAt = -float64(l.index)/float64(l.senders), now
	}
}

// limitRank orders the entry VMs that may send to a limited target: the nearest, and of those the one with the largest weight.
type limitRank struct {
	distance      int
	weight, entry uint64
}

// knownEntry is another registered entry VM.
type knownEntry struct {
	zone, region string
	hash         uint64
}

// updateEntries takes the other registered entry VMs.
func (b *Balancer) updateEntries(v *pafleet.View) {
	b.entries = b.entries[:0]
	for name, e := range v.Entries {
		if name != b.Config.Name {
			b.entries = append(b.entries, knownEntry{e.Zone, e.Region, xxhash.Sum64String(name)})
		}
	}
}

// divideLimits divides the limits of the service's targets anew among the entry VMs that are registered now.
func (b *Balancer) divideLimits(svc *service, now time.Time) {
	svc.updateLimited()
	for _, t := range svc.limited {
		t.limit.tokens, t.limit.refilledAt = t.limit.refill(now), now
		b.updateLimitSenders(t, now)
	}
}

// updateLimited lists the targets that named a limit.
func (svc *service) updateLimited() {
	svc.limited = svc.limited[:0]
	for _, t := range svc.targets {
		if t.limit.limited {
			svc.limited = append(svc.limited, t)
		}
	}
}

// hasLimitSender reports whether another entry VM may send the request to a limited target of the service.
func (b *Balancer) hasLimitSender(svc *service, q Request, now time.Time) bool {
	for _, t := range svc.limited {
		if t.isLimited(now) && eligible(t, q) && b.available(t, now) && (len(t.limit.senderHashes) > 1 || t.limit.index == noSender) {
			return true
		}
	}
	return false
}

// PickLimitSender returns an entry VM that sends to a limited target of the request's service, to hand the request to, and
// false if there is none. It answers the load of a service all of whose targets are limited, with more entry VMs than
// senders: most requests arrive where nothing may be sent, and what the targets take would not be used.
func (b *Balancer) PickLimitSender(q Request, tried []string, now time.Time) (Peer, bool) {
	svc := b.services[q.Service]
	if svc == nil {
		return Peer{}, false
	}
	var all []Peer
	for _, t := range svc.limited {
		if !t.isLimited(now) || !eligible(t, q) || !b.available(t, now) {
			continue
		}
		for _, hash := range t.limit.senderHashes {
			if p, ok := b.peerByHash[hash]; ok && !b.relayFails(p.Name, q.Service, now) {
				all = append(all, p)
			}
		}
	}
	return b.cheapestPeer(svc, all, q, tried, now)
}
