package papolicy

import (
	"math"
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

const (
	// failTime is how long a fast-failing target takes for its answer.
	failTime = time.Millisecond
	// probeTime is what a probe costs a target.
	probeTime = 6 * time.Millisecond
	// spread is the standard deviation of the logarithm of run times.
	spread = 0.6
)

// machine is a simulated target VM: it runs Slots requests at once, whoever sent them, and queues
// the rest without bound.
type machine struct {
	world   *world
	target  pabundle.Target
	service pabundle.ServiceName
	region  pabundle.RegionName
	mode    Mode
	running int
	waiting []*run
}

// run is one attempt at a machine.
type run struct {
	visit   *visit
	attempt int
	machine *machine
	// deadline is when the target stops it by itself; zero when none was passed on.
	deadline time.Time
	need     time.Duration
	started  time.Time
	began    bool
	over     bool
	// probe marks a probe instead of a request.
	probe bool
	reply func(patarget.Outcome, time.Duration)
}

// arrive takes a request or probe in.
func (m *machine) arrive(r *run) {
	switch m.mode {
	case Dead:
		m.end(r, patarget.NotRun)
		return
	case FailsFast:
		if !r.probe {
			m.world.after(failTime, func() { m.end(r, patarget.Failed) })
			return
		}
	case Slow:
		r.need *= SlowTimes
	}
	if m.running >= m.target.Slots {
		m.waiting = append(m.waiting, r)
		m.world.measure.over(m)
		return
	}
	m.begin(r)
}

func (m *machine) begin(r *run) {
	m.running++
	m.world.regions[m.region].running++
	r.began = true
	r.started = m.world.now
	need := r.need
	stopped := !r.deadline.IsZero() && m.world.now.Add(need).After(r.deadline)
	if stopped {
		need = r.deadline.Sub(m.world.now)
	}
	m.world.after(need, func() {
		if stopped {
			m.end(r, patarget.Unknown)
			return
		}
		m.end(r, patarget.Answered)
	})
}

// cancel stops a request whose connection was closed.
func (m *machine) cancel(r *run) { m.end(r, patarget.Abandoned) }

func (m *machine) end(r *run, o patarget.Outcome) {
	if r.over {
		return
	}
	r.over = true
	var took time.Duration
	if r.began {
		took = m.world.now.Sub(r.started)
		m.running--
		m.world.regions[m.region].running--
		m.world.measure.ran(m, r, took, o)
	}
	if r.reply != nil {
		r.reply(o, took)
	}
	for m.running < m.target.Slots && len(m.waiting) > 0 {
		next := m.waiting[0]
		m.waiting = m.waiting[1:]
		if !next.over {
			m.begin(next)
		}
	}
}

// runTime draws a run time around a mean.
func (w *world) runTime(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(spread*w.demand.NormFloat64()-spread*spread/2))
}

// link is one direction between two regions: a line of fixed rate.
type link struct {
	capacity pabundle.BitRate
	busy     time.Time
	// peak is the longest wait for the line while the measurement ran.
	peak  time.Duration
	bytes int64
}

// pass returns when a message of some bytes has left the line.
func (w *world) pass(l *link, bytes int64) time.Duration {
	if l.busy.Before(w.now) {
		l.busy = w.now
	}
	l.busy = l.busy.Add(time.Duration(float64(bytes) * 8 / float64(l.capacity) * float64(time.Second)))
	d := l.busy.Sub(w.now)
	if w.measuring() {
		l.peak = max(l.peak, d)
		l.bytes += bytes
	}
	return d
}

// network returns how long a message takes between two zones.
func (w *world) network(from, to pabundle.ZoneName, bytes int64) time.Duration {
	a, b := w.deployment.regionOf(from), w.deployment.regionOf(to)
	switch {
	case from == to:
		return w.deployment.Zones / 5
	case a == b:
		return w.deployment.Zones
	default:
		return w.deployment.Regions + w.pass(w.links[direction{a, b}], bytes)
	}
}

type direction struct{ from, to pabundle.RegionName }
