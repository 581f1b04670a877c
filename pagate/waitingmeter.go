package pagate

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayahead/pasteer"
)

// priorityLabels are the values of the label priority; all less urgent ones count together.
var priorityLabels = [...]string{"0", "1", "2", "Other"}

func priorityLabel(priority int) string {
	return priorityLabels[max(0, min(len(priorityLabels)-1, priority))]
}

// countWait counts a request that waited, and how many later ones were sent before it.
func (m *meter) countWait(priority int, waited time.Duration, overtaken int) {
	m.roomWaits(priority, 1, waited, overtaken)
}

// roomWaits counts waits; it creates the metrics if they are missing.
func (m *meter) roomWaits(priority, waits int, waited time.Duration, overtaken int) {
	label := `{priority="` + priorityLabel(priority) + `"}`
	m.set.GetOrCreateCounter("papayahead_gate_room_waits_total" + label).Add(waits)
	m.set.GetOrCreateFloatCounter("papayahead_gate_room_wait_seconds_total" + label).Add(waited.Seconds())
	m.set.GetOrCreateCounter("papayahead_gate_room_overtaken_total" + label).Add(overtaken)
}

// countRoomRefusal counts a request to a contended service that was refused, or whose caller left.
func (m *meter) countRoomRefusal(priority int, reason string) { m.roomRefused(priority, reason).Inc() }

func (m *meter) roomRefused(priority int, reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`papayahead_gate_room_refused_total{priority="` + priorityLabel(priority) + `",reason="` + reason + `"}`)
}

// exportWaiting exports how many requests wait, by priority.
func (g *Gate) exportWaiting() {
	for priority, label := range priorityLabels {
		g.meter.roomWaits(priority, 0, 0, 0)
		for _, reason := range []pasteer.Reason{pasteer.ReasonFull, pasteer.ReasonRoomFull, pasteer.ReasonTooLate} {
			g.meter.roomRefused(priority, string(reason))
		}
		g.meter.set.NewGauge(`papayahead_gate_room_requests{priority="`+label+`"}`, func() float64 {
			g.balancerMutex.Lock()
			defer g.balancerMutex.Unlock()
			n := g.balancer.Waiting(priority)
			if priority == len(priorityLabels)-1 {
				n = g.balancer.WaitingRequests()
				for p := range priority {
					n -= g.balancer.Waiting(p)
				}
			}
			return float64(n)
		})
	}
	g.meter.set.NewGauge("papayahead_gate_room_bytes", func() float64 {
		g.balancerMutex.Lock()
		defer g.balancerMutex.Unlock()
		return float64(g.balancer.WaitingBytes())
	})
}
