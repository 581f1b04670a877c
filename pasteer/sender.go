package pasteer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pasubset"
)

// zoneSenders are the live entry VMs of this zone, among which the targets of contended services are divided: each sends to a part of
// them, and is handed the requests of the others for these. The zero value has none.
type zoneSenders struct {
	// entries are all of them, this one included, by hash; peers are the others.
	entries []pasubset.Entry
	peers   map[uint64]Peer
	// version identifies entries in the targets' cached senders.
	version uint64
}

const (
	// maxSenderPending is how long an entry VM may respond to nothing that it was handed before this one sends by itself. Long
	// runs exceed it, which costs them a colder connection.
	maxSenderPending = time.Second
	// senderRetryInterval is the time between two requests that an unresponsive entry VM is handed.
	senderRetryInterval = time.Second
	// leavingTTL is how long an entry VM that shuts down is handed nothing; its registration is gone by then.
	leavingTTL = 5 * time.Second
)

// UsesSenders reports whether any service has its targets divided among the entry VMs of a zone.
func (b *Balancer) UsesSenders() bool {
	if b.Config.Off.Relays || b.Config.Off.Senders {
		return false
	}
	for _, svc := range b.services {
		if b.contended(svc) {
			return true
		}
	}
	return false
}

// UpdateSenders replaces the live entry VMs of this zone: this one with the bandwidth of its link in Mbit/s, and the others.
func (b *Balancer) UpdateSenders(ownMbps float64, others []Peer, now time.Time) {
	b.forgetRelays(now)
	entries := []pasubset.Entry{{Hash: b.hash, Weight: pasubset.Weight(ownMbps)}}
	b.senders.peers = make(map[uint64]Peer, len(others))
	for _, p := range others {
		hash := xxhash.Sum64String(p.Name)
		b.senders.peers[hash] = p
		entries = append(entries, pasubset.Entry{Hash: hash, Weight: pasubset.Weight(p.LinkMbps)})
	}
	slices.SortFunc(entries, func(x, y pasubset.Entry) int { return cmp.Compare(x.Hash, y.Hash) })
	if !slices.Equal(entries, b.senders.entries) {
		b.senders.entries = entries
		b.senders.version++
	}
}

// senderOf returns the hash of the entry VM of this zone that sends to the target, and computes it if the entry VMs changed.
func (b *Balancer) senderOf(t *target) uint64 {
	if t.senderVersion != b.senders.version {
		t.sender, t.senderVersion = pasubset.Sender(b.senders.entries, t.hash), b.senders.version
	}
	return t.sender
}

// handOver has a chosen request handed to the entry VM of this zone that sends to its target, if that is another one which is
// expected to serve it. That one chooses finally, by what it knows.
//
// Dozens of entry VMs that each send to hundreds of targets know the load of each from an answer some seconds ago, and open a
// connection for every second request. Where callers compete for slots, requests then lie in long queues beside free slots.
func (b *Balancer) handOver(svc *service, c Choice, q Request, now time.Time) Choice {
	if c.Target == "" || c.Relay || !b.mayHandOver(svc, q) {
		return c
	}
	t := b.targets[c.Target]
	if t == nil || !t.isShared(now) {
		return c
	}
	hash := b.senderOf(t)
	p, ok := b.senders.peers[hash]
	if !ok || p.Lost[svc.name].Targets > 0 || b.relayFails(p.Name, svc.name, now) || b.senderUnresponsive(p.Name, now) {
		return c
	}
	c.Relay, c.Sender = true, hash
	return c
}

// mayHandOver reports whether the request may be handed to the sender of its target: it is contended for, new and not relayed to this
// entry VM, and may be handled in this region. A caller may have connected outside the regions that the request is bound to; then
// it crosses no further entry VM there.
func (b *Balancer) mayHandOver(svc *service, q Request) bool {
	return len(b.senders.peers) > 0 && b.contended(svc) && !b.Config.Off.Relays && !b.Config.Off.Senders && !q.Direct && !q.NoSender &&
		len(q.Tried) == 0 && len(q.Unreached) == 0 && q.allows(b.Config.Region)
}

