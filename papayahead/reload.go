package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/paevent"
	"papayahead/pagate"
	"papayahead/platform"
)

// pollInterval is how often the settings file is checked for changes, which may come without a signal.
// Nothing in it is urgent.
const pollInterval = 2 * time.Second

// reloader reloads the settings on SIGHUP and when the modification time of the file changes.
type reloader struct {
	path     string
	clock    clockwork.Clock
	gate     *pagate.Gate
	recorder *paevent.Recorder
	modified time.Time
}

// run reloads the settings until the context is done. The caller must subscribe hangup to SIGHUP before it
// does anything else: unhandled, the signal ends the process and cuts off every request.
func (r *reloader) run(ctx context.Context, hangup <-chan os.Signal) {
	r.modified = r.modificationTime()
	tick := r.clock.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			r.reload("Signal")
		case <-tick.Chan():
			if at := r.modificationTime(); !at.Equal(r.modified) {
				r.reload("FileChanged")
			}
		}
	}
}

// modificationTime returns the file's modification time, or the zero time if the file can't be read, for
// example while it is being replaced.
func (r *reloader) modificationTime() time.Time {
	i, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}

// reload applies the settings file if it is valid; otherwise it records the error and keeps the settings
// in force.
func (r *reloader) reload(cause string) {
	r.modified = r.modificationTime()
	s, err := platform.ReadSettings(r.path)
	if err != nil {
		r.recorder.Record(paevent.SettingsReloaded{Cause: cause, Fault: err.Error()})
		return
	}
	r.gate.Reload(s)
	r.recorder.Record(paevent.SettingsReloaded{Cause: cause})
}

// notifyHangup subscribes to SIGHUP and returns the channel that receives it.
func notifyHangup() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
