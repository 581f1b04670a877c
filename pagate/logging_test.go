package pagate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"papayahead/paevent"
	"papayahead/pafleet"
)

// A process that starts in a large deployment logged a line for each target and entry VM.
func TestStartIsLoggedAsASummary(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	r := paevent.NewRecorder(paevent.RecorderConfig{Process: "e", Clock: clock, Log: zerolog.New(&out)})
	g := New(Config{Settings: Settings{Name: "e"}, Network: noNetwork{}, Clock: clock, Recorder: r})
	v := &pafleet.View{}
	var all []pafleet.Change
	for i := range 1600 {
		all = append(all, pafleet.TargetUpdated{Target: pafleet.Target{ID: fmt.Sprint("t", i), Sequence: 1, Revision: pafleet.Revision(i + 1)}})
	}
	for i := range 120 {
		all = append(all, pafleet.EntryUpdated{Entry: pafleet.Entry{Name: fmt.Sprint("e", i), Revision: pafleet.Revision(2000 + i)}})
	}
	// Targets register one after the other while the process starts.
	for i := range 8 {
		for _, c := range all[i*215 : (i+1)*215] {
			v.Apply(c, clock.Now())
		}
		g.logChanges(v, &state{}, clock.Now())
		clock.Advance(100 * time.Millisecond)
	}
	if n := strings.Count(out.String(), "\n"); n > 8+changeLineRate {
		t.Errorf("%d lines at a start", n)
	}
	clock.Advance(time.Minute)
	out.Reset()
	v.Apply(pafleet.TargetRemoved{ID: "t3", Revision: 3000}, clock.Now())
	g.logChanges(v, &state{}, clock.Now())
	if !strings.Contains(out.String(), `"Target":"t3"`) {
		t.Errorf("no line on a target that was removed: %s", out.String())
	}
}

// While a service was overloaded, a log line on each refusal took CPU time from requests.
func TestLinesOnRefusedRequestsAreBounded(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	r := paevent.NewRecorder(paevent.RecorderConfig{Process: "e", Clock: clock, Log: zerolog.New(&out)})
	g := New(Config{Settings: Settings{Name: "e"}, Network: noNetwork{}, Clock: clock, Recorder: r})
	for range 10 * endLineBurst {
		g.recordEnd(&exchange{arrived: clock.Now()}, 503, "Full")
		clock.Advance(time.Millisecond)
	}
	lines := strings.Count(out.String(), "\n")
	if lines > endLineBurst+10*endLineBurst*endLineRate/1000+1 || lines < endLineBurst {
		t.Errorf("%d lines on %d refused requests", lines, 10*endLineBurst)
	}
	if left := g.meter.unloggedEnds.Get(); int(left)+lines != 10*endLineBurst {
		t.Errorf("%d lines and %d left out of %d", lines, left, 10*endLineBurst)
	}
}

// A request was sent to a target that had been removed, and the log did not show from which neighbour the entry VM
// had learned the revision after the removal.
func TestLogNamesSourceOfRevision(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	r := paevent.NewRecorder(paevent.RecorderConfig{Process: "e", Clock: clock, Log: zerolog.New(&out)})
	g := New(Config{Settings: Settings{Name: "e"}, Network: noNetwork{}, Clock: clock, Recorder: r})
	v := pafleet.View{Revision: 4}
	verifiedAt := longBeforeStart
	reply := func(born int64, since, revision pafleet.Revision) string {
		out.Reset()
		update := peerUpdate{from: pafleet.Entry{Name: "r", Born: born}, since: since, revision: revision, requested: true, verifiedAt: g.uptime()}
		clock.Advance(time.Second)
		g.handleEvent(&v, update, &verifiedAt, clock.Now())
		return out.String()
	}
	if line := reply(1, 4, 5); !strings.Contains(line, `"Entry":"r","Born":1,"Since":4,"Revision":5`) {
		t.Errorf("the first reply of a neighbour: %q", line)
	}
	if line := reply(1, 5, 6); line != "" {
		t.Errorf("a further reply without changes: %q", line)
	}
	if line := reply(2, 6, 7); !strings.Contains(line, `"Born":2`) {
		t.Errorf("the first reply of the neighbour's next process: %q", line)
	}
}
