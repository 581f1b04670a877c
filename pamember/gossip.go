package pamember

import (
	"math/rand/v2"
	"time"
)

// newMessage returns a message with the updates that are piggybacked on every message.
func (m *Member) newMessage(k Kind, nonce uint64) Message {
	v := Message{Kind: k, Nonce: nonce, From: m.self, Config: ConfigVersion{Sequence: m.config.Sequence}}
	v.Heartbeats = m.zoneHeartbeats.counters(localStaleAfter)
	m.localUpdates.take(maxUpdates, func(e *entry) { v.Records = append(v.Records, e.record) })
	m.reportUpdates.take(maxReports, func(e *entry) {
		v.LoadReports = append(v.LoadReports, MemberLoadReport{Name: e.record.Name, Report: e.load})
	})
	return v
}

// gossipMessage returns a Gossip message with the updates of a queue; nil means no updates, for peers that may not exist.
func (m *Member) gossipMessage(q *updateQueue) Message {
	v := Message{Kind: Gossip, From: m.self, Config: m.config, Root: m.digests.root}
	if q == &m.localUpdates {
		v = m.newMessage(Gossip, 0)
		v.Root, v.Config = m.digests.root, m.config
	}
	if q == &m.remoteUpdates {
		q.take(maxUpdates, func(e *entry) { v.Records = append(v.Records, e.record) })
	}
	// Heartbeats of other regions are most of a gossip message at 83 zones. They go stale after 15 s only, so that every
	// second message is enough.
	if q != &m.localUpdates || m.random.IntN(2) == 0 {
		v.Heartbeats, v.Contacts = m.zoneHeartbeats.counters(remoteStaleAfter), m.contactHeartbeats.counters(contactStaleAfter)
	}
	return v
}

// gossipLocal gossips with a random member of the region, and queries the zones of the region whose heartbeat has not
// risen for queryAfter. Without the queries, a run of lost messages makes a healthy zone Unreachable and moves its callers
// and targets, as fuzzing showed in a region of seven at 5 % loss.
func (m *Member) gossipLocal(now time.Time, out *Output) {
	if e := pick(m.random, m.index.region); e != nil {
		m.send(out, e, m.gossipMessage(&m.localUpdates))
	}
	for _, b := range m.zoneHeartbeats.order {
		if b.staleAfter != localStaleAfter || b.lost || now.Sub(b.advanced) < queryAfter {
			continue
		}
		const asked = 2
		for range asked {
			if e := pickZone(m.random, m.index.region, b); e != nil {
				m.send(out, e, m.gossipMessage(nil))
			}
		}
	}
}

// pickZone returns a random entry of a zone, or nil if there is none.
func pickZone(r *rand.Rand, all []*entry, zone *heartbeat) *entry {
	var some []*entry
	for _, e := range all {
		if e.zoneHeartbeat == zone {
			some = append(some, e)
		}
	}
	return pick(r, some)
}

// gossipRemote gossips with another region, if this daemon is a relay.
func (m *Member) gossipRemote(_ time.Time, out *Output) {
	if !m.index.relay {
		return
	}
	if e := m.pickRemote(); e != nil {
		m.send(out, e, m.gossipMessage(&m.remoteUpdates))
	}
	// After a partition neither side would contact the other again, so relays try one silent member a round. Only relays
	// do, so that a zone of 25 that comes back gets 78 messages a second and not 2,000.
	if e := pick(m.random, m.index.silent); e != nil {
		m.send(out, e, m.gossipMessage(nil))
	}
}

// receive handles a message and drops malformed ones. A member that has left ignores all messages: otherwise it could
// refute its own departure, and callers' requests would go to a process that is exiting.
func (m *Member) receive(now time.Time, v Message, out *Output) {
	if v.Check() != nil || v.From.Name == m.self.Name || m.self.State == Left {
		return
	}
	m.lastHeard = now
	m.mergeRecord(now, v.From, out)
	m.syncing = v.Kind == SyncRecords
	for _, r := range v.Records {
		m.mergeRecord(now, r, out)
	}
	m.syncing = false
	e := m.entries[v.From.Name]
	if e == nil || e.record.Incarnation > v.From.Incarnation {
		return
	}
	m.mergeSenderState(now, e, v, out)
	switch v.Kind {
	case Ping:
		m.send(out, e, m.newMessage(Ack, v.Nonce))
	case Ack:
		m.handleAck(now, v.Nonce, out)
	case Nack:
		m.handleNack(v.Nonce)
	case PingRequest:
		m.relayPing(now, v, out)
	case Gossip:
		m.replyGossip(e, v, out)
	case GossipReply:
		m.compareRegions(now, e, v, out)
	case SyncZones:
		m.replySync(e, v, out)
	case SyncRecords:
		m.continueSync(now, e, v, out)
	}
}

