package pamember

import (
	"math"
	"slices"
	"time"

	"papayahead/pabundle"
)

// probes is the failure detector of one daemon for the members of its zone.
type probes struct {
	pending []*probe
	relayed []relayedPing
	nonce   uint64
	// health is a local health score from 0 (healthy) to maxHealth. A daemon that misses the answers of all helpers too
	// is probably at fault itself, so it probes more slowly and waits longer instead of accusing others. An answer of
	// one helper rules that out: after the loss of a rack half of the helpers are silent as well.
	health int
}

type probe struct {
	target   *entry
	nonce    uint64
	deadline time.Time
	indirect bool
	round    int
	// helperReplied says that a helper answered, if only with a Nack.
	helperReplied bool
}

// relayedPing is a ping sent on behalf of another daemon.
type relayedPing struct {
	nonce, origin uint64
	to            Envelope
	deadline      time.Time
}

// suspicion is the time that a member has to refute, and who accused it.
type suspicion struct {
	started  time.Time
	accusers []pabundle.EntryName
	// undecided says that the time is over, but that this daemon has heard from nobody and so does not declare the
	// member dead.
	undecided bool
}

// suspicionTimeout returns how long a suspected member has to refute. One that this daemon never heard from gets the
// minimum: it is known only from others' records, as after the restart of a zone, when most suspected members are dead.
func (m *Member) suspicionTimeout(e *entry) time.Duration {
	if e.lastHeard.IsZero() {
		return m.probes.scaleTimeout(minSuspicion)
	}
	return m.probes.scaleTimeout(e.suspicion.timeout(len(m.index.zone)))
}

// timeout falls from maxSuspicion to minSuspicion with the logarithm of the number of further accusers.
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
// some members that were never heard from: after the restart of a zone those are the ones likely to be dead.
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

// expireProbes advances probes whose deadline has passed: to indirect pings, to the next round, to a suspicion.
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

// askHelpers pings the target once more and asks other members to ping it too, which tells a dead member from a bad
// link to it.
func (m *Member) askHelpers(now time.Time, p *probe, out *Output) {
	p.indirect = true
	p.deadline = now.Add(m.probes.scaleTimeout(indirectTimeout))
	m.send(out, p.target, m.newMessage(Ping, p.nonce))
	asked := []*entry{p.target}
	for range 3 * helpers {
		// Prefer the more recently heard of two random members: after the loss of a rack it is more likely to be alive.
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

// suspect records an accusation against a member and starts its time to refute.
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
	// An own probe confirms a death sooner and clears a false suspicion sooner.
	const confirmers = 5
	if accuser != m.self.Name && e.record.Zone == m.self.Zone && m.random.IntN(max(len(m.index.zone), 1)) < confirmers {
		m.startProbe(now, e, 1, out)
	}
}

// expireSuspicions declares suspected members of the own zone dead once their time to refute is over.
//
// A daemon that has heard from nobody since the suspicion began is probably cut off itself and declares nobody dead:
// otherwise an entry VM that can send but not receive would declare its whole zone dead.
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

// markUndecided marks a suspicion as undecided, which shows the member as Unreachable; it returns the number of changes
// made.
func (s *suspicion) markUndecided() uint64 {
	if s.undecided {
		return 0
	}
	s.undecided = true
	return 1
}

// handleAck ends the probe that an Ack answers, or passes the Ack on to the daemon for which this one pinged.
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

// handleNack notes that a helper got no answer: the helper itself is reachable.
func (m *Member) handleNack(nonce uint64) {
	for _, p := range m.probes.pending {
		if p.nonce == nonce {
			p.helperReplied = true
		}
	}
}

// relayPing pings a member on behalf of another daemon.
func (m *Member) relayPing(now time.Time, v Message, out *Output) {
	const maxRelayed = 64
	if len(m.probes.relayed) >= maxRelayed || !v.SubjectAddress.IsValid() {
		return
	}
	r := relayedPing{
		nonce: m.probes.nextNonce(), origin: v.Nonce, deadline: now.Add(pingTimeout),
		to: Envelope{To: v.From.Name, Address: v.From.PeerAddress},
	}
	m.probes.relayed = append(m.probes.relayed, r)
	out.Send = append(out.Send, Envelope{To: v.Subject, Address: v.SubjectAddress, Message: m.newMessage(Ping, r.nonce)})
}
