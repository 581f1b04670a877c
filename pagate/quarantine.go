package pagate

import (
	"context"
	"net/http"
	"slices"
	"time"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paquarantine"
	"papayahead/pasteer"
	"papayahead/pawire"
)

const (
	// trialStep is how much later than the one before it an entry VM tries a request whose time is over: until then it has
	// heard what became of the trial there.
	trialStep = 5 * time.Second
	// maxEndsPerCall bounds the findings in one message to a neighbour, endsPerSecond and maxEndBurst those to all neighbours
	// together; each takes some 70 bytes.
	maxEndsPerCall = 64
	endsPerSecond  = 200
	maxEndBurst    = 2048
)

// admitQuarantined refuses a request that is held off, since targets ended under it. The caller calls done at the end of a
// request that is admitted.
func (g *Gate) admitQuarantined(w http.ResponseWriter, x *exchange) (done func(), admitted bool) {
	if !g.quarantine.Active() {
		return func() {}, true
	}
	done, r := g.quarantine.Admit(x.contentFingerprint(), g.trialDelay, g.config.Clock.Now())
	if r == nil {
		return done, true
	}
	reason := reasonSuspected
	if r.Held {
		reason = reasonEndsTargets
	}
	g.refuse(w, x, reason, r.RetryAfter)
	return nil, false
}

// trialDelay is how much later than the first entry VM this one tries a request whose time is over.
func (g *Gate) trialDelay() time.Duration {
	all := g.liveByHash(g.state.Load())
	rank := slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	return trialStep * time.Duration(max(0, rank))
}

// mayRepeat reports whether a request that a target may have run may be sent to another one.
func (g *Gate) mayRepeat(x *exchange) bool {
	return !g.quarantine.Active() || g.quarantine.MayRetry(x.contentFingerprint())
}

// noteAnswered records what a response of a target tells: that it has not ended, and that its request ends no targets.
func (g *Gate) noteAnswered(x *exchange, c pasteer.Choice, r attemptResult) {
	if !g.quarantine.Active() || r.outcome > pasteer.Shed {
		return
	}
	now := g.config.Clock.Now()
	changes := g.quarantine.Alive(paquarantine.Lifetime{Target: c.Target, Born: c.Born}, r.connOpened, now)
	if r.reply != nil && r.reply.status < http.StatusInternalServerError {
		changes = append(changes, g.quarantine.Add(now, paquarantine.Answered{Request: x.contentFingerprint(), At: now})...)
	}
	g.quarantineChanged(changes)
}

// recordLosses records requests that were lost with a target that has ended, and tells neighbours at once.
func (g *Gate) recordLosses(all ...paquarantine.Loss) {
	findings := make([]paquarantine.Finding, len(all))
	for i, l := range all {
		findings[i] = l
	}
	g.quarantineChanged(g.quarantine.Add(g.config.Clock.Now(), findings...))
	g.peers.wakeUp()
}

// quarantineChanged logs which requests are held off from now on, or no longer.
func (g *Gate) quarantineChanged(all []paquarantine.Change) {
	for _, c := range all {
		if c.Held {
			left := c.Until.Sub(g.config.Clock.Now())
			g.record(paevent.RequestHeld{Resource: c.Resource.String(), Targets: c.Targets, Milliseconds: left.Milliseconds()})
		} else {
			g.record(paevent.RequestReleased{Resource: c.Resource.String(), Cause: string(c.Cause)})
		}
	}
	if len(all) > 0 {
		g.peers.wakeUp()
	}
}

// Release handles an operator's call to release requests that are held off.
func (p *peers) Release(_ context.Context, q *pawire.ReleaseRequest) (*pawire.ReleaseReply, error) {
	changes, n := p.gate.quarantine.Release(paquarantine.Resource(q.GetResource()), p.gate.config.Clock.Now())
	p.gate.quarantineChanged(changes)
	return &pawire.ReleaseReply{Requests: uint32(n)}, nil
}

// endsAfter returns the findings on ended targets after one that the neighbour has, as far as the budget allows.
func (p *peers) endsAfter(after uint64) ([]*pawire.EndFinding, uint64) {
	now := p.gate.config.Clock.Now()
	all, last := p.gate.quarantine.After(after, min(maxEndsPerCall, p.endBudget.Available(now)))
	p.endBudget.Spend(len(all))
	out := make([]*pawire.EndFinding, len(all))
	for i, f := range all {
		out[i] = encodeFinding(f, now)
	}
	return out, last
}

// receiveEnds adds a neighbour's findings, and passes on what is new.
func (p *peers) receiveEnds(all []*pawire.EndFinding) {
	if len(all) == 0 {
		return
	}
	now := p.gate.config.Clock.Now()
	var findings []paquarantine.Finding
	for _, f := range all {
		if decoded := decodeFinding(f, now); decoded != nil {
			findings = append(findings, decoded)
		}
	}
	changes, learned := p.gate.quarantine.Learn(now, findings...)
	p.gate.quarantineChanged(changes)
	if learned {
		p.wakeUp()
	}
}

func encodeFinding(f paquarantine.Finding, now time.Time) *pawire.EndFinding {
	age := func(at time.Time) uint32 { return uint32(max(0, now.Sub(at)).Milliseconds()) }
	switch f := f.(type) {
	case paquarantine.Loss:
		return &pawire.EndFinding{Loss: &pawire.EndLoss{
			Request: f.Request[:], Resource: uint64(f.Resource), Target: f.Target.Target, Born: f.Target.Born,
			SentMilliseconds: age(f.Sent), EndedMilliseconds: age(f.Ended),
		}}
	case paquarantine.Answered:
		return &pawire.EndFinding{Answered: &pawire.EndAnswered{Request: f.Request[:], AgeMilliseconds: age(f.At)}}
	case paquarantine.Refuted:
		return &pawire.EndFinding{Refuted: &pawire.EndRefuted{Target: f.Target.Target, Born: f.Target.Born}}
	}
	panic("pagate: encode an unknown finding")
}

// decodeFinding returns nil for a finding that it cannot decode, as of a later version.
func decodeFinding(f *pawire.EndFinding, now time.Time) paquarantine.Finding {
	before := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	switch {
	case len(f.GetLoss().GetRequest()) == len(paquarantine.Fingerprint{}):
		l := f.GetLoss()
		return paquarantine.Loss{
			Request: paquarantine.Fingerprint(l.GetRequest()), Resource: paquarantine.Resource(l.GetResource()),
			Target: paquarantine.Lifetime{Target: l.GetTarget(), Born: l.GetBorn()},
			Sent:   before(max(l.GetSentMilliseconds(), l.GetEndedMilliseconds())), Ended: before(l.GetEndedMilliseconds()),
		}
	case len(f.GetAnswered().GetRequest()) == len(paquarantine.Fingerprint{}):
		return paquarantine.Answered{
			Request: paquarantine.Fingerprint(f.GetAnswered().GetRequest()), At: before(f.GetAnswered().GetAgeMilliseconds()),
		}
	case f.GetRefuted() != nil:
		return paquarantine.Refuted{Target: paquarantine.Lifetime{Target: f.GetRefuted().GetTarget(), Born: f.GetRefuted().GetBorn()}}
	}
	return nil
}
