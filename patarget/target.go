package patarget

import (
	"time"

	"github.com/looplab/fsm"
)

// Target is one target VM as its owner sees it. Its exported fields are set once, before use.
type Target struct {
	// Slots is how many requests the target runs at once.
	Slots int
	// Connections is this entry VM's part of the connections that the target accepts.
	Connections int
	// Ramp, Takeover and Linger stand in for DefaultRamp, DefaultTakeover and DefaultLinger unless zero.
	Ramp, Takeover, Linger time.Duration

	machine *fsm.FSM
	phase   Phase
	began   time.Time

	inFlight int
	probing  bool
	// supposed is the former owner's work, taken to run until supposedUntil.
	supposed      int
	supposedUntil time.Time
	// lingering is when slots of lost answers are free again.
	lingering []time.Time

	failures float64
	outcomes int
	// run is the run time over the peers' for the same work, smoothed.
	run       float64
	runs      int
	slow      bool
	slowAgain time.Time
	slowTries int

	ejections  int
	ejectedAt  time.Time
	ejectUntil time.Time
	passes     int

	suspect  int
	lastSign time.Time
	load     Load
	foreign  int
}

// Join says how a target came to its owner.
type Join int

// The ways a target comes to an owner.
const (
	// Cold is a target that was just started: it is given slots by and by.
	Cold Join = iota
	// Warm is a target that was serving already when the owner took it with a handover or at start.
	Warm
	// Orphaned is a target whose former owner is gone: its work is supposed to run still.
	Orphaned
)

// Start begins the owner's care of a target; running is the in-flight count that a handover told.
func (t *Target) Start(now time.Time, j Join, running int) {
	t.began = now
	t.lastSign = now
	t.phase = Serving
	switch j {
	case Cold:
		t.phase = Warming
	case Orphaned:
		// Failure: the former owner died and its requests still run at the target. It shows as a
		// target with twice its slots in flight. The guard holds because a target stops a request
		// when its connection closes, which a dead process's connections do within the wait.
		t.supposed = t.Slots
		t.supposedUntil = now.Add(orDefault(t.Takeover, DefaultTakeover))
	case Warm:
		t.supposed = min(running, t.Slots)
		t.supposedUntil = now.Add(orDefault(t.Takeover, DefaultTakeover))
	}
}

// Release says that the former owner's requests ended: n of them, by its word.
func (t *Target) Release(n int) { t.supposed = max(0, t.supposed-n) }

// Adopt takes over the requests and lost answers of an earlier state of the same target.
func (t *Target) Adopt(from *Target) {
	t.inFlight += from.inFlight
	t.probing = t.probing || from.probing
	t.lingering = append(t.lingering, from.lingering...)
	if from.supposedUntil.After(t.supposedUntil) && from.supposed > t.supposed {
		t.supposed = from.supposed
		t.supposedUntil = from.supposedUntil
	}
	from.inFlight = 0
	from.probing = false
}

// Begin takes a slot for a request.
func (t *Target) Begin() { t.inFlight++ }

// BeginProbe takes a slot for a probe.
func (t *Target) BeginProbe() { t.probing = true }

// Result is the end of an attempt.
type Result struct {
	Outcome Outcome
	// Run is the time from sending to the end of the answer.
	Run time.Duration
	// Expected is the run time that peers needed for such a request; zero when unknown.
	Expected time.Duration
	// Deadline is when the target stops the request at the latest.
	Deadline time.Time
	// Only says that no other target of the service takes work, so that this one is not ejected.
	Only bool
}

// End frees the slot of a request and learns from its outcome. It returns true when the connection
// was silent and a probe over a new connection has to tell whether the target is to blame.
func (t *Target) End(now time.Time, r Result) (doubt bool) {
	t.inFlight--
	if t.inFlight < 0 {
		panic("patarget: more ends than beginnings")
	}
	if r.Outcome.mayStillRun() {
		t.linger(now, r.Deadline)
	}
	switch r.Outcome {
	case Answered:
		t.sign(now)
		t.observe(now, r)
		t.note(now, false, r.Only)
	case Failed, Shed, NotRun, Unknown:
		t.note(now, true, r.Only)
	case Silent:
		// Failure: something between the two ends forgot the connection; requests on it get no
		// answer while new connections work. Blaming the target at once would eject a healthy one,
		// so the judgement waits for a probe over a new connection.
		t.suspect++
		return true
	}
	return false
}

