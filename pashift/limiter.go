package pashift

import (
	"math"
	"slices"
	"time"

	"papayahead/pabundle"
)

const (
	// maxStep bounds the time that counts for the movement of one step. Otherwise an entry VM that was
	// frozen or partitioned for minutes would move its shares in one jump. It exceeds the usual tick
	// and is far shorter than a window of the cap.
	maxStep = time.Second
	// downAfter is how long a region must be reported down before its shares drop to 0. Otherwise one
	// lost report would empty a region, and the cap lets its shares return only slowly. It is two ticks.
	downAfter = 2 * time.Second
	// upAfter is how long a region must be reported up before its shares return. Otherwise a flapping
	// region would move traffic each time. It covers several health probes of a restarted target.
	upAfter = 10 * time.Second
	// maxAge is the age from which on a reading is ignored, so that the limiter does not act on an
	// outdated load. It tolerates three lost reports in a row.
	maxAge = 15 * time.Second
	// reactionTime is the time from a change of shares until readings reflect it: cached look-ups, run
	// time and the delay of the report. Acting sooner would correct the same excess twice.
	reactionTime = 10 * time.Second
	// gain is the fraction of an excess that one action removes; below 1, it does not overshoot.
	gain = 0.4
	// highLoad and lowLoad are the loads above which a region sheds traffic and below which it takes its
	// shed traffic back. The gap is the hysteresis that keeps two regions from swapping work.
	highLoad = 0.95
	lowLoad  = 0.75
)

// Config configures a Limiter.
type Config struct {
	// ForwardOnly assigns the whole budget to forwarding, for callers that do not use look-ups.
	ForwardOnly bool
}

// Reading is a measurement of a service in a region.
type Reading struct {
	// At is the time of measurement by this entry VM's clock.
	At time.Time
	// Down means that no target of the service is reachable.
	Down bool
	// Load is the ratio of demand to capacity: above 1, requests wait.
	Load float64
}

// Limiter moves the shares of one entry VM within the cap. Call SetRollOut first. It is not safe for
// concurrent use.
type Limiter struct {
	Config
	roll     RollOut
	regions  []pabundle.RegionName
	services map[pabundle.ServiceName]*serviceState
	lastStep time.Time
}

// serviceState is one service's part of a Limiter.
type serviceState struct {
	rows        []row // current shares, by From region
	forward     []row // forwarding ratios, limited in how fast they rise
	health      []health
	ownRise     []float64 // rise of each region's own share in the last step
	stepped     bool
	transitions []transition
	// scheduled, wanted and spareWeights are buffers for the row that Step works on.
	scheduled, wanted, spareWeights row
}

// health is a limiter's state for a service in one region.
type health struct {
	Reading
	down       bool
	since      time.Time // start of the unbroken series of reports that contradict down
	changing   bool      // the latest reports contradict down
	retained   float64   // fraction of the scheduled share that is not shed
	lastAction time.Time
	lastUsed   time.Time // time of the reading that the last action used
	reported   bool      // a reading has been seen
	demand     float64   // requests per second of the region's callers, this entry VM's part
}

// SetRollOut sets the roll-out in force. Existing shares move on from their current values; new ones
// start on the schedule.
func (l *Limiter) SetRollOut(r RollOut, now time.Time) {
	old, names := l.services, l.regions
	l.roll = r
	l.regions = regionsOf(r)
	l.services = make(map[pabundle.ServiceName]*serviceState, len(r.Bundle.Services))
	for i := range r.Bundle.Services {
		s := &r.Bundle.Services[i]
		l.services[s.Name] = l.newState(s, now)
		if o := old[s.Name]; o != nil {
			l.services[s.Name].copyFrom(o, names, l.regions)
		}
	}
	if l.lastStep.IsZero() {
		l.lastStep = now
	}
}

