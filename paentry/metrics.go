package paentry

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"papayahead/pabundle"
	"papayahead/pacontrol"
	"papayahead/paevent"
	"papayahead/palink"
	"papayahead/pamember"
	"papayahead/paproxy"
)

// metrics holds one daemon's counters, in a set of its own because a process can run many daemons.
type metrics struct {
	set     *vm.Set
	lookUps *vm.Counter
}

func newMetrics() *metrics {
	s := vm.NewSet()
	return &metrics{set: s, lookUps: s.NewCounter("papayahead_look_ups_total")}
}

// finished counts a request and the time from its arrival to its end.
func (m *metrics) finished(r paproxy.Request, last paproxy.Result, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("papayahead_requests_total{service=%q,outcome=%q,reason=%q}",
		r.Service, last.Outcome, last.Reason)).Inc()
	if last.Outcome == paproxy.Answered {
		m.set.GetOrCreateHistogram(fmt.Sprintf("papayahead_answer_seconds{service=%q}", r.Service)).Update(took.Seconds())
		return
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf("papayahead_refusal_seconds{service=%q}", r.Service)).Update(took.Seconds())
}

// creditAsks returns the counter of credit requests, made ahead of demand or for waiting requests.
func (m *metrics) creditAsks(n pabundle.ServiceName, ahead bool, a askOutcome) *vm.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("papayahead_credit_asks_total{service=%q,ahead=\"%t\",answer=%q}", n, ahead, a))
}

func (d *Daemon) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	s := d.snapshot.Load()
	// Creates the counters of all label values, so that they are written as 0 before the first request.
	for n := range s.Loads {
		for _, a := range [...]askOutcome{askGranted, askEmpty, askFailed} {
			d.metrics.creditAsks(n, true, a)
			d.metrics.creditAsks(n, false, a)
		}
	}
	d.metrics.set.WritePrometheus(w)
	d.writeState(w, s)
	for _, n := range slices.Sorted(maps.Keys(s.Loads)) {
		writeService(w, n, s.Loads[n])
	}
	writeLinks(w, s, d.config.Settings.Region)
	d.writeEvents(w)
	vm.WriteProcessMetrics(w)
}

// writeState writes the gauges of the daemon itself and of the membership.
func (d *Daemon) writeState(w io.Writer, s *pacontrol.Snapshot) {
	vm.WriteGaugeUint64(w, "papayahead_sequence", uint64(s.Head.Sequence))
	vm.WriteGaugeUint64(w, "papayahead_in_flight", uint64(max(0, d.inFlight.Load())))
	vm.WriteGaugeUint64(w, "papayahead_owned_targets", uint64(s.Owned))
	vm.WriteGaugeUint64(w, "papayahead_agreed_members", uint64(s.Members))
	vm.WriteGaugeUint64(w, "papayahead_stopping", boolGauge(s.Stopping))
	vm.WriteGaugeUint64(w, "papayahead_watches_store", boolGauge(s.Watches))
	vm.WriteGaugeFloat64(w, "papayahead_room_use", s.RoomUse)
	vm.WriteGaugeUint64(w, "papayahead_memory_held_bytes", uint64(max(0, d.memory.Held())))
	vm.WriteCounterUint64(w, "papayahead_memory_refusals_total", d.memory.Refused())
	if s.View == nil {
		return
	}
	states := map[pamember.State]uint64{}
	for _, m := range s.View.Members {
		states[m.State]++
	}
	for _, x := range []pamember.State{pamember.Alive, pamember.Suspected, pamember.Leaving, pamember.Dead, pamember.Left} {
		vm.WriteGaugeUint64(w, fmt.Sprintf("papayahead_members{state=%q}", x), states[x])
	}
}

func writeService(w io.Writer, n pabundle.ServiceName, l pacontrol.ServiceLoad) {
	count := func(format string, v int) { vm.WriteGaugeUint64(w, fmt.Sprintf(format, n), uint64(max(0, v))) }
	count("papayahead_slots{service=%q}", l.Slots)
	count("papayahead_free_slots{service=%q}", l.Free)
	count("papayahead_running{service=%q}", l.InFlight)
	count("papayahead_queue_length{service=%q}", l.Waiting)
	count("papayahead_credits_granted{service=%q}", l.Granted)
	count("papayahead_remote_running{service=%q}", l.Remote)
	vm.WriteGaugeFloat64(w, fmt.Sprintf("papayahead_arrivals_per_second{service=%q}", n), l.Arrivals)
	vm.WriteGaugeFloat64(w, fmt.Sprintf("papayahead_share_refused{service=%q}", n), l.Refused)
	for _, x := range l.Shares {
		vm.WriteGaugeFloat64(w, fmt.Sprintf("papayahead_share{service=%q,to=%q}", n, x.To), x.Share)
	}
	for _, r := range slices.Sorted(maps.Keys(l.Credits)) {
		vm.WriteGaugeUint64(w, fmt.Sprintf("papayahead_credits_held{service=%q,region=%q}", n, r), uint64(l.Credits[r]))
	}
}

// writeLinks writes this entry VM's share of each link from its region to another.
func writeLinks(w io.Writer, s *pacontrol.Snapshot, from pabundle.RegionName) {
	if s.Bundle == nil {
		return
	}
	for _, x := range s.Bundle.Links {
		if x.From == from {
			d := palink.LinkShare{Capacity: x.Capacity, Reserve: s.Bundle.Policy.Reserve, Members: s.Members}
			vm.WriteGaugeFloat64(w, fmt.Sprintf("papayahead_link_budget_bytes_per_second{to=%q}", x.To), float64(d.Rate()))
		}
	}
}

// writeEvents writes the counts of all events above level info, so that alerts can be based on them.
func (d *Daemon) writeEvents(w io.Writer) {
	for _, e := range paevent.Catalogue() {
		k := e.Kind()
		if k.Level == paevent.Info {
			continue
		}
		name := fmt.Sprintf("papayahead_events_total{number=%q,event=%q,level=%q}", fmt.Sprint(int(k.Number)), k.Name, k.Level)
		vm.WriteCounterUint64(w, name, d.config.Recorder.Count(k.Number))
	}
}

func boolGauge(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
