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

// A process that starts in a large deployment wrote a line for each target and entry VM.
func TestAStartIsLoggedAsASum(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	r := paevent.NewRecorder(paevent.RecorderConfig{Process: "e", Clock: clock, Log: zerolog.New(&out)})
	g := New(Config{Settings: Settings{Name: "e"}, Network: unused{}, Clock: clock, Recorder: r})
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
		g.noteChanges(v, &state{}, clock.Now())
		clock.Advance(100 * time.Millisecond)
	}
	if n := strings.Count(out.String(), "\n"); n > 8+fleetLines {
		t.Errorf("%d lines at a start", n)
	}
	clock.Advance(time.Minute)
	out.Reset()
	v.Apply(pafleet.TargetRemoved{ID: "t3", Revision: 3000}, clock.Now())
	g.noteChanges(v, &state{}, clock.Now())
	if !strings.Contains(out.String(), `"Target":"t3"`) {
		t.Errorf("no line on a target that left: %s", out.String())
	}
}

// A service is overloaded, and each refusal wrote a line: the log took the processor from requests.
func TestLinesOnRefusedRequestsAreBounded(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	r := paevent.NewRecorder(paevent.RecorderConfig{Process: "e", Clock: clock, Log: zerolog.New(&out)})
	g := New(Config{Settings: Settings{Name: "e"}, Network: unused{}, Clock: clock, Recorder: r})
	for range 10 * endBurst {
		g.ended(&exchange{arrived: clock.Now()}, 503, "Full")
		clock.Advance(time.Millisecond)
	}
	lines := strings.Count(out.String(), "\n")
	if lines > endBurst+10*endBurst*endLines/1000+1 || lines < endBurst {
		t.Errorf("%d lines on %d refused requests", lines, 10*endBurst)
	}
	if left := g.meter.unlogged.Get(); int(left)+lines != 10*endBurst {
		t.Errorf("%d lines and %d left out of %d", lines, left, 10*endBurst)
	}
}

// A request reached a target that had left, and the log did not tell whose word the entry VM had followed past the removal.
func TestTheLogTellsWhoseWordRaisedTheRevision(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	r := paevent.NewRecorder(paevent.RecorderConfig{Process: "e", Clock: clock, Log: zerolog.New(&out)})
	g := New(Config{Settings: Settings{Name: "e"}, Network: unused{}, Clock: clock, Recorder: r})
	v := pafleet.View{Revision: 4}
	knownAt := longAgo
	say := func(born int64, since, revision pafleet.Revision) string {
		out.Reset()
		said := peerSaid{from: pafleet.Entry{Name: "r", Born: born}, since: since, revision: revision, asked: true, knownAt: g.uptime()}
		clock.Advance(time.Second)
		g.handle(&v, said, &knownAt, clock.Now())
		return out.String()
	}
	if line := say(1, 4, 5); !strings.Contains(line, `"Entry":"r","Born":1,"Since":4,"Revision":5`) {
		t.Errorf("the first word of a neighbour: %q", line)
	}
	if line := say(1, 5, 6); line != "" {
		t.Errorf("a further word that holds nothing: %q", line)
	}
	if line := say(2, 6, 7); !strings.Contains(line, `"Born":2`) {
		t.Errorf("the first word of the neighbour's next process: %q", line)
	}
}
