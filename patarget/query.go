package patarget

import "time"

// Phase returns where the target stands in its life.
func (t *Target) Phase() Phase { return t.phase }

// InFlight returns the requests that the owner has running, and one more for a probe.
func (t *Target) InFlight() int {
	if t.probing {
		return t.inFlight + 1
	}
	return t.inFlight
}

// Idle says that nothing runs or may still run at the target, by all that the owner knows.
func (t *Target) Idle(now time.Time) bool { return t.taken(now) == 0 }

// Probing says whether a probe runs.
func (t *Target) Probing() bool { return t.probing }

// Slow says whether the target is much slower than its peers.
func (t *Target) Slow() bool { return t.slow }

// Failures returns the recent failure rate, 0 to 1.
func (t *Target) Failures() float64 { return t.failures }

// Room returns how many more requests the target may be given now.
func (t *Target) Room(now time.Time) int {
	if t.suspect > 0 {
		return 0
	}
	return max(0, t.Limit(now)-t.taken(now))
}

// Doubted says whether a silent connection has still to be judged by a probe.
func (t *Target) Doubted() bool { return t.suspect > 0 }

// Opens returns how long the target is closed by work that is not the owner's own; zero when it has
// room or own requests will free a slot.
func (t *Target) Opens(now time.Time) time.Duration {
	if t.inFlight > 0 || t.supposed < t.Limit(now) || !now.Before(t.supposedUntil) {
		return 0
	}
	return t.supposedUntil.Sub(now)
}

// Limit returns how many slots the target may use now, taken ones included.
func (t *Target) Limit(now time.Time) int {
	limit := t.Slots
	if t.Connections > 0 {
		limit = min(limit, t.Connections)
	}
	switch {
	case t.phase == Leaving || t.phase == Ejected:
		return 0
	case t.phase == Trial:
		return min(limit, 1)
	case t.slow:
		// Given less: a single request tries it after each pause.
		if now.Before(t.slowAgain) {
			return 0
		}
		return min(limit, 1)
	case t.phase == Warming:
		limit = min(limit, 1+int(float64(t.Slots-1)*t.warmth(now)))
	}
	return limit - t.foreignWork(now, limit)
}

// NeedsProbe says whether a probe is due: the target gave no sign of life for a while, by live
// traffic or otherwise, or its silence has to be judged, and a slot is free for it.
func (t *Target) NeedsProbe(now time.Time) bool {
	if t.probing || t.phase == Leaving || t.taken(now) >= t.Slots {
		return false
	}
	if t.suspect > 0 {
		return true
	}
	return t.phase != Ejected && t.inFlight == 0 && now.Sub(t.lastSign) >= ProbeIdle
}

// NextTick returns when the target's state changes by itself next.
func (t *Target) NextTick(now time.Time) time.Time {
	next := t.lastSign.Add(ProbeIdle)
	earlier := func(u time.Time) {
		if u.After(now) && (u.Before(next) || !next.After(now)) {
			next = u
		}
	}
	if t.phase == Ejected {
		earlier(t.ejectUntil)
	}
	if t.phase == Warming {
		ramp := orDefault(t.Ramp, DefaultRamp)
		earlier(t.began.Add(ramp))
		step := ramp / time.Duration(max(1, t.Slots-1))
		earlier(t.began.Add((now.Sub(t.began)/step + 1) * step))
	}
	if t.slow {
		earlier(t.slowAgain)
	}
	if t.supposed > 0 {
		earlier(t.supposedUntil)
	}
	if t.foreign > 0 {
		earlier(t.load.Measured.Add(ReportAge))
	}
	for _, u := range t.lingering {
		earlier(u)
	}
	if !next.After(now) {
		return now.Add(ProbeIdle)
	}
	return next
}

// taken is the number of slots in use: own requests and probe, lost ones that may still run, and
// the former owner's.
func (t *Target) taken(now time.Time) int {
	n := t.InFlight()
	for _, u := range t.lingering {
		if u.After(now) {
			n++
		}
	}
	if t.supposed > 0 && now.Before(t.supposedUntil) {
		n += t.supposed
	}
	return n
}

// foreignWork is what the target reported to run beside the owner's own work. A report lags and
// can lie, so that at least one slot stays usable whatever it says.
func (t *Target) foreignWork(now time.Time, limit int) int {
	if t.foreign == 0 || now.Sub(t.load.Measured) > ReportAge {
		return 0
	}
	return min(t.foreign, max(0, limit-1))
}

func (t *Target) warmth(now time.Time) float64 {
	w := float64(now.Sub(t.began)) / float64(orDefault(t.Ramp, DefaultRamp))
	return min(1, max(0, w))
}
