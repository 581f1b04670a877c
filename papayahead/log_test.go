package main

import (
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"papayahead/paevent"
)

// Guards against requests that block on logging: each request writes a log line, and the log collector may
// stop reading the pipe.
func TestBlockedLogReaderDropsLines(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var dropped atomic.Uint64
	out := logWriter(w, &dropped)
	recorder := paevent.NewRecorder(paevent.RecorderConfig{Process: "t", Clock: clockwork.NewRealClock(), Log: zerolog.New(out), RingSize: 4})
	const lines = 4 * logQueueLines
	begun := time.Now()
	for range lines {
		recorder.Record(paevent.RequestEnded{Status: 503, Reason: "Full"})
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	// The writer counts dropped lines only once it can write again.
	go func() {
		b := make([]byte, 1<<16)
		for {
			if _, err := r.Read(b); err != nil {
				return
			}
		}
	}()
	deadline := time.Now().Add(10 * time.Second)
	for dropped.Load() == 0 && time.Now().Before(deadline) {
		recorder.Record(paevent.RequestEnded{})
		time.Sleep(time.Millisecond)
	}
	if dropped.Load() == 0 {
		t.Error("no line was dropped, or none was counted")
	}
}
