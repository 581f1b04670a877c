package paentry

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"papayahead/pacontrol"
)

// cpuInterval is how often the CPU use is sampled.
const cpuInterval = time.Second

// reportCPU samples this process's CPU use and posts it, as a share of GOMAXPROCS processors, to the
// control state. With each sample it also closes idle connections to targets.
func (d *Daemon) reportCPU(ctx context.Context) {
	used, at := cpuTime(), d.config.Clock.Now()
	for sleep(ctx, d.config.Clock, cpuInterval) {
		now, next := d.config.Clock.Now(), cpuTime()
		if passed := now.Sub(at); passed > 0 {
			share := (next - used).Seconds() / passed.Seconds() / float64(runtime.GOMAXPROCS(0))
			d.post(pacontrol.CPUMeasured{Busy: share})
		}
		used, at = next, now
		d.targets.CloseExpired()
	}
}

// cpuTime returns the user and system CPU time of this process, 0 if it can't be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
