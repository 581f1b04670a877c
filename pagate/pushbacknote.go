package pagate

import (
	"time"

	"papayahead/pasteer"
	"papayahead/pawire"
)

const (
	// maxPushbacksPerCall bounds the notes on pushbacks in one message to a neighbour, pushbacksPerSecond and maxPushbackBurst those to
	// all neighbours together; each takes some 30 bytes.
	maxPushbacksPerCall = 64
	pushbacksPerSecond  = 200
	maxPushbackBurst    = 2048
)

// pushbacksAfter returns the notes on pushbacks after one that the neighbour has, as far as the budget allows.
func (p *peers) pushbacksAfter(after uint64) (out []*pawire.PushbackNote, last uint64) {
	now := p.gate.config.Clock.Now()
	count := min(maxPushbacksPerCall, p.pushbackBudget.Available(now))
	p.gate.balancerMutex.Lock()
	all, last := p.gate.balancer.PushbackNotes(after, count, now)
	p.gate.balancerMutex.Unlock()
	p.pushbackBudget.Spend(len(all))
	for _, n := range all {
		out = append(out, &pawire.PushbackNote{
			Target: n.Target, Born: n.Born, AgeMilliseconds: uint32(n.Age.Milliseconds()), LeftMilliseconds: uint32(n.Left.Milliseconds()),
		})
	}
	return out, last
}

// receivePushbacks applies a neighbour's notes on pushbacks.
func (p *peers) receivePushbacks(all []*pawire.PushbackNote) {
	if len(all) == 0 {
		return
	}
	notes := make([]pasteer.PushbackNote, 0, len(all))
	for _, n := range all {
		notes = append(notes, pasteer.PushbackNote{
			Target: n.GetTarget(), Born: n.GetBorn(), Age: time.Duration(n.GetAgeMilliseconds()) * time.Millisecond,
			Left: time.Duration(n.GetLeftMilliseconds()) * time.Millisecond,
		})
	}
	p.gate.balancerMutex.Lock()
	defer p.gate.balancerMutex.Unlock()
	p.gate.balancer.ApplyPushbackNotes(notes, p.gate.config.Clock.Now())
}
