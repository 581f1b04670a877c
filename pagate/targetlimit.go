package pagate

import (
	"time"

	"papayahead/paevent"
	"papayahead/pasteer"
	"papayahead/pawire"
)

const (
	// maxLimitsPerCall bounds the notes on limits of targets in one message to a neighbour, limitsPerSecond and maxLimitBurst
	// those to all neighbours together; each takes some 50 bytes.
	maxLimitsPerCall = 64
	limitsPerSecond  = 200
	maxLimitBurst    = 2048
)

// limitsChanged logs changes of the limits that targets name, and tells the neighbours soon.
func (g *Gate) limitsChanged(all []pasteer.LimitChange) {
	for _, c := range all {
		if c.Limited {
			g.record(paevent.TargetLimited{Target: c.Target, Service: c.Service, PerSecond: c.PerSecond, Sender: c.IsSender})
		} else {
			g.record(paevent.TargetUnlimited{Target: c.Target, Service: c.Service})
		}
	}
	if len(all) > 0 {
		g.peers.wakeUp()
	}
}

// noteUnreadableLimit logs once for each target that it names something that is no rate.
func (g *Gate) noteUnreadableLimit(target string, value string) {
	if _, known := g.unreadableLimits.LoadOrStore(target, true); !known {
		g.record(paevent.TargetLimitUnreadable{Target: target, Value: value[:min(len(value), maxLoggedLimit)]})
	}
}

// maxLoggedLimit bounds what is logged of a value that is no rate.
const maxLoggedLimit = 40

// limitsAfter returns the notes on limits after one that the neighbour has, as far as the budget allows.
func (p *peers) limitsAfter(after uint64) (out []*pawire.LimitNote, last uint64) {
	now := p.gate.config.Clock.Now()
	count := min(maxLimitsPerCall, p.limitBudget.Available(now))
	p.gate.balancerMutex.Lock()
	all, last := p.gate.balancer.LimitNotes(after, count, now)
	p.gate.balancerMutex.Unlock()
	p.limitBudget.Spend(len(all))
	for _, n := range all {
		out = append(out, &pawire.LimitNote{
			Target: n.Target, Born: n.Born, Limited: n.Limited, PerSecond: n.PerSecond, AgeMilliseconds: uint32(n.Age.Milliseconds()),
		})
	}
	return out, last
}

// receiveLimits applies a neighbour's notes on limits.
func (p *peers) receiveLimits(all []*pawire.LimitNote) {
	if len(all) == 0 {
		return
	}
	notes := make([]pasteer.LimitNote, 0, len(all))
	for _, n := range all {
		notes = append(notes, pasteer.LimitNote{
			Target: n.GetTarget(), Born: n.GetBorn(), Limited: n.GetLimited(), PerSecond: n.GetPerSecond(),
			Age: time.Duration(n.GetAgeMilliseconds()) * time.Millisecond,
		})
	}
	p.gate.balancerMutex.Lock()
	p.gate.balancer.ApplyLimitNotes(notes, p.gate.config.Clock.Now())
	changes := p.gate.balancer.LimitChanges()
	p.gate.balancerMutex.Unlock()
	p.gate.limitsChanged(changes)
}
