package pagate

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayahead/pabuffer"
	"papayahead/paconn"
	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paproof"
	"papayahead/pasteer"
)

// servedLogInterval is how many served requests there are to one log line.
const servedLogInterval = 32

// meter holds the metrics of a Gate.
type meter struct {
	set             *metrics.Set
	targetConns     *metrics.Counter
	peerCloseErrors *metrics.Counter
	shifted         *metrics.Counter
	held            *metrics.Counter
	crowded         *metrics.Counter
	unloggedEnds    *metrics.Counter
	probes          *metrics.Counter
	relayedFor      *metrics.Counter
	targetEnds      *metrics.Counter
	pushbacks       *metrics.Counter
	// loadNotesSent and loadNotesReceived count notes on loads of targets in messages to and from neighbours.
	loadNotesSent, loadNotesReceived *metrics.Counter
	// operatorFetchErrors counts failed calls to neighbours for what operators wrote.
	operatorFetchErrors *metrics.Counter
	served              atomic.Uint64
}

func newMeter(g *Gate) *meter {
	m := &meter{set: metrics.NewSet()}
	m.targetConns = m.set.NewCounter("papayahead_gate_target_connections_total")
	m.peerCloseErrors = m.set.NewCounter("papayahead_gate_peer_close_errors_total")
	m.shifted = m.set.NewCounter("papayahead_gate_shifted_requests_total")
	m.held = m.set.NewCounter("papayahead_gate_held_requests_total")
	m.crowded = m.set.NewCounter("papayahead_gate_crowded_requests_total")
	m.unloggedEnds = m.set.NewCounter("papayahead_gate_requests_unlogged_total")
	m.probes = m.set.NewCounter("papayahead_gate_path_probes_total")
	m.relayedFor = m.set.NewCounter("papayahead_gate_relayed_for_others_total")
	m.targetEnds = m.set.NewCounter("papayahead_gate_target_ends_total")
	m.pushbacks = m.set.NewCounter("papayahead_gate_pushbacks_total")
	m.loadNotesSent = m.set.NewCounter("papayahead_gate_load_notes_sent_total")
	m.loadNotesReceived = m.set.NewCounter("papayahead_gate_load_notes_received_total")
	m.exportLoadAccuracy(g)
	m.operatorFetchErrors = m.set.NewCounter("papayahead_gate_operator_fetch_errors_total")
	m.set.NewGauge("papayahead_gate_suspected_requests", func() float64 {
		suspects, _ := g.quarantine.Counts(g.config.Clock.Now())
		return float64(suspects)
	})
	m.set.NewGauge("papayahead_gate_held_off_requests", func() float64 {
		_, held := g.quarantine.Counts(g.config.Clock.Now())
		return float64(held)
	})
	m.set.NewGauge("papayahead_gate_limited_targets", func() float64 {
		g.balancerMutex.Lock()
		defer g.balancerMutex.Unlock()
		return float64(g.balancer.LimitedTargets(g.config.Clock.Now()))
	})
	m.set.NewGauge("papayahead_gate_pushback_targets", func() float64 {
		g.balancerMutex.Lock()
		defer g.balancerMutex.Unlock()
		return float64(g.balancer.PushbackTargets())
	})
	m.set.NewGauge("papayahead_gate_draining_targets", func() float64 {
		g.balancerMutex.Lock()
		defer g.balancerMutex.Unlock()
		return float64(g.balancer.DrainingTargets())
	})
	m.set.NewGauge("papayahead_gate_retry_sharers", func() float64 { return float64(g.sharers.Load()) })
	m.exportReturns(g)
	m.set.NewGauge("papayahead_gate_held_body_bytes", func() float64 { return float64(g.memory.budget.HeldFor(pabuffer.Bodies)) })
	m.set.NewGauge("papayahead_gate_lost_services", func() float64 { return float64(len(g.lost())) })
	for _, kind := range []string{deltaNothing, deltaChanges, deltaWhole} {
		m.deltasSent(kind).Set(0)
		m.deltasApplied(kind).Set(0)
	}
	m.deltasSent(deltaNoHistory).Set(0)
	for _, f := range paconn.Failures {
		m.attemptFailures(f).Set(0)
	}
	for _, r := range paconn.OpenReasons {
		m.openedFor(r).Set(0)
	}
	for _, r := range endReasons {
		m.endedFor(r).Set(0)
	}
	for _, k := range strayKinds {
		m.strayAnswers(k).Set(0)
	}
	for _, s := range paproof.Promises() {
		m.unprovenRefusals(s).Set(0)
	}
	for _, o := range []relayOutcome{relayAnswered, relayNotRun, relayUnknown} {
		m.relayed(string(o)).Set(0)
		m.handedOver(string(o)).Set(0)
	}
	m.set.NewGauge("papayahead_gate_requests_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	m.set.NewGauge("papayahead_gate_configuration_version", func() float64 { return float64(g.state.Load().configVersion()) })
	m.set.NewGauge("papayahead_gate_store_age_seconds", func() float64 { return g.age(g.state.Load()).Seconds() })
	m.set.NewGauge("papayahead_gate_evacuated_zones", func() float64 { return float64(len(g.state.Load().evacuated)) })
	m.set.NewGauge("papayahead_gate_operator_revision", func() float64 { return float64(g.state.Load().operatorRevision) })
	m.set.NewGauge("papayahead_gate_entries", func() float64 { return float64(len(g.state.Load().entries)) })
	return m
}

func (m *meter) countStoreCall(name string) {
	m.set.GetOrCreateCounter(`papayahead_gate_store_calls_total{call="` + name + `"}`).Inc()
}

// countChoice counts a choice that sends a request to another region, that was held back from that, or that is refused so that not
// too many run in other regions than before.
func (m *meter) countChoice(c pasteer.Choice) {
	if c.Shifted {
		m.shifted.Inc()
	}
	if c.Held {
		m.held.Inc()
	}
	if c.Reason == pasteer.ReasonCrowded {
		m.crowded.Inc()
	}
}

// Kinds of neighbours' replies on changes in the store.
const (
	deltaNothing   = "Nothing"
	deltaChanges   = "Changes"
	deltaWhole     = "Whole"
	deltaNoHistory = "NoHistory"
)

// deltaKind returns the kind of a delta; nil is for no changes.
func deltaKind(d *pafleet.Delta) string {
	switch {
	case d == nil:
		return deltaNothing
	case d.Whole:
		return deltaWhole
	}
	return deltaChanges
}

// deltasSent counts replies to neighbours that asked for changes.
func (m *meter) deltasSent(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_told_total{kind="` + kind + `"}`)
}

// deltasApplied counts neighbours' replies that raised the revision.
func (m *meter) deltasApplied(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_followed_total{kind="` + kind + `"}`)
}

