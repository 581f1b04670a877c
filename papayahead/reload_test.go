package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"papayahead/paevent"
	"papayahead/pagate"
)

// Guards against an unhandled SIGHUP, which the platform sends after it changes the settings file: the
// default action ended the process and cut off every request.
func TestHangupReloadsSettings(t *testing.T) {
	hangup := notifyHangup()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "node.conf")
	if err := os.WriteFile(path, []byte("self.nodeName="), 0o600); err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewFakeClock()
	recorder := paevent.NewRecorder(paevent.RecorderConfig{Process: "t", Clock: clock, Log: zerolog.Nop(), RingSize: 4})
	r := &reloader{path: path, clock: clock, gate: pagate.New(pagate.Config{Clock: clock, Network: gateNetwork{}}), recorder: recorder}
	go r.run(t.Context(), hangup)
	deadline := time.After(10 * time.Second)
	for recorder.Count(paevent.SettingsReloaded{}.Kind().Number) == 0 {
		select {
		case <-deadline:
			t.Fatal("SIGHUP was not handled within 10 s")
		case <-time.After(time.Millisecond):
		}
	}
	if got := recorder.Records()[0]; !containsFault(got) {
		t.Errorf("an invalid settings file was accepted: %s", got.Event)
	}
}

func containsFault(r paevent.Record) bool { return len(r.Event) > len(`{"Cause":"Signal"}`) }
