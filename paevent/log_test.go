package paevent

import (
	"bytes"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// Guards against losing a request in collected logs: the file holds lines of several processes, each with a
// prefix added by the collector, and lines that are not events.
func TestReadLogFindsRequestInCollectedLogs(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	for _, process := range []string{"e1", "e2"} {
		r := NewRecorder(RecorderConfig{Process: process, Clock: clock, Log: zerolog.New(&out).With().Str("Process", process).Logger()})
		r.Record(RequestEnded{Subject: Subject{Request: "r-" + process}, Status: 503, Reason: "Full"})
		r.Record(ConfigurationInForce{Version: 7})
	}
	text := "a line of something else\n"
	for line := range strings.Lines(out.String()) {
		text += "12:00 host " + line
	}
	all, skipped, err := ReadLog(strings.NewReader(text))
	if err != nil || len(all) != 4 || skipped != 1 {
		t.Fatalf("%d records, %d skipped, %v", len(all), skipped, err)
	}
	found := Merge(Filter{Request: "r-e2"}, all)
	if len(found) != 1 || found[0].Process != "e2" || !strings.Contains(string(found[0].Event), `"Reason":"Full"`) {
		t.Errorf("found %+v", found)
	}
}
