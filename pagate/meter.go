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

// servedSample is how many requests that were served share one log line.
const servedSample = 32

// meter counts what the gate does.
type meter struct {
	set         *metrics.Set
	connections *metrics.Counter
	strays      *metrics.Counter
	peerCloses  *metrics.Counter
	shifted     *metrics.Counter
	held        *metrics.Counter
	unlogged    *metrics.Counter
	served      atomic.Uint64
}

func newMeter(g *Gate) *meter {
	m := &meter{set: metrics.NewSet()}
	m.connections = m.set.NewCounter("papayahead_gate_target_connections_total")
	m.strays = m.set.NewCounter("papayahead_gate_stray_answers_total")
	m.peerCloses = m.set.NewCounter("papayahead_gate_peer_close_errors_total")
	m.shifted = m.set.NewCounter("papayahead_gate_shifted_requests_total")
	m.held = m.set.NewCounter("papayahead_gate_held_requests_total")
	m.unlogged = m.set.NewCounter("papayahead_gate_requests_unlogged_total")
	for _, kind := range []string{wordNothing, wordChanges, wordWhole} {
		m.wordTold(kind).Set(0)
		m.wordFollowed(kind).Set(0)
	}
	m.wordTold(wordNoHistory).Set(0)
	m.set.NewGauge("papayahead_gate_requests_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	m.set.NewGauge("papayahead_gate_configuration_version", func() float64 { return float64(g.state.Load().configVersion()) })
	m.set.NewGauge("papayahead_gate_store_age_seconds", func() float64 { return g.age(g.state.Load()).Seconds() })
	m.set.NewGauge("papayahead_gate_entries", func() float64 { return float64(len(g.state.Load().entries)) })
	return m
}

func (m *meter) storeCall(name string) {
	m.set.GetOrCreateCounter(`papayahead_gate_store_calls_total{call="` + name + `"}`).Inc()
}

// choice counts what a decision means for the traffic between regions.
func (m *meter) choice(c pasteer.Choice) {
	if c.Shifted {
		m.shifted.Inc()
	}
	if c.Held {
		m.held.Inc()
	}
}

// The kinds of what neighbours tell of changes in the store.
const (
	wordNothing   = "Nothing"
	wordChanges   = "Changes"
	wordWhole     = "Whole"
	wordNoHistory = "NoHistory"
)

// wordOf returns the kind of a delta, which is nil where nothing changed.
func wordOf(d *pafleet.Delta) string {
	switch {
	case d == nil:
		return wordNothing
	case d.Whole:
		return wordWhole
	}
	return wordChanges
}

// wordTold counts answers to neighbours that asked what changed.
func (m *meter) wordTold(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_told_total{kind="` + kind + `"}`)
}

// wordFollowed counts neighbours' words that raised the revision.
func (m *meter) wordFollowed(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_followed_total{kind="` + kind + `"}`)
}

// limit counts a request of a workspace with a rate limit by what it got its token from, or why it got none.
func (m *meter) limit(outcome string) {
	m.set.GetOrCreateCounter(`papayahead_gate_limited_requests_total{outcome="` + outcome + `"}`).Inc()
}

func (m *meter) attempt(_ string, o pasteer.Outcome) {
	m.set.GetOrCreateCounter(`papayahead_gate_attempts_total{outcome="` + o.String() + `"}`).Inc()
}

func (m *meter) request(_ string, status int, reason string, took, behind time.Duration) {
	m.set.GetOrCreateCounter(`papayahead_gate_requests_total{status="` + strconv.Itoa(status) + `",reason="` + reason + `"}`).Inc()
	m.set.GetOrCreateHistogram("papayahead_gate_request_duration_seconds").Update(took.Seconds())
	m.set.GetOrCreateHistogram("papayahead_gate_request_behind_seconds").Update(behind.Seconds())
}

// sample says whether a request that was served is logged.
func (m *meter) sample() bool { return m.served.Add(1)%servedSample == 1 }

// WriteMetrics writes the counters in the text format of Prometheus.
func (g *Gate) WriteMetrics(w io.Writer) { g.meter.set.WritePrometheus(w) }

// CountDroppedLines adds the number of log lines that a slow reader made the log drop to the metrics, and
// logs that number when it grows. Call it before Run.
func (g *Gate) CountDroppedLines(n *atomic.Uint64) {
	g.dropped = n
	g.meter.set.NewGauge("papayahead_gate_log_lines_dropped", func() float64 { return float64(n.Load()) })
}

// noteDropped logs that lines were dropped, once a tick at most.
func (g *Gate) noteDropped() {
	if g.dropped == nil {
		return
	}
	if n := g.dropped.Load(); n > g.noted.dropped {
		g.noted.dropped = n
		g.record(paevent.LinesDropped{Total: n})
	}
}