// CopyShares copies the shares of a service from a neighbour that has been running longer, so that the
// progress of a failover survives a restart. Call it only right after the first SetRollOut.
func (l *Limiter) CopyShares(service pabundle.ServiceName, n ShareState) {
	s := l.services[service]
	if s == nil {
		return
	}
	for i, from := range l.regions {
		s.rows[i] = rowOf(n.Shares, from, l.regions)
		s.health[i].down = slices.Contains(n.Down, from)
	}
}

// Observe adds a reading of a service in a region. Readings that are not newer than the last are ignored.
func (l *Limiter) Observe(now time.Time, service pabundle.ServiceName, region pabundle.RegionName, r Reading) {
	h := l.health(service, region)
	if h == nil || !r.At.After(h.At) {
		return
	}
	r.Load = sanitize(r.Load)
	h.Reading = r
	if r.Down == h.down {
		h.changing = false
	} else if !h.changing {
		h.changing, h.since = true, now
	}
}

// SetDemand sets this entry VM's part of the requests per second of a region's callers: the region's
// total divided by the entry VMs that serve it. 0 means unknown.
func (l *Limiter) SetDemand(service pabundle.ServiceName, from pabundle.RegionName, requests float64) {
	if s := l.services[service]; s != nil {
		for i := range s.health {
			if l.regions[i] == from {
				s.health[i].demand = sanitize(requests)
			}
		}
	}
}

// Step moves all shares as far as the cap allows and returns the table for routing.
//
// The schedule keeps to the cap, but an entry VM that was frozen or partitioned beyond the end of a
// shift would jump to it with all its traffic. So the time between two steps counts for at most
// maxStep, and a clock that was set back does not move any share.
func (l *Limiter) Step(now time.Time) *Table {
	passed := min(max(now.Sub(l.lastStep), 0), maxStep)
	l.lastStep = now
	t := &Table{at: now, regions: l.regions, services: make(map[pabundle.ServiceName]*plan, len(l.services))}
	for i := range l.roll.Bundle.Services {
		s := &l.roll.Bundle.Services[i]
		t.services[s.Name] = l.step(s, l.services[s.Name], now, passed)
	}
	return t
}

func (l *Limiter) step(s *pabundle.Service, st *serviceState, now time.Time, passed time.Duration) *plan {
	for i := range st.health {
		st.health[i].update(now)
	}
	maxMove := rate(s.Shift) * passed.Seconds()
	for i := range l.regions {
		st.transitions[i].at(now.Sub(l.roll.RolledAt), st.scheduled)
		st.computeWanted(now)
		before := st.rows[i][i]
		st.rows[i].moveToward(st.wanted, st.health, maxMove)
		st.ownRise[i] = max(0, st.rows[i][i]-before)
	}
	return l.publish(s, st, maxMove)
}

// moveToward moves a row towards want. The share of a region that is down drops to 0 at once, because nothing
// can be sent there. Other shares change by at most maxMove. The part of requests that the row lacks to
// add up to 1 is refused.
func (w row) moveToward(want row, hs []health, maxMove float64) {
	var gap float64
	for i := range w {
		if hs[i].down {
			w[i] = 0
			continue
		}
		gap = math.Max(gap, math.Abs(want[i]-w[i]))
	}
	part := 1.0
	if gap > maxMove {
		part = maxMove / gap
	}
	for i := range w {
		w[i] += part * (want[i] - w[i])
	}
}

// computeWanted sets wanted to the scheduled row less the shares of regions that are down and part of the
// shares of overloaded regions; the difference goes to regions with spare capacity.
func (s *serviceState) computeWanted(now time.Time) {
	var surplus, total float64
	for i, x := range s.scheduled {
		h := &s.health[i]
		s.wanted[i], s.spareWeights[i] = 0, 0
		if !h.down {
			s.wanted[i] = x * h.retained
			s.spareWeights[i] = h.spareWeight(x, now)
		}
		surplus += x - s.wanted[i]
		total += s.spareWeights[i]
	}
	for i := range s.wanted {
		switch {
		case total > 0:
			s.wanted[i] += surplus * s.spareWeights[i] / total
		case !s.health[i].down:
			// An overloaded region keeps its share if no other region can take it.
			s.wanted[i] = s.scheduled[i]
		}
	}
}

