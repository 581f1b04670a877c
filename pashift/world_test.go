package pashift

import (
	"math"
	"time"

	"pgregory.net/rapid"

	"papayahead/pabundle"
)

const (
	service   = pabundle.ServiceName("deposits")
	capShare  = 0.2
	capWindow = time.Minute
	tick      = 500 * time.Millisecond
)

var (
	names = []pabundle.RegionName{"centro", "norte", "occidente"}
	epoch = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)
)

// bundle returns a bundle with one row of shares per region, reused in turn if there are fewer rows. A row
// lists the share of the region itself, then those of the regions after it.
func bundle(rows ...[]float64) *pabundle.Bundle {
	b := &pabundle.Bundle{Services: []pabundle.Service{{
		Name:  service,
		Shift: pabundle.ShiftCap{Share: capShare, Window: pabundle.Duration{Duration: capWindow}},
	}}}
	for i, from := range names {
		b.Regions = append(b.Regions, pabundle.Region{Name: from})
		for j, x := range rows[i%len(rows)] {
			to := names[(i+j)%len(names)]
			b.Services[0].Shares = append(b.Services[0].Shares, pabundle.Share{From: from, To: to, Share: x})
		}
	}
	return b
}

// daemon is a limiter with its own clock, and the history that the checks use.
type daemon struct {
	limiter     *Limiter
	table       *Table
	offset      time.Duration
	seen        int // number of roll-outs known
	cut         bool
	frozenUntil time.Time
	lagging     bool // it may be behind the schedule
	justStarted bool // the next step is its first; it may differ from the last one before the restart
	history     []sample
}

type sample struct {
	at     time.Time
	shares [3][3]float64
	down   [3]bool
}

// simulation is three entry VMs, their clocks, the roll-outs and the state of each region.
type simulation struct {
	now     time.Time
	rolls   []RollOut
	down    [3]bool
	load    [3]float64
	silent  bool
	daemons [3]*daemon
}

// boot starts a daemon, which copies the shares of a neighbour unless it is alone.
func (w *simulation) boot(d *daemon, offset time.Duration, alone bool) {
	d.offset, d.frozenUntil = offset, time.Time{}
	d.limiter, d.table = &Limiter{}, nil
	if !d.cut {
		d.seen = len(w.rolls)
	}
	d.limiter.SetRollOut(w.rolls[d.seen-1], w.now.Add(offset))
	for _, n := range w.daemons {
		if n != nil && n != d && n.table != nil && !alone && !n.cut && !d.cut && !w.now.Before(n.frozenUntil) {
			d.limiter.CopyShares(service, n.table.ShareState(service))
			d.history = append([]sample(nil), n.history...)
			d.lagging, d.justStarted = n.lagging, true
			return
		}
	}
	d.justStarted = true
	if d.lagging {
		// Without a neighbour it can only start on the schedule; LIMITS.md lists this.
		d.history, d.lagging = nil, false
	}
}

func (w *simulation) step(t *rapid.T) {
	w.now = w.now.Add(tick)
	for i, d := range w.daemons {
		if w.now.Before(d.frozenUntil) {
			continue
		}
		clock := w.now.Add(d.offset)
		if !d.cut && d.seen < len(w.rolls) {
			d.seen = len(w.rolls)
			d.limiter.SetRollOut(w.rolls[d.seen-1], clock)
		}
		for r, name := range names {
			if !w.silent {
				d.limiter.Observe(clock, service, name, Reading{At: clock, Down: w.down[r], Load: w.load[r]})
			}
		}
		d.table = d.limiter.Step(clock)
		d.lagging = d.lagging || w.down != [3]bool{} || w.load != [3]float64{}
		d.check(t, i, w.now)
	}
}

// check compares the shares with all those of the last cap window.
func (d *daemon) check(t *rapid.T, i int, now time.Time) {
	s := sample{at: now}
	p := d.table.services[service]
	for a := range names {
		s.down[a] = d.limiter.services[service].health[a].down
		sum := 0.0
		for b := range names {
			s.shares[a][b] = p.rows[a][b]
			sum += p.rows[a][b]
			rest := 1 - p.lookUps[a].sum() + p.lookUps[a][a]
			l, f := p.lookUps[a][b], p.forwards[a][b]
			if a != b && math.Max(f, l+f*rest) > p.rows[a][b]+1e-6 {
				t.Fatalf("daemon %d: look-ups %.4f and forwarding %.4f exceed the share %.4f", i, l, f, p.rows[a][b])
			}
		}
		if sum > 1+1e-9 {
			t.Fatalf("daemon %d: the shares of %s add up to %.6f, want at most 1", i, names[a], sum)
		}
	}
	for len(d.history) > 0 && now.Sub(d.history[0].at) > capWindow {
		d.history = d.history[1:]
	}
	var wasDown [3]bool
	for _, o := range d.history {
		for b := range names {
			wasDown[b] = wasDown[b] || o.down[b] || s.down[b]
		}
	}
	if n := len(d.history); n > 0 && !d.justStarted {
		d.checkStep(t, i, d.history[n-1], s)
	}
	d.justStarted = false
	for _, o := range d.history {
		for a := range names {
			for b := range names {
				change := s.shares[a][b] - o.shares[a][b]
				if change > capShare+1e-9 || -change > capShare+1e-9 && !wasDown[b] {
					t.Fatalf("daemon %d: %s to %s moved by %+.4f in %v, the cap is %.2f in %v",
						i, names[a], names[b], change, now.Sub(o.at), capShare, capWindow)
				}
			}
		}
	}
	d.history = append(d.history, s)
}

// checkStep compares the shares with those of the previous step: none may rise by more than the cap allows
// in a second.
func (d *daemon) checkStep(t *rapid.T, i int, o, s sample) {
	for a := range names {
		for b := range names {
			if rise := s.shares[a][b] - o.shares[a][b]; rise > capShare/capWindow.Seconds()+1e-9 {
				t.Fatalf("daemon %d: %s to %s rose by %.4f in one step", i, names[a], names[b], rise)
			}
		}
	}
}