// acceptErrors counts failures of a port to accept a connection.
func (m *meter) acceptErrors(p port) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_accept_errors_total{port="` + string(p) + `"}`)
}

// countLimited counts a request of a rate-limited workspace by the source of its token, or by why it got none.
func (m *meter) countLimited(outcome string) {
	m.set.GetOrCreateCounter(`papayahead_gate_limited_requests_total{outcome="` + outcome + `"}`).Inc()
}

// countAttempt counts an attempt by its outcome, and by how it failed if it did.
func (m *meter) countAttempt(o pasteer.Outcome, f paconn.Failure) {
	m.set.GetOrCreateCounter(`papayahead_gate_attempts_total{outcome="` + o.String() + `"}`).Inc()
	if f != "" {
		m.attemptFailures(f).Inc()
	}
}

// attemptFailures counts attempts without a complete response.
func (m *meter) attemptFailures(f paconn.Failure) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_attempt_failures_total{failure="` + string(f) + `"}`)
}

// countRetry counts a decision on a retry.
func (m *meter) countRetry(service string, granted bool) {
	outcome := "Refused"
	if granted {
		outcome = "Granted"
	}
	m.set.GetOrCreateCounter(`papayahead_gate_retries_total{service="` + service + `",outcome="` + outcome + `"}`).Inc()
}

