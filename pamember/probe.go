package pamember

import (
	"math"
	"slices"
	"time"

	"papayahead/pabundle"
)

// probes is the failure detection of one daemon over the members of its zone.
type probes struct {
	pending []*probe
	relayed []relayedPing
	nonce   uint64
	// health counts own troubles, 0 (none) to maxHealth. Who misses the answers of all helpers as well is likely in
	// trouble itself: it probes more slowly and waits longer, instead of accusing the others. One that reports is
	// enough to rule that out: after a rack's loss half of the helpers are silent as well.
	health int
}

type probe struct {
	target   *entry
	nonce    uint64
	deadline time.Time
	indirect bool
	round    int
	// helperReplied says that a helper reported, also that it got no answer.
	helperReplied bool
}

// relayedPing is a ping sent on behalf of another daemon.
type relayedPing struct {
	nonce, origin uint64
	to            Envelope
	deadline      time.Time
}

// suspicion is a member's time to refute.
type suspicion struct {
	started  time.Time
	accusers []pabundle.EntryName
	// undecided says that the time is over, but that this daemon hears nobody and so does not judge.
	undecided bool
}

// suspicionTimeout is how long a suspected member has. One that this daemon never heard from gets the minimum: it is known
// from others' records only, as after a zone's restart, when most of those who are suspected are dead.
func (m *Member) suspicionTimeout(e *entry) time.Duration {
	if e.lastHeard.IsZero() {
		return m.probes.scaleTimeout(minSuspicion)
	}
	return m.probes.scaleTimeout(e.suspicion.timeout(len(m.index.zone)))
}

// timeout falls from suspectMax to suspectMin with the logarithm of the further accusers.
func (s *suspicion) timeout(others int) time.Duration {
	need := min(extraAccusers, others-1)
	if need < 1 {
		return minSuspicion
	}
	further := float64(min(len(s.accusers)-1, need))
	part := math.Log(further+1) / math.Log(float64(need)+1)
	return maxSuspicion - time.Duration(part*float64(maxSuspicion-minSuspicion))
}

func (p *probes) scaleTimeout(d time.Duration) time.Duration { return d * time.Duration(1+p.health) }

func (p *probes) degrade() { p.health = min(p.health+1, maxHealth) }
func (p *probes) improve() { p.health = max(p.health-1, 0) }

func (p *probes) nextNonce() uint64 {
	p.nonce++
	return p.nonce
}

// probeNext probes the next member of the zone in a shuffled order, which bounds the time until each is probed, and
// some members that were never heard from: after a zone's restart those are the likely dead.
func (m *Member) probeNext(now time.Time, out *Output) {
	zone := m.index.zone
	if len(zone) == 0 {
		return
	}
	m.index.nextZone = (m.index.nextZone + 1) % len(zone)
	m.startProbe(now, zone[m.index.nextZone], 1, out)
	extra := 0
	for _, e := range zone {
		if extra < unheardProbes && e.lastHeard.IsZero() && m.startProbe(now, e, 1, out) {
			extra++
		}
	}
}

func (m *Member) startProbe(now time.Time, e *entry, round int, out *Output) bool {
	if slices.ContainsFunc(m.probes.pending, func(p *probe) bool { return p.target == e }) {
		return false
	}
	p := &probe{target: e, nonce: m.probes.nextNonce(), round: round, deadline: now.Add(m.probes.scaleTimeout(pingTimeout))}
	m.probes.pending = append(m.probes.pending, p)
	m.send(out, e, m.newMessage(Ping, p.nonce))
	return true
}

// expireProbes moves probes without an answer on: to helpers, to the next round, to a suspicion.
func (m *Member) expireProbes(now time.Time, out *Output) {
	var failed []*probe
	kept := m.probes.pending[:0]
	for _, p := range m.probes.pending {
		switch {
		case now.Before(p.deadline):
			kept = append(kept, p)
		case !m.usable(p.target):
		case !p.indirect:
			m.askHelpers(now, p, out)
			kept = append(kept, p)
		default:
			failed = append(failed, p)
		}
	}
	m.probes.pending = kept
	for _, p := range failed {
		if !p.helperReplied {
			m.probes.degrade()
		}
		if p.round < probeRounds {
			m.startProbe(now, p.target, p.round+1, out)
			continue
		}
		m.suspect(now, p.target, m.self.Name, out)
	}
	m.expireRelayed(now, out)
}

func (m *Member) expireRelayed(now time.Time, out *Output) {
	kept := m.probes.relayed[:0]
	for _, r := range m.probes.relayed {
		if now.Before(r.deadline) {
			kept = append(kept, r)
			continue
		}
		r.to.Message = m.newMessage(Nack, r.origin)
		out.Send = append(out.Send, r.to)
	}
	m.probes.relayed = kept
}

