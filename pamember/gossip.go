package pamember

import (
	"math/rand/v2"
	"time"
)

// newMessage returns a newMessage with the news that travel on all of them.
func (m *Member) newMessage(k Kind, nonce uint64) Message {
	v := Message{Kind: k, Nonce: nonce, From: m.self, Config: ConfigVersion{Sequence: m.advert.Sequence}}
	v.Heartbeats = m.zoneHeartbeats.counters(localStaleAfter)
	m.localUpdates.take(maxRumours, func(e *entry) { v.Records = append(v.Records, e.record) })
	m.reportUpdates.take(maxFacts, func(e *entry) {
		v.LoadReports = append(v.LoadReports, MemberLoadReport{Name: e.record.Name, Report: e.load})
	})
	return v
}

// gossipMessage returns a Gossip with the rumours of a queue; nil stands for none, for seeds that may not exist.
func (m *Member) gossipMessage(q *updateQueue) Message {
	v := Message{Kind: Gossip, From: m.self, Config: m.advert, Root: m.digests.root}
	if q == &m.localUpdates {
		v = m.newMessage(Gossip, 0)
		v.Root, v.Config = m.digests.root, m.advert
	}
	if q == &m.remoteUpdates {
		q.take(maxRumours, func(e *entry) { v.Records = append(v.Records, e.record) })
	}
	// Beats of other regions make up most of a gossip at 83 zones, and stand for 15 s: every second one is enough.
	if q != &m.localUpdates || m.random.IntN(2) == 0 {
		v.Heartbeats, v.Contacts = m.zoneHeartbeats.counters(remoteStaleAfter), m.contactHeartbeats.counters(contactStaleAfter)
	}
	return v
}

// gossipLocal exchanges news with a random member of the region, and asks the zones of the region that have not been
// heard of for a while. Without asking, a run of lost messages makes a zone Unreachable that is well, and its callers
// and targets move. The fuzzing found it in a region of seven at 5 % loss.
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

// pickZone returns a random one of the entries of a zone, or nil of none.
func pickZone(r *rand.Rand, all []*entry, zone *heartbeat) *entry {
	var some []*entry
	for _, e := range all {
		if e.zoneHeartbeat == zone {
			some = append(some, e)
		}
	}
	return pick(r, some)
}

// gossipRemote exchanges news with another region, if this daemon is a relay.
func (m *Member) gossipRemote(_ time.Time, out *Output) {
	if !m.index.relay {
		return
	}
	if e := m.pickFar(); e != nil {
		m.send(out, e, m.gossipMessage(&m.remoteUpdates))
	}
	// After a cut each side has lost the other and would stay so: relays go on trying one silent member a round.
	// Only relays do, so that a zone of 25 that comes back is met by 78 messages a second and not by 2,000.
	if e := pick(m.random, m.index.silent); e != nil {
		m.send(out, e, m.gossipMessage(nil))
	}
}

// receive takes in a message; what is not well formed is dropped whole. A member that has left takes in nothing more:
// it would refute its own leave, and callers' work would be sent to a process that ends.
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

// mergeSenderState takes in what a message says beside its kind.
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
	if v.Config.Sequence > m.advert.Sequence {
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

// mergeRecord takes in what someone knows of a member.
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

// addMember adds a member that was unknown. One that is gone already is not worth knowing.
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

// updateRecord replaces an entry's record by a newer one and spreads it.
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
	// A suspicion alone changes no group.
	if r.State > Suspected || old.State > Suspected || r.Incarnation > old.Incarnation && r.Zone != old.Zone {
		m.index.dirty = true
	}
	m.queueUpdate(e)
	if old.State != r.State || old.Incarnation != r.Incarnation {
		e.changedAt = now
		out.changed(StateChanged{Member: r.Identity, Old: old.State, New: r.State})
	}
}

// refute contradicts what others say of this member by a higher incarnation.
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

// mergeLoadReport takes in the facts of a member of the own region.
func (m *Member) mergeLoadReport(f MemberLoadReport) {
	e := m.entries[f.Name]
	if e == nil || f.Name == m.self.Name || e.record.Region != m.self.Region || !f.Report.Newer(e.load) {
		return
	}
	e.load = f.Report
	m.reportUpdates.add(e, reportSends)
	m.reportVersion++
}