// countedByReceiver reports whether the request was counted for MaxShift when it was handed to a sender, by the entry VM that received it.
// Counted at both, a region's requests would be allowed twice the shifts. A shift counts at each entry VM that chooses it.
func (b *Balancer) countedByReceiver(q Request) bool {
	svc := b.services[q.Service]
	return svc != nil && b.contended(svc) && (q.Direct || q.NoSender)
}

// isShared reports whether the target's requests go through its sender.
//
// The request rate of a target that is cold, or names a limit, is divided among entry VMs, and each has its share as a token bucket.
// A request that is handed over would take a token twice: at the entry VM that chose and at the sender. The target would get no more
// than the sender's share. So an entry VM that has a token sends by itself, and the shares together stay the bound. A target that asked
// this entry VM for time, or that joined and is not known to be used, is also tried by the entry VM whose turn it is.
func (t *target) isShared(now time.Time) bool {
	return (t.used || t.joinedAt.IsZero()) && !t.isCold(now) && !t.limit.limited && t.pushback == nil
}

// StartSender returns the entry VM that a choice hands the request to, and records that; false if it is not known any more.
func (b *Balancer) StartSender(c Choice, q Request, now time.Time) (Peer, bool) {
	p, ok := b.senders.peers[c.Sender]
	if !ok {
		return Peer{}, false
	}
	s := b.relayState(p.Name)
	s.startPending(now)
	b.StartRelay(p.Name)
	b.recordSent(c, q, now)
	return p, true
}

// SenderReport describes how a request ended that was handed to the sender of its target.
type SenderReport struct {
	RelayReport
	// Born identifies the lifetime of Target.
	Born int64
	// Leaving says that the sender shuts down, Responded that it responded at all.
	Leaving, Responded bool
	// LoadKnown is set if the target's response told its running and waiting requests, Load of them.
	LoadKnown bool
	Load      int
}

// FinishSender records how a request ended that StartSender handed over.
func (b *Balancer) FinishSender(r SenderReport, q Request, now time.Time) {
	b.FinishRelay(r.RelayReport, now)
	s := b.relayState(r.Name)
	if r.Leaving {
		s.fail("", now, leavingTTL)
	}
	if r.Responded {
		s.endPending(now)
	}
	t := b.targets[r.Target]
	if t == nil || t.state.Born != r.Born || !r.Responded {
		return
	}
	t.used, b.used[t.state.Service] = true, true
	if r.LoadKnown {
		t.otherLoad, t.otherLoadAt = max(0, float64(r.Load-t.inFlight-1)), now
		if t.loadModel() != nil {
			t.belief.Observe(t.otherLoad, t.slots(), now) // The sender tells neighbours.
		}
	}
	if q.hasAffinity() && len(q.Tried) == 0 {
		// The sender may have chosen another target.
		b.lastTargets.put(q.lastTargetKey(), r.Target)
	}
}

// senderUnresponsive reports whether an entry VM has responded to nothing for too long while it had requests of this one. An entry VM
// that loses power refuses no connection, and only few others of a large zone call it; the store tells seconds later.
func (b *Balancer) senderUnresponsive(name string, now time.Time) bool {
	s := b.relayStates[name]
	return s != nil && !s.pendingSince.IsZero() && now.Sub(s.pendingSince) > maxSenderPending && now.Before(s.nextTryAt)
}

// startPending records that the entry VM is handed a request as a sender.
func (s *relayState) startPending(now time.Time) {
	switch {
	case s.pendingSince.IsZero():
		s.pendingSince, s.nextTryAt = now, now.Add(maxSenderPending+senderRetryInterval)
	case now.Sub(s.pendingSince) > maxSenderPending:
		s.nextTryAt = now.Add(senderRetryInterval)
	}
}

// endPending records that it responded.
func (s *relayState) endPending(now time.Time) {
	s.pendingSince = time.Time{}
	if s.outstanding > 0 {
		s.pendingSince, s.nextTryAt = now, now.Add(maxSenderPending+senderRetryInterval)
	}
}