// askHelpers pings once more and has some other members do so, which tells a dead member from a bad link to it.
func (m *Member) askHelpers(now time.Time, p *probe, out *Output) {
	p.indirect = true
	p.deadline = now.Add(m.probes.scaleTimeout(indirectTimeout))
	m.send(out, p.target, m.newMessage(Ping, p.nonce))
	asked := []*entry{p.target}
	for range 3 * helpers {
		// Of two draws the one heard from later: after a rack's loss it is more likely to be there.
		e := pick(m.random, m.index.region)
		if o := pick(m.random, m.index.region); e != nil && o.lastHeard.After(e.lastHeard) {
			e = o
		}
		if len(asked) > helpers || e == nil {
			break
		}
		if slices.Contains(asked, e) || e.record.State != Alive {
			continue
		}
		asked = append(asked, e)
		q := m.newMessage(PingRequest, p.nonce)
		q.Subject, q.SubjectAddress = p.target.record.Name, p.target.record.PeerAddress
		m.send(out, e, q)
	}
}

// suspect takes in that someone suspects a member.
func (m *Member) suspect(now time.Time, e *entry, accuser pabundle.EntryName, out *Output) {
	if e.record.State.Gone() {
		return
	}
	if e.suspicion == nil {
		e.suspicion = &suspicion{started: now}
	}
	s := e.suspicion
	if slices.Contains(s.accusers, accuser) || len(s.accusers) > extraAccusers {
		return
	}
	s.accusers = append(s.accusers, accuser)
	if e.record.State > Suspected {
		return
	}
	r := e.record
	r.State, r.Accuser = Suspected, accuser
	m.updateRecord(now, e, r, out)
	// Looking for oneself both confirms a death sooner and clears a false suspicion sooner.
	const confirmers = 5
	if accuser != m.self.Name && e.record.Zone == m.self.Zone && m.random.IntN(max(len(m.index.zone), 1)) < confirmers {
		m.startProbe(now, e, 1, out)
	}
}

// expireSuspicions declares members of the own zone dead whose time to refute is over.
//
// A daemon that has heard nobody since the suspicion began is likely the one that is cut off, and does not judge:
// otherwise an entry VM with a dead receiving side would declare its whole zone dead.
func (m *Member) expireSuspicions(now time.Time, out *Output) {
	for _, e := range m.index.zone {
		s := e.suspicion
		if s == nil || now.Sub(s.started) < m.suspicionTimeout(e) {
			continue
		}
		if !m.lastHeard.After(s.started) {
			m.version += s.markUndecided()
			continue
		}
		r := e.record
		r.State, r.Accuser = Dead, ""
		m.updateRecord(now, e, r, out)
	}
}

// markUndecided marks a suspicion as unjudged, which shows the member as Unreachable; it returns the changes made.
func (s *suspicion) markUndecided() uint64 {
	if s.undecided {
		return 0
	}
	s.undecided = true
	return 1
}

// handleAck takes in that a member handleAck a probe.
func (m *Member) handleAck(now time.Time, nonce uint64, out *Output) {
	for i, p := range m.probes.pending {
		if p.nonce != nonce {
			continue
		}
		m.probes.pending = slices.Delete(m.probes.pending, i, i+1)
		m.probes.improve()
		p.target.lastHeard = now
		if p.target.record.State != Suspected {
			p.target.suspicion = nil
		}
		return
	}
	for i, r := range m.probes.relayed {
		if r.nonce == nonce {
			m.probes.relayed = slices.Delete(m.probes.relayed, i, i+1)
			r.to.Message = m.newMessage(Ack, r.origin)
			out.Send = append(out.Send, r.to)
			return
		}
	}
}

// handleNack takes in that a helper got no answer: the helper is well, and so is the way to it.
func (m *Member) handleNack(nonce uint64) {
	for _, p := range m.probes.pending {
		if p.nonce == nonce {
			p.helperReplied = true
		}
	}
}

// relayPing pings a member on behalf of another.
func (m *Member) relayPing(now time.Time, v Message, out *Output) {
	const maxRelayed = 64
	if len(m.probes.relayed) >= maxRelayed || !v.SubjectAddress.IsValid() {
		return
	}
	r := relayedPing{nonce: m.probes.nextNonce(), origin: v.Nonce, deadline: now.Add(pingTimeout), to: Envelope{To: v.From.Name, Address: v.From.PeerAddress}}
	m.probes.relayed = append(m.probes.relayed, r)
	out.Send = append(out.Send, Envelope{To: v.Subject, Address: v.SubjectAddress, Message: m.newMessage(Ping, r.nonce)})
}