// mergeSenderState merges what every kind of message carries: load reports, heartbeats and the sender's configuration version.
func (m *Member) mergeSenderState(now time.Time, e *entry, v Message, out *Output) {
	e.lastHeard = now
	for _, f := range v.LoadReports {
		m.mergeLoadReport(f)
	}
	for _, b := range v.Heartbeats {
		m.zoneHeartbeats.observe(now, b)
	}
	if e.record.Region == m.self.Region {
		for _, b := range v.Contacts {
			m.contactHeartbeats.observe(now, b)
		}
	} else if m.contactHeartbeats.byGroup[group(string(e.record.Region))] != nil {
		m.contactHeartbeats.increment(now, group(string(e.record.Region)))
	}
	if v.Config.Sequence > m.config.Sequence {
		out.changed(NewerConfigSeen{From: v.From.Identity, Config: v.Config})
	}
}

func (m *Member) replyGossip(e *entry, v Message, out *Output) {
	q := &m.localUpdates
	if e.record.Region != m.self.Region {
		q = &m.remoteUpdates
	}
	r := m.gossipMessage(q)
	r.Kind = GossipReply
	if v.Root != m.digests.root {
		r.Digests = m.digests.regionDigests()
	}
	m.send(out, e, r)
}

// mergeRecord merges a received record of a member.
func (m *Member) mergeRecord(now time.Time, r Record, out *Output) {
	if r.Name == m.self.Name {
		m.refute(now, r, out)
		return
	}
	e := m.entries[r.Name]
	switch {
	case e == nil:
		m.addMember(now, r, out)
	case r.State == Suspected && r.Incarnation == e.record.Incarnation && e.record.State <= Suspected:
		m.suspect(now, e, r.Accuser, out)
	case r.Supersedes(e.record):
		m.updateRecord(now, e, r, out)
	}
}

// addMember adds a member that was unknown, unless its record says that it is gone.
func (m *Member) addMember(now time.Time, r Record, out *Output) {
	if r.State.Gone() {
		return
	}
	e := &entry{record: r, changedAt: now, zoneHeartbeat: m.trackZone(now, r.Identity)}
	if r.State == Suspected {
		e.suspicion = &suspicion{started: now}
	}
	m.insert(e)
	m.queueUpdate(e)
	out.changed(StateChanged{Member: r.Identity, Old: r.State, New: r.State})
}

// updateRecord replaces an entry's record by a newer one and queues the update.
func (m *Member) updateRecord(now time.Time, e *entry, r Record, out *Output) {
	old := e.record
	m.digests.replace(old, r)
	e.record = r
	if r.Incarnation > old.Incarnation {
		e.suspicion, e.load, e.lastHeard = nil, LoadReport{}, time.Time{}
		e.zoneHeartbeat = m.trackZone(now, r.Identity)
	}
	if r.State == Suspected && e.suspicion == nil {
		e.suspicion = &suspicion{started: now}
	}
	// A suspicion alone changes no group of the index.
	if r.State > Suspected || old.State > Suspected || r.Incarnation > old.Incarnation && r.Zone != old.Zone {
		m.index.dirty = true
	}
	m.queueUpdate(e)
	if old.State != r.State || old.Incarnation != r.Incarnation {
		e.changedAt = now
		out.changed(StateChanged{Member: r.Identity, Old: old.State, New: r.State})
	}
}

// refute raises the own incarnation above a received record that contradicts the own state.
func (m *Member) refute(now time.Time, r Record, out *Output) {
	if r.Incarnation < m.self.Incarnation {
		return
	}
	if r.Incarnation == m.self.Incarnation && r.State <= m.self.State {
		return
	}
	own := m.self
	own.Incarnation = r.Incarnation + 1
	m.setSelf(now, own, out)
	out.changed(Refuted{Claimed: r.State})
}

// mergeLoadReport merges the load report of a member of the own region.
func (m *Member) mergeLoadReport(f MemberLoadReport) {
	e := m.entries[f.Name]
	if e == nil || f.Name == m.self.Name || e.record.Region != m.self.Region || !f.Report.Newer(e.load) {
		return
	}
	e.load = f.Report
	m.reportUpdates.add(e, reportSends)
	m.reportVersion++
}