// spareWeight returns the weight of a region for taking shares from others. A region that sheds takes
// none, as otherwise two overloaded regions would swap work. A region outside the schedule takes some
// only if a recent reading shows spare capacity.
func (h *health) spareWeight(scheduled float64, now time.Time) float64 {
	if h.retained < 1 {
		return 0
	}
	fresh := h.reported && now.Sub(h.At) <= maxAge
	if !fresh {
		return scheduled
	}
	if h.Load >= highLoad {
		return 0
	}
	return (scheduled + 0.1) * (1 - h.Load)
}

// update applies readings: it changes down after an unbroken series of contradicting reports, and acts
// on the load at most once per reading and no sooner than the effect of the last action is measurable.
func (h *health) update(now time.Time) {
	h.reported = h.reported || !h.At.IsZero()
	after := downAfter
	if h.down {
		after = upAfter
	}
	if h.changing && now.Sub(h.since) >= after && now.Sub(h.At) <= maxAge {
		h.down, h.changing = !h.down, false
	}
	if now.Sub(h.lastAction) < reactionTime {
		return
	}
	switch fresh := now.Sub(h.At) <= maxAge; {
	case !fresh && h.retained < 1:
		h.setRetained(now, h.retained+gain*(1-h.retained))
	case !fresh || h.At.Equal(h.lastUsed):
		return
	case h.Load > highLoad:
		h.setRetained(now, h.retained*(1-gain*math.Min(1, (h.Load-highLoad)/h.Load)))
	case h.Load < lowLoad && h.retained < 1:
		h.setRetained(now, h.retained+gain*(1-h.retained))
	}
}

func (h *health) setRetained(now time.Time, retained float64) {
	h.lastAction, h.lastUsed = now, h.At
	h.retained = math.Min(1, math.Max(0, retained))
	if h.retained > 0.999 {
		h.retained = 1
	}
}

func (l *Limiter) health(service pabundle.ServiceName, region pabundle.RegionName) *health {
	s := l.services[service]
	if s == nil {
		return nil
	}
	for i, r := range l.regions {
		if r == region {
			return &s.health[i]
		}
	}
	return nil
}

func (l *Limiter) newState(s *pabundle.Service, now time.Time) *serviceState {
	n := len(l.regions)
	st := &serviceState{
		health: make([]health, n), ownRise: make([]float64, n),
		scheduled: make(row, n), wanted: make(row, n), spareWeights: make(row, n),
	}
	for i, from := range l.regions {
		st.health[i].retained = 1
		st.transitions = append(st.transitions, newTransition(l.roll, s, from, l.regions))
		st.rows = append(st.rows, make(row, n))
		st.transitions[i].at(now.Sub(l.roll.RolledAt), st.rows[i])
		st.forward = append(st.forward, make(row, n))
	}
	return st
}

// copyFrom copies the state that a service had before a roll-out, region by region.
func (s *serviceState) copyFrom(o *serviceState, old, regions []pabundle.RegionName) {
	index := make(map[pabundle.RegionName]int, len(old))
	for i, r := range old {
		index[r] = i
	}
	for i, r := range regions {
		oi, ok := index[r]
		if !ok {
			continue
		}
		s.health[i] = o.health[oi]
		s.rows[i] = o.rows[oi].remap(index, regions)
		s.forward[i] = o.forward[oi].remap(index, regions)
	}
	s.stepped = o.stepped
}

func (w row) remap(index map[pabundle.RegionName]int, regions []pabundle.RegionName) row {
	out := make(row, len(regions))
	for j, to := range regions {
		if oj, ok := index[to]; ok {
			out[j] = w[oj]
		}
	}
	return out
}

func sanitize(x float64) float64 {
	if math.IsNaN(x) || x < 0 {
		return 0
	}
	return math.Min(x, 1e9)
}
