package pagate

import (
	"math"
	"slices"
	"time"

	"papayahead/pafleet"
	"papayahead/paload"
	"papayahead/pawire"
)

const (
	// maxLoadsPerCall bounds the notes on loads in one message to a neighbour, loadsPerSecond and maxLoadBurst those to all neighbours
	// together. Each takes some 8 bytes, so that all take a fifth of the 10 KB a second for control traffic.
	maxLoadsPerCall = 128
	loadsPerSecond  = 250
	maxLoadBurst    = 500
	// loadAgeUnit is the unit of ages in messages.
	loadAgeUnit = 10 * time.Millisecond
	// percent is the unit of slowness in messages.
	percent = 100.0
)

// wantLoads asks a neighbour of the own region for notes on loads if a service is contended. In a region that is small enough every
// entry VM asks all others, and none needs to relay what it has from another one; in a larger one every other neighbour is asked for
// relayed notes as well, as for warm notes.
func (p *peers) wantLoads(q *pawire.SyncRequest, c *peerConn, e pafleet.Entry) {
	if !p.gate.isContended() {
		return
	}
	all := p.gate.neighbours(p.gate.state.Load().entries)
	i := slices.IndexFunc(all, func(o pafleet.Entry) bool { return o.Name == e.Name })
	if i < 0 {
		return
	}
	q.LoadsWanted, q.LoadsAfter = true, c.lastLoad
	q.LoadsRelayed = len(all) == maxNeighbours && i%2 == 0
}

// isContended reports whether a service is contended.
func (g *Gate) isContended() bool {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	return g.balancer.AnyContended()
}

// loadsAfter returns the notes on loads after one that the neighbour has, as far as the budget allows.
func (p *peers) loadsAfter(after uint64, relayed bool) (*pawire.LoadNotes, uint64) {
	now := p.gate.config.Clock.Now()
	count := min(maxLoadsPerCall, p.loadBudget.Available(now))
	p.gate.balancerMutex.Lock()
	all, last := p.gate.balancer.LoadNotes(after, count, relayed, now)
	p.gate.balancerMutex.Unlock()
	p.loadBudget.Spend(len(all))
	p.gate.meter.loadNotesSent.Add(len(all))
	return encodeLoads(all), last
}

// receiveLoads applies the notes on loads in a neighbour's reply.
func (p *peers) receiveLoads(c *peerConn, r *pawire.SyncReply) {
	if r.GetLoadsLast() > 0 {
		c.lastLoad = r.GetLoadsLast()
	}
	all := decodeLoads(r.GetLoads())
	if len(all) == 0 {
		return
	}
	p.gate.meter.loadNotesReceived.Add(len(all))
	p.gate.balancerMutex.Lock()
	defer p.gate.balancerMutex.Unlock()
	p.gate.balancer.ApplyLoadNotes(all, p.gate.config.Clock.Now())
}

// encodeLoads returns the message for notes; nil for none.
func encodeLoads(all []paload.Note) *pawire.LoadNotes {
	if len(all) == 0 {
		return nil
	}
	m := &pawire.LoadNotes{}
	slow := false
	for _, n := range all {
		m.Targets = append(m.Targets, n.Key)
		m.Loads = append(m.Loads, uint32(math.Round(n.Load)))
		m.Slowness = append(m.Slowness, uint32(math.Round(n.Slowness*percent)))
		m.AgeHundredths = append(m.AgeHundredths, uint32(n.Age/loadAgeUnit))
		slow = slow || n.Slowness > 0
	}
	if !slow {
		m.Slowness = nil
	}
	return m
}

// decodeLoads returns the notes of a message, maxLoadsPerCall at most; none if its lists do not match.
func decodeLoads(m *pawire.LoadNotes) []paload.Note {
	count := len(m.GetTargets())
	if len(m.GetLoads()) != count || len(m.GetAgeHundredths()) != count || len(m.GetSlowness()) != 0 && len(m.GetSlowness()) != count {
		return nil
	}
	all := make([]paload.Note, min(count, maxLoadsPerCall))
	for i := range all {
		all[i] = paload.Note{Key: m.Targets[i], Load: float64(m.Loads[i]), Age: time.Duration(m.AgeHundredths[i]) * loadAgeUnit}
		if len(m.Slowness) > 0 {
			all[i].Slowness = float64(m.Slowness[i]) / percent
		}
	}
	return all
}

// exportLoadAccuracy exports, by the age of the believed load of targets that answered, how many answers there were, and the sum of the
// differences between the believed loads and those in the answers.
func (m *meter) exportLoadAccuracy(g *Gate) {
	for _, class := range paload.AgeClasses {
		label := `{age="` + class.String() + `"}`
		m.set.NewGauge("papayahead_gate_believed_loads_total"+label, func() float64 { return float64(g.loadAccuracy().Responses[class]) })
		m.set.NewGauge("papayahead_gate_believed_load_error_requests_total"+label, func() float64 { return g.loadAccuracy().Error[class] })
	}
}

func (g *Gate) loadAccuracy() paload.Accuracy {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	return g.balancer.LoadAccuracy()
}
