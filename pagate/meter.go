package pagate

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/pasteer"
)

// servedLogInterval is how many requests that were served share one log line.
const servedLogInterval = 32

// meter counts what the gate does.
type meter struct {
	set         *metrics.Set
	targetConns *metrics.Counter
	strayAnswers      *metrics.Counter
	peerCloseErrors  *metrics.Counter
	shifted     *metrics.Counter
	held        *metrics.Counter
	unloggedEnds    *metrics.Counter
	served      atomic.Uint64
}

func newMeter(g *Gate) *meter {
	m := &meter{set: metrics.NewSet()}
	m.targetConns = m.set.NewCounter("papayahead_gate_target_connections_total")
	m.strayAnswers = m.set.NewCounter("papayahead_gate_stray_answers_total")
	m.peerCloseErrors = m.set.NewCounter("papayahead_gate_peer_close_errors_total")
	m.shifted = m.set.NewCounter("papayahead_gate_shifted_requests_total")
	m.held = m.set.NewCounter("papayahead_gate_held_requests_total")
	m.unloggedEnds = m.set.NewCounter("papayahead_gate_requests_unlogged_total")
	for _, kind := range []string{deltaNothing, deltaChanges, deltaWhole} {
		m.deltasSent(kind).Set(0)
		m.deltasApplied(kind).Set(0)
	}
	m.deltasSent(deltaNoHistory).Set(0)
	m.set.NewGauge("papayahead_gate_requests_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	m.set.NewGauge("papayahead_gate_configuration_version", func() float64 { return float64(g.state.Load().configVersion()) })
	m.set.NewGauge("papayahead_gate_store_age_seconds", func() float64 { return g.age(g.state.Load()).Seconds() })
	m.set.NewGauge("papayahead_gate_entries", func() float64 { return float64(len(g.state.Load().entries)) })
	return m
}

func (m *meter) countStoreCall(name string) {
	m.set.GetOrCreateCounter(`papayahead_gate_store_calls_total{call="` + name + `"}`).Inc()
}

// countChoice counts what a decision means for the traffic between regions.
func (m *meter) countChoice(c pasteer.Choice) {
	if c.Shifts {
		m.shifted.Inc()
	}
	if c.Held {
		m.held.Inc()
	}
}

// The kinds of what neighbours tell of changes in the store.
const (
	deltaNothing   = "Nothing"
	deltaChanges   = "Changes"
	deltaWhole     = "Whole"
	deltaNoHistory = "NoHistory"
)

// deltaKind returns the kind of a delta, which is nil where nothing changed.
func deltaKind(d *pafleet.Delta) string {
	switch {
	case d == nil:
		return deltaNothing
	case d.Whole:
		return deltaWhole
	}
	return deltaChanges
}

// deltasSent counts answers to neighbours that asked what changed.
func (m *meter) deltasSent(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_told_total{kind="` + kind + `"}`)
}

// deltasApplied counts neighbours' words that raised the revision.
func (m *meter) deltasApplied(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_followed_total{kind="` + kind + `"}`)
}

// countLimited counts a request of a workspace with a rate countLimited by what it got its token from, or why it got none.
func (m *meter) countLimited(outcome string) {
	m.set.GetOrCreateCounter(`papayahead_gate_limited_requests_total{outcome="` + outcome + `"}`).Inc()
}

func (m *meter) countAttempt(_ string, o pasteer.Outcome) {
	m.set.GetOrCreateCounter(`papayahead_gate_attempts_total{outcome="` + o.String() + `"}`).Inc()
}

func (m *meter) countRequest(_ string, status int, reason string, took, behind time.Duration) {
	m.set.GetOrCreateCounter(`papayahead_gate_requests_total{status="` + strconv.Itoa(status) + `",reason="` + reason + `"}`).Inc()
	m.set.GetOrCreateHistogram("papayahead_gate_request_duration_seconds").Update(took.Seconds())
	m.set.GetOrCreateHistogram("papayahead_gate_request_behind_seconds").Update(behind.Seconds())
}

// sampleServed says whether a request that was served is logged.
func (m *meter) sampleServed() bool { return m.served.Add(1)%servedLogInterval == 1 }

// WriteMetrics writes the counters in the text format of Prometheus.
func (g *Gate) WriteMetrics(w io.Writer) { g.meter.set.WritePrometheus(w) }

// CountDroppedLines adds the number of log lines that a slow reader made the log drop to the metrics, and
// logs that number when it grows. Call it before Run.
func (g *Gate) CountDroppedLines(n *atomic.Uint64) {
	g.droppedLines = n
	g.meter.set.NewGauge("papayahead_gate_log_lines_dropped", func() float64 { return float64(n.Load()) })
}

// logDroppedLines logs that lines were dropped, once a tick at most.
func (g *Gate) logDroppedLines() {
	if g.droppedLines == nil {
		return
	}
	if n := g.droppedLines.Load(); n > g.logged.dropped {
		g.logged.dropped = n
		g.record(paevent.LinesDropped{Total: n})
	}
}
