package papolicy

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// outcome is how a call ended for its caller.
type outcome int

const (
	inTime outcome = iota
	late
	refused
	failed
	unreachable
	outcomes
)

// Report is what the callers of a scenario saw, and how near the limits came.
type Report struct {
	// Calls is the number of calls; the shares below are of them, 0 to 1.
	Calls int
	// InTime were answered in time, ByRetry of all calls only after a further attempt.
	InTime, ByRetry float64
	// Refused were told that they did not run; Late had no answer in time; Failed got an error or
	// lost their answer.
	Refused, Late, Failed float64
	// P50, P99 and P999 are latencies of the answers that came in time, in all attempts together.
	P50, P99, P999 time.Duration
	// ShortP99 is the P99 of the first service's first class.
	ShortP99 time.Duration
	// RefusedP99 is how long after its arrival a request was refused that was not queued; AfterChange
	// how long after the change that decided one that was; Queued how many of the refusals were.
	RefusedP99, AfterChange time.Duration
	Queued                  float64
	// Useful is the part of the targets' capacity that went into answers in time.
	Useful float64
	// Over is the most requests that a target had beyond its slots.
	Over int
	// Headroom is the least part of a region's limit that was free, except in 1 % of the time.
	// Spare is the same for the region with the second least: the one that takes the overflow.
	Headroom, Spare float64
	// LinkPeak is the longest queue at a link; LinkUse the use of the busiest link, 0 to 1.
	LinkPeak time.Duration
	LinkUse  float64
	// Runs is the number of runs at targets for each call.
	Runs float64
}

// measure collects a Report.
type measure struct {
	world               *world
	calls               int
	ends                [outcomes]int
	byRetry, runs       int
	latency, short      *hdrhistogram.Histogram
	direct, afterChange *hdrhistogram.Histogram
	use                 map[pabundle.RegionName]*hdrhistogram.Histogram
	useful              time.Duration
	peak                int
	capacity            int
}

const (
	microsecond = int64(time.Microsecond)
	longest     = int64(time.Minute / time.Microsecond)
	thousand    = 1000
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }

func newMeasure(w *world) *measure {
	m := &measure{
		world: w, latency: newHistogram(), short: newHistogram(), direct: newHistogram(), afterChange: newHistogram(),
		use: map[pabundle.RegionName]*hdrhistogram.Histogram{},
	}
	for _, r := range w.deployment.Bundle.Regions {
		m.use[r.Name] = newHistogram()
	}
	for _, s := range w.deployment.Bundle.Services {
		for _, t := range s.Targets {
			m.capacity += t.Slots
		}
	}
	return m
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(longest, int64(d)/microsecond))
}

func (m *measure) called(c *call) {
	if c.measured {
		m.calls++
	}
}

func (m *measure) ended(c *call, o outcome) {
	if o == inTime && m.world.measuring() {
		m.useful += c.need
	}
	if !c.measured {
		return
	}
	m.ends[o]++
	if o != inTime {
		return
	}
	if c.attempts > 1 || c.visit.attempts > 1 {
		m.byRetry++
	}
	d := m.world.now.Sub(c.began)
	record(m.latency, d)
	if c.traffic == &m.world.deployment.Traffic[0] && c.class == 0 {
		record(m.short, d)
	}
}

// refusedAfter counts a refusal; gap is the time since the decider last ran.
func (m *measure) refusedAfter(v *visit, gap time.Duration, direct bool) {
	if !v.call.measured {
		return
	}
	if direct || v.id == 0 {
		record(m.direct, m.world.now.Sub(v.arrived))
		return
	}
	record(m.afterChange, gap)
}

func (m *measure) over(t *machine) {
	if m.world.measuring() {
		m.peak = max(m.peak, len(t.waiting))
	}
}

func (m *measure) ran(_ *machine, r *run, _ time.Duration, _ patarget.Outcome) {
	if !r.probe && r.visit.call.measured {
		m.runs++
	}
}

func (m *measure) sample() {
	if !m.world.measuring() {
		return
	}
	for name, r := range m.world.regions {
		if !r.lost {
			_ = m.use[name].RecordValue(int64(thousand * r.running / r.limit))
		}
	}
	m.world.after(sampling, m.sample)
}

func (m *measure) report() Report {
	total := float64(max(1, m.calls))
	share := func(n int) float64 { return float64(n) / total }
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q) * microsecond)
	}
	length := m.world.scenario.Length
	r := Report{
		Calls: m.calls, InTime: share(m.ends[inTime]), ByRetry: share(m.byRetry), Refused: share(m.ends[refused] + m.ends[unreachable]),
		Late: share(m.ends[late]), Failed: share(m.ends[failed]), Runs: share(m.runs),
		P50: quantile(m.latency, 50), P99: quantile(m.latency, 99), P999: quantile(m.latency, 99.9), ShortP99: quantile(m.short, 99),
		RefusedP99: quantile(m.direct, 99), AfterChange: quantile(m.afterChange, 99),
		Useful: m.useful.Seconds() / (float64(m.capacity) * length.Seconds()),
		Over:   m.peak, Headroom: 1, Spare: 1,
	}
	if n := m.direct.TotalCount() + m.afterChange.TotalCount(); n > 0 {
		r.Queued = float64(m.afterChange.TotalCount()) / float64(n)
	}
	for _, h := range m.use {
		free := 1 - float64(h.ValueAtQuantile(99))/thousand
		if free < r.Headroom {
			free, r.Headroom = r.Headroom, free
		}
		r.Spare = min(r.Spare, free)
	}
	for _, l := range m.world.links {
		r.LinkPeak = max(r.LinkPeak, l.peak)
		r.LinkUse = max(r.LinkUse, float64(l.bytes)*8/(float64(l.capacity)*length.Seconds()))
	}
	return r
}

// Columns heads the rows of Report.Row, as Markdown.
const Columns = "| scenario | system | in time % | by retry % | refused % | late % | failed % | p50 ms | p99 ms | p99.9 ms | short p99 ms | " +
	"refusal p99 ms | after change ms | queued % | useful % | over slots | headroom % | second % | link use % | link queue ms | runs/call |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// Row returns the report as a row of a Markdown table.
func (r Report) Row(scenario, system string) string {
	percent := func(v float64) string { return fmt.Sprintf("%.2f", v*100) }
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %d | %s | %s | %s | %s | %.3f |",
		scenario, system, percent(r.InTime), percent(r.ByRetry), percent(r.Refused), percent(r.Late), percent(r.Failed),
		ms(r.P50), ms(r.P99), ms(r.P999), ms(r.ShortP99), ms(r.RefusedP99), ms(r.AfterChange), percent(r.Queued),
		percent(r.Useful), r.Over, percent(r.Headroom), percent(r.Spare), percent(r.LinkUse), ms(r.LinkPeak), r.Runs)
}
