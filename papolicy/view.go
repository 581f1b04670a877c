package papolicy

import (
	"math"
	"time"

	"papayahead/pabundle"
	"papayahead/paowner"
	"papayahead/paplacement"
)

// creditTerm is how long credits are good.
const creditTerm = 2 * time.Second

// view is what an entry VM knows of the others: stand-in for gossip, credits and link budgets.
type view struct {
	host    *host
	reports map[*host]report
	// wants are the services that this entry VM looked for room for since it last told so.
	wants map[pabundle.ServiceName]time.Time
	lines map[pabundle.RegionName]*line
}

// report is what another entry VM told last, of each service.
type report struct {
	at       time.Time
	services map[pabundle.ServiceName]*room
	used     float64
}

type room struct {
	slots, free int
	wait        time.Duration
	full        bool
	credits     int
}

// line is the part of a link, in the direction of the answers, that this entry VM may use.
type line struct {
	rate, tokens, used float64
	at                 time.Time
}

// gossip tells the others of this entry VM's room.
func (h *host) gossip() {
	w := h.world
	if h.dead {
		return
	}
	w.after(gossipEvery, h.gossip)
	if w.now.Before(w.silentTill) {
		return
	}
	for n, o := range w.hosts {
		if o == h || o.dead {
			continue
		}
		r := h.report(o, n)
		w.after(w.network(h.Zone, o.Zone, 0), func() { o.view.reports[h] = r })
	}
}

func (h *host) report(to *host, turn int) report {
	w := h.world
	r := report{at: w.now, services: map[pabundle.ServiceName]*room{}}
	reg := w.regions[h.Region]
	r.used = float64(reg.running) / float64(reg.limit)
	for _, s := range w.deployment.Bundle.Services {
		m := &room{
			slots: h.owner.Slots(w.now, s.Name),
			free:  h.owner.FreeSlots(w.now, s.Name),
			wait:  h.owner.PredictedWait(w.now, s.Name),
			full:  h.owner.Full(w.now, s.Name),
		}
		remote := h.askers(s.Name)
		if to.Region != h.Region && remote > 0 {
			// The rest of the division goes round, so that small numbers reach everyone in turn.
			m.credits = (max(0, m.free-h.reserved(m.slots)) + (int(h.ids)+turn)%remote) / remote
		}
		r.services[s.Name] = m
	}
	return r
}

// reserved is how many slots the policy keeps from other regions, as pacontrol has it.
func (h *host) reserved(slots int) int {
	p := h.world.deployment.Bundle.Policy
	reserve := p.Reserve
	if p.First == pabundle.HeadroomFirst {
		reserve *= paplacement.HeadroomReserves
	}
	return int(math.Ceil(reserve * float64(slots)))
}

// askers is the number of entry VMs of other regions that looked for room lately.
func (h *host) askers(s pabundle.ServiceName) int {
	n := 0
	for _, o := range h.world.hosts {
		if o.Region != h.Region && !o.dead && h.world.now.Sub(o.view.wants[s]) < creditTerm {
			n++
		}
	}
	return n
}

// Candidates implements paowner.CandidateSource.
func (v *view) Candidates(now time.Time, s pabundle.ServiceName, into []paplacement.Candidate) []paplacement.Candidate {
	w := v.host.world
	if v.wants == nil {
		v.wants = map[pabundle.ServiceName]time.Time{}
	}
	v.wants[s] = now
	for _, o := range w.hosts {
		r, ok := v.reports[o]
		if !ok {
			continue
		}
		m := r.services[s]
		c := paplacement.Candidate{
			Distance: paplacement.SameRegion, Entry: o.Name, Region: o.Region,
			Slots: m.slots, Free: m.free, Wait: m.wait, Age: now.Sub(r.at), Utilization: r.used, Full: m.full,
			Delay: 2 * w.deployment.Zones,
		}
		if o.Region != v.host.Region {
			l := v.line(now, o.Region)
			c.Distance = paplacement.OtherRegion
			c.Delay = 2 * w.deployment.Regions
			c.Allowed = true
			c.LinkUtilization = l.used / l.rate
			if now.Sub(r.at) < creditTerm {
				c.Credits = m.credits
			}
			if l.tokens > 0 {
				c.LinkRoom = math.MaxInt64
			}
		}
		into = append(into, c)
	}
	return into
}

// line returns the link budget towards a region, brought up to now.
func (v *view) line(now time.Time, r pabundle.RegionName) *line {
	l := v.lines[r]
	if l == nil {
		d := &v.host.world.deployment
		sharers := 0
		for _, e := range d.Entries {
			if e.Region == v.host.Region {
				sharers++
			}
		}
		capacity := v.host.world.links[direction{r, v.host.Region}].capacity
		l = &line{rate: float64(capacity) / 8 * (1 - d.Bundle.Policy.Reserve) / float64(sharers), at: now}
		if v.lines == nil {
			v.lines = map[pabundle.RegionName]*line{}
		}
		v.lines[r] = l
	}
	gone := now.Sub(l.at).Seconds()
	l.at = now
	l.tokens = min(l.tokens+l.rate*gone, l.rate*0.05)
	l.used *= math.Exp(-gone)
	return l
}

// charge spends what a forwarded request takes.
func (v *view) charge(from *visit, to *host) {
	m := v.reports[to].services[from.call.traffic.Service]
	m.free--
	m.credits--
	if to.Region != v.host.Region {
		work := from.call.traffic.Classes[from.call.class]
		l := v.line(v.host.world.now, to.Region)
		l.tokens -= float64(work.Request + work.Answer)
		l.used += float64(work.Request + work.Answer)
	}
}

// returned gives the slot back that a forwarded request held.
func (v *view) returned(from *host, s pabundle.ServiceName) {
	if m := v.reports[from].services[s]; m != nil {
		m.free++
		m.credits++
	}
}

var _ paowner.CandidateSource = (*view)(nil)
