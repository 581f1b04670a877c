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
	// minBackoff and downMost bound the time for which a target that cannot be reached is left alone.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// suspectColdFor is how long a target counts as cold that could not be connected to: it may be starting
	// anew under its ID, and says so within a heartbeat. A single connection that breaks says less: targets
	// spoil some answers while all their other requests go on.
	suspectColdFor = 3 * time.Second
	// movedBackoff is how long a target is left alone whose address another one has; its entry is about
	// to go.
	movedBackoff = 10 * time.Second
)

// Start counts a request that is sent to the chosen target.
func (b *Balancer) Start(c Choice, q Request, now time.Time) {
	t := b.targets[c.Target]
	if t == nil {
		return
	}
	t.inFlight++
	t.used, b.used[t.member.Service] = true, true
	if t.unresponsiveAt.IsZero() {
		t.unresponsiveAt = now.Add(max(minUnresponsive, c.wait+unresponsiveRuns*b.expectedRun(q, false)))
	} else if t.unresponsive(now) {
		t.nextTryAt = now.Add(unresponsiveRetryInterval)
	}
	t.updateFullSince(now)
	b.recordSent(c, q, now)
	if t.isCold(now) {
		t.coldBucket.take(now, b.coldRate(t, now))
	}
	b.recordUse(t, q.Object, now)
}

// updateFullSince notes since when the target is full.
func (t *target) updateFullSince(now time.Time) {
	switch {
	case t.load(now) < t.slots() && (t.inFlight == 0 || now.Sub(t.otherLoadAt) <= otherLoadTTL):
		t.fullSince = time.Time{}
	case t.fullSince.IsZero():
		t.fullSince = now
	}
}

const (
	// unresponsiveRuns is how many cold runs a target may leave without any answer before it counts as silent,
	// and silentLeast the least time that is.
	unresponsiveRuns = 2
	minUnresponsive  = time.Second
	// unresponsiveRetryInterval is the time between two requests that try a silent target.
	unresponsiveRetryInterval = time.Second
)

// unresponsive says that the target has answered nothing for too long while requests waited.
//
// Load: a target loses power, or the way to it is cut, and nothing refuses a connection. Harm prevented:
// its requests end with their callers' leaving, which says nothing of the target, and so all that belongs
// there is sent there until its entry is removed, 4.5 s later or more.
func (t *target) unresponsive(now time.Time) bool {
	return !t.unresponsiveAt.IsZero() && now.After(t.unresponsiveAt)
}

// Finish takes the end of a request at a target.
func (b *Balancer) Finish(r Report, now time.Time) {
	t := b.targets[r.Target]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if r.LoadKnown {
		t.otherLoad, t.otherLoadAt = max(0, float64(r.Running+r.Waiting-t.inFlight-1)), now
	}
	if r.Outcome <= Moved {
		// The target spoke; the next request that waits begins a new silence.
		t.unresponsiveAt = time.Time{}
		if t.inFlight > 0 {
			t.unresponsiveAt = now.Add(max(minUnresponsive, unresponsiveRuns*r.Duration))
		}
	}
	t.updateFullSince(now)
	switch r.Outcome {
	case Answered:
		b.observeExcess(t, r, now)
		b.runTimesOf(r.Route).add(r.Warm, r.Duration)
		t.failures, t.errorRate = 0, t.errorRate*(1-errorWeight)
		b.recordUse(t, r.Object, now)
	case Failed:
		t.errorRate = t.errorRate*(1-errorWeight) + errorWeight
	case Shed:
		if b.ShedWithFreeSlot(r) {
			t.errorRate = t.errorRate*(1-errorWeight) + errorWeight
			return
		}
		t.otherLoad, t.otherLoadAt = max(t.otherLoad, 2*t.slots()), now
	case Moved:
		t.backoffUntil = now.Add(movedBackoff)
	case Lost:
		t.errorRate = t.errorRate*(1-errorWeight) + errorWeight
		t.failures++
		t.backoffUntil = later(t.backoffUntil, now.Add(minBackoff))
	case Refused:
		t.backOff(now)
		b.clearWarm(t)
	}
}

// ShedWithFreeSlot says that the target turned the request away though it had a free slot, as a target
// does that fails part of its requests. The same target may take the next one.
func (b *Balancer) ShedWithFreeSlot(r Report) bool {
	t := b.targets[r.Target]
	return t != nil && r.Outcome == Shed && r.LoadKnown && float64(r.Running+r.Waiting) < t.slots()
}

// backOff leaves a target alone that cannot be reached, longer each time.
func (t *target) backOff(now time.Time) {
	t.failures++
	wait := min(maxBackoff, minBackoff<<min(t.failures-1, 4))
	t.backoffUntil = later(t.backoffUntil, now.Add(wait))
	t.suspectColdUntil = later(t.suspectColdUntil, now.Add(suspectColdFor))
}
