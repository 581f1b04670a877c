package paentry

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"papayahead/pacontrol"
)

// measureInterval is how often the processors' busy share is read.
const measureInterval = time.Second

// measure tells the control state how busy this process keeps the processors it may use.
func (d *Daemon) measure(ctx context.Context) {
	used, at := processorTime(), d.config.Clock.Now()
	for sleep(ctx, d.config.Clock, measureInterval) {
		now, next := d.config.Clock.Now(), processorTime()
		if passed := now.Sub(at); passed > 0 {
			share := (next - used).Seconds() / passed.Seconds() / float64(runtime.GOMAXPROCS(0))
			d.post(pacontrol.CPUMeasured{Busy: share})
		}
		used, at = next, now
		d.targets.Reap()
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