// relayed counts requests that were handed to a relay.
func (m *meter) relayed(outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_relayed_total{outcome="` + outcome + `"}`)
}

// countRelayed counts a request that was handed to a relay, by what became of it there, and what the detour added; 0 if
// unknown.
func (m *meter) countRelayed(outcome string, delay time.Duration) {
	m.relayed(outcome).Inc()
	m.observeDetour(delay)
}

// openedFor counts connections that were opened to targets for requests, endedFor those that no further request used after a response.
func (m *meter) openedFor(r paconn.OpenReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_target_connections_opened_total{reason="` + string(r) + `"}`)
}

func (m *meter) endedFor(r endReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_target_connections_ended_total{reason="` + string(r) + `"}`)
}

// strayAnswers counts responses that arrived in place of the one to the request on their connection.
func (m *meter) strayAnswers(k strayKind) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_stray_answers_total{kind="` + string(k) + `"}`)
}

// unprovenRefusals counts responses of targets with a status that promises that the request did not run, without saying so.
func (m *meter) unprovenRefusals(status int) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_unproven_refusals_total{status="` + strconv.Itoa(status) + `"}`)
}

// handedOver counts requests that were handed to the sender of their target.
func (m *meter) handedOver(outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_handed_over_total{outcome="` + outcome + `"}`)
}

// countHandedOver counts a request that was handed to the sender of its target, by what became of it there, and what the detour
// added; 0 if unknown.
func (m *meter) countHandedOver(outcome string, delay time.Duration) {
	m.handedOver(outcome).Inc()
	m.observeDetour(delay)
}

// observeDetour records what a detour through another entry VM added; 0 if unknown.
func (m *meter) observeDetour(delay time.Duration) {
	if delay > 0 {
		m.set.GetOrCreateHistogram("papayahead_gate_relay_delay_seconds").Update(delay.Seconds())
	}
}

func (m *meter) countRequest(_ string, status int, reason string, took, behind time.Duration) {
	m.set.GetOrCreateCounter(`papayahead_gate_requests_total{status="` + strconv.Itoa(status) + `",reason="` + reason + `"}`).Inc()
	m.set.GetOrCreateHistogram("papayahead_gate_request_duration_seconds").Update(took.Seconds())
	m.set.GetOrCreateHistogram("papayahead_gate_request_behind_seconds").Update(behind.Seconds())
}

// sampleServed reports whether to log a request that was served.
func (m *meter) sampleServed() bool { return m.served.Add(1)%servedLogInterval == 1 }

// WriteMetrics writes the metrics in the Prometheus text format.
func (g *Gate) WriteMetrics(w io.Writer) { g.meter.set.WritePrometheus(w) }

// ServeMetrics serves the metrics on a port of its own until that is closed.
func (g *Gate) ServeMetrics(l net.Listener) error {
	c := g.laneConfig(portMetrics, g.ports.shares.Readiness)
	c.Base = l
	return g.newServer(c, func(w http.ResponseWriter, _ *http.Request) { g.WriteMetrics(w) }).Run()
}

// CountDroppedLines exports n, the number of log lines dropped because the log's reader was slow, as a metric, and
// logs it when it grows.
func (g *Gate) CountDroppedLines(n *atomic.Uint64) {
	g.droppedLines.Store(n)
	g.meter.set.NewGauge("papayahead_gate_log_lines_dropped", func() float64 { return float64(n.Load()) })
}

// logDroppedLines logs the number of dropped lines if it grew; it is called once a tick.
func (g *Gate) logDroppedLines() {
	counter := g.droppedLines.Load()
	if counter == nil {
		return
	}
	if n := counter.Load(); n > g.logged.dropped {
		g.logged.dropped = n
		g.record(paevent.LinesDropped{Total: n})
	}
}
