package pashift

import (
	"math"
	"time"

	"papayahead/pabundle"
)

// Use is the purpose of a choice of region.
type Use int

// The uses; both share one budget.
const (
	// LookUp chooses the region whose entry VMs a look-up lists first.
	LookUp Use = iota
	// Forward chooses the region whose targets run a request that arrived in its caller's region.
	Forward
)

// String returns the use's name.
func (u Use) String() string {
	if u == LookUp {
		return "LookUp"
	}
	return "Forward"
}

// Table holds the shares that apply until the next step. It is immutable.
type Table struct {
	at       time.Time
	regions  []pabundle.RegionName
	services map[pabundle.ServiceName]*plan
}

// plan is the data of one service in a Table, by From region.
type plan struct {
	rows, lookUps, forwards []row
	demand                  []float64
	rate                    float64
	forwardOnly             bool
	down                    []pabundle.RegionName
}

// ShareState is the current shares of a service at one entry VM, for operators and for starting neighbours.
type ShareState struct {
	Shares []pabundle.Share
	// Down lists the regions that the entry VM considers down.
	Down []pabundle.RegionName
}

// ShareState returns the current shares of a service.
func (t *Table) ShareState(service pabundle.ServiceName) ShareState {
	p := t.services[service]
	if p == nil {
		return ShareState{}
	}
	s := ShareState{Down: p.down}
	for i, w := range p.rows {
		for j, x := range w {
			if x > 0 {
				s.Shares = append(s.Shares, pabundle.Share{From: t.regions[i], To: t.regions[j], Share: x})
			}
		}
	}
	return s
}

// Refused returns the fraction (0 to 1) of a region's requests for a service that no region may take yet.
func (t *Table) Refused(service pabundle.ServiceName, from pabundle.RegionName) float64 {
	p, i := t.services[service], t.index(from)
	if p == nil || i < 0 {
		return 1
	}
	return math.Max(0, 1-p.rows[i].sum())
}

func (t *Table) index(r pabundle.RegionName) int {
	for i, x := range t.regions {
		if x == r {
			return i
		}
	}
	return -1
}

// publish divides the shares between look-ups and forwarding.
//
// An unknown part of the callers uses look-ups, the others never do. Look-ups get the whole share, as
// they cost no bandwidth between regions. A request that arrives in its caller's own region is forwarded
// only when that region keeps no share; then forwarding by the same shares cannot exceed them.
//
// Let p be the fraction of callers that use look-ups, E the share of a region and f its forwarding ratio.
// The region gets p*E + f*(1 - p*sum of the shares sent to other regions). This stays within E for
// every p if f is 0, or if f is E and the sum is 1.
func (l *Limiter) publish(s *pabundle.Service, st *serviceState, maxMove float64) *plan {
	p := &plan{rate: rate(s.Shift), rows: clone(st.rows), forwardOnly: l.ForwardOnly}
	p.lookUps = p.rows
	if l.ForwardOnly {
		p.lookUps = make([]row, len(p.rows))
	}
	for i := range st.rows {
		if l.ForwardOnly {
			p.lookUps[i] = make(row, len(st.rows))
		}
		p.demand = append(p.demand, st.health[i].demand)
		if st.health[i].down {
			p.down = append(p.down, l.regions[i])
		}
		l.slewForward(st, i, maxMove)
	}
	st.stepped = true
	p.forwards = clone(st.forward)
	return p
}

// slewForward sets the forwarding ratios for requests that arrive in their caller's own region i. They
// rise no faster than shares may, because for callers that never look up they are the shares. For
// callers that do, region i serves its share times its own ratio, and this product is limited as well.
func (l *Limiter) slewForward(st *serviceState, i int, maxMove float64) {
	w := st.rows[i]
	whole := w.sum() >= 1-1e-9
	open := l.ForwardOnly || whole && w[i] <= 1e-9
	for j, share := range w {
		f := &st.forward[i][j]
		if st.health[j].down {
			*f = 0
			continue
		}
		want := 0.0
		switch {
		case open:
			want = share
		case j == i:
			want = 1 // requests that are not moved stay
		}
		step := maxMove
		if j == i && share > 0 {
			step = math.Min(maxMove, (maxMove-*f*st.ownRise[i])/share)
		}
		*f = math.Min(want, *f+math.Max(0, step))
		if !st.stepped {
			*f = want
		}
	}
}

func clone(rows []row) []row {
	out := make([]row, len(rows))
	for i, w := range rows {
		out[i] = append(row(nil), w...)
	}
	return out
}