// EndProbe frees the slot of a probe and learns from it. A probe can convict a target; it can
// acquit only a silent connection, never a target whose requests fail.
func (t *Target) EndProbe(now time.Time, ok bool) {
	t.probing = false
	suspect := t.suspect
	t.suspect = 0
	if ok {
		t.sign(now)
		return
	}
	t.lastSign = now
	for range max(1, suspect) {
		t.note(now, true, false)
	}
}

// Report takes the target's own word on its load. It can only take room away.
func (t *Target) Report(now time.Time, l Load) {
	if l.Leaving {
		t.Leave()
	}
	// A reading is acted on once: a lagging one repeated would count the same foreign work again.
	if !l.Measured.After(t.load.Measured) || now.Sub(l.Measured) > ReportAge {
		return
	}
	t.load = l
	t.foreign = max(0, l.Running-t.taken(now))
}

// Leave stops new work for good.
func (t *Target) Leave() { t.step(stepLeave) }

// Tick moves the phase on as time passes.
func (t *Target) Tick(now time.Time) {
	switch {
	case t.phase == Warming && now.Sub(t.began) >= orDefault(t.Ramp, DefaultRamp):
		t.step(stepWarm)
	case t.phase == Ejected && !now.Before(t.ejectUntil):
		t.passes = 0
		t.step(stepTry)
	}
	kept := t.lingering[:0]
	for _, u := range t.lingering {
		if u.After(now) {
			kept = append(kept, u)
		}
	}
	t.lingering = kept
}

// Try ends an ejection early, for an owner with no other target, but not before EjectFirst.
func (t *Target) Try(now time.Time) {
	if t.slow {
		t.slowAgain = now
	}
	if t.phase == Ejected && now.Sub(t.ejectedAt) >= EjectFirst {
		t.passes = 0
		t.step(stepTry)
	}
}

func (t *Target) linger(now, deadline time.Time) {
	until := now.Add(orDefault(t.Linger, DefaultLinger))
	if deadline.After(now) && deadline.Before(until) {
		until = deadline
	}
	t.lingering = append(t.lingering, until)
}

func (t *Target) sign(now time.Time) {
	t.lastSign = now
	t.suspect = 0
}

// observe learns the run time. Load: one target is many times slower than its peers. Harm
// prevented: its callers time out while its slots look free. Only the ratio to what peers need for
// the same class of work counts, so that long work does not look like a slow target.
func (t *Target) observe(now time.Time, r Result) {
	if r.Expected <= 0 {
		return
	}
	ratio := float64(r.Run) / float64(r.Expected)
	if t.runs == 0 {
		t.run = ratio
	}
	t.run += runWeight * (ratio - t.run)
	t.runs++
	if t.runs < SlowSamples {
		return
	}
	switch {
	case !t.slow && t.run > SlowFactor:
		t.slow = true
		t.slowTries = 0
		t.slowAgain = now.Add(SlowPause)
	case t.slow && ratio < SlowFactor/2.0:
		// Gently back: good answers in a row, one at a time, before it counts as its peers do.
		t.slowTries++
		if t.slowTries >= TrialPasses {
			t.slow = false
			t.run = 1
		}
	case t.slow:
		t.slowTries = 0
		t.slowAgain = now.Add(SlowPause)
	}
}

// note learns from an outcome. Load: a target that fails at once is always the least loaded.
// Harm prevented: it attracts all work and fails it. Failures count as failures, never as
// completions, and enough of them eject the target for a while that doubles each time. The only
// target left stays: when all fail, the cause is rarely the targets, and none is worse than one.
func (t *Target) note(now time.Time, failed, only bool) {
	v := 0.0
	if failed {
		v = 1
	}
	t.failures += outcomeWeight * (v - t.failures)
	t.outcomes++
	switch t.phase {
	case Trial:
		t.tried(now, failed)
	case Warming, Serving:
		if t.failures >= EjectFailures && t.outcomes >= EjectSamples && !only {
			t.eject(now)
		}
	}
}

func (t *Target) tried(now time.Time, failed bool) {
	if failed {
		t.eject(now)
		return
	}
	t.passes++
	if t.passes >= TrialPasses {
		t.failures = 0
		t.ejections = 0
		t.step(stepTrust)
	}
}

func (t *Target) eject(now time.Time) {
	pause := EjectFirst << min(t.ejections, 10)
	t.ejections++
	t.ejectedAt = now
	t.ejectUntil = now.Add(min(pause, EjectMost))
	t.step(stepEject)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
