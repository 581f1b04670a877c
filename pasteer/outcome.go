package pasteer

import "time"

// Outcome is how a request ended at a target.
type Outcome int

// The outcomes.
const (
	// Answered is a whole answer.
	Answered Outcome = iota
	// Failed is an answer that reports a failure of the target.
	Failed
	// Shed is the target's word that it did not run the request because it is full.
	Shed
	// Moved says that another target has the address; the request did not run.
	Moved
	// Refused says that no connection could be opened; the request did not run.
	Refused
	// Lost says that the connection ended without a whole answer.
	Lost
	// Abandoned says that the caller left or the time ran out.
	Abandoned
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "Answered"
	case Failed:
		return "Failed"
	case Shed:
		return "Shed"
	case Moved:
		return "Moved"
	case Refused:
		return "Refused"
	case Lost:
		return "Lost"
	default:
		return "Abandoned"
	}
}

// Report is what was seen of a request at a target.
type Report struct {
	Target   string
	Route    string
	Object   string
	Outcome  Outcome
	Duration time.Duration
	// Warm is that of the Choice.
	Warm bool
	// Running and Waiting are what the target told of its load; LoadKnown says that it did.
	LoadKnown        bool
	Running, Waiting int
	// ColdFor is how much longer the target says that it stays cold.
	ColdFor time.Duration
}

const (
	// errorWeight is the weight of the latest request in a target's share of failures.
	errorWeight = 0.15
	// downFirst and downMost bound the time for which a target that cannot be reached is left alone.
	downFirst = 300 * time.Millisecond
	downMost  = 3 * time.Second
	// suspectCold is how long a target counts as cold that could not be connected to: it may be starting
	// anew under its ID, and says so within a heartbeat. A single connection that breaks says less: targets
	// spoil some answers while all their other requests go on.
	suspectCold = 3 * time.Second
	// movedDown is how long a target is left alone whose address another one has; its entry is about
	// to go.
	movedDown = 10 * time.Second
)

// Start counts a request that is sent to the chosen target.
func (s *Balancer) Start(c Choice, q Request, now time.Time) {
	t := s.targets[c.Target]
	if t == nil {
		return
	}
	t.inFlight++
	t.used, s.used[t.member.Service] = true, true
	if t.silentAt.IsZero() {
		t.silentAt = now.Add(max(silentLeast, c.wait+silentRuns*s.expected(q, false)))
	} else if t.silent(now) {
		t.tryAt = now.Add(silentPause)
	}
	t.noteLoad(now)
	s.notePlace(c, q, now)
	if t.isCold(now) {
		t.cold.take(now, s.coldRate(t, now))
	}
	s.noteUse(t, q.Object, now)
}

// noteLoad notes since when the target is full.
func (t *target) noteLoad(now time.Time) {
	switch {
	case t.load(now) < t.slots() && (t.inFlight == 0 || now.Sub(t.othersAt) <= othersLife):
		t.fullSince = time.Time{}
	case t.fullSince.IsZero():
		t.fullSince = now
	}
}

const (
	// silentRuns is how many cold runs a target may leave without any answer before it counts as silent,
	// and silentLeast the least time that is.
	silentRuns  = 2
	silentLeast = time.Second
	// silentPause is the time between two requests that try a silent target.
	silentPause = time.Second
)

// silent says that the target has answered nothing for too long while requests waited.
//
// Load: a target loses power, or the way to it is cut, and nothing refuses a connection. Harm prevented:
// its requests end with their callers' leaving, which says nothing of the target, and so all that belongs
// there is sent there until its entry is removed, 4.5 s later or more.
func (t *target) silent(now time.Time) bool { return !t.silentAt.IsZero() && now.After(t.silentAt) }

// Finish takes the end of a request at a target.
func (s *Balancer) Finish(r Report, now time.Time) {
	t := s.targets[r.Target]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if r.LoadKnown {
		t.others, t.othersAt = max(0, float64(r.Running+r.Waiting-t.inFlight-1)), now
	}
	if r.Outcome <= Moved {
		// The target spoke; the next request that waits begins a new silence.
		t.silentAt = time.Time{}
		if t.inFlight > 0 {
			t.silentAt = now.Add(max(silentLeast, silentRuns*r.Duration))
		}
	}
	t.noteLoad(now)
	switch r.Outcome {
	case Answered:
		s.notePress(t, r, now)
		s.workOf(r.Route).add(r.Warm, r.Duration)
		t.failures, t.errors = 0, t.errors*(1-errorWeight)
		s.noteUse(t, r.Object, now)
	case Failed:
		t.errors = t.errors*(1-errorWeight) + errorWeight
	case Shed:
		if s.ShedWithFreeSlot(r) {
			t.errors = t.errors*(1-errorWeight) + errorWeight
			return
		}
		t.others, t.othersAt = max(t.others, 2*t.slots()), now
	case Moved:
		t.downUntil = now.Add(movedDown)
	case Lost:
		t.errors = t.errors*(1-errorWeight) + errorWeight
		t.failures++
		t.downUntil = later(t.downUntil, now.Add(downFirst))
	case Refused:
		t.fail(now)
		s.forget(t)
	}
}

// ShedWithFreeSlot says that the target turned the request away though it had a free slot, as a target
// does that fails part of its requests. The same target may take the next one.
func (s *Balancer) ShedWithFreeSlot(r Report) bool {
	t := s.targets[r.Target]
	return t != nil && r.Outcome == Shed && r.LoadKnown && float64(r.Running+r.Waiting) < t.slots()
}

// fail leaves a target alone that cannot be reached, longer each time.
func (t *target) fail(now time.Time) {
	t.failures++
	wait := min(downMost, downFirst<<min(t.failures-1, 4))
	t.downUntil = later(t.downUntil, now.Add(wait))
	t.coldUntil = later(t.coldUntil, now.Add(suspectCold))
}
