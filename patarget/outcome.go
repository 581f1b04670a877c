package patarget

import "time"

// Outcome is how an attempt at a target ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered is a whole answer that is no failure of the target.
	Answered Outcome = iota
	// Failed is a whole answer that says the target failed; the request may have run.
	Failed
	// Shed is a whole answer that says the target refused for lack of room; the request did not run.
	Shed
	// NotRun means that no byte of the request can have reached the target.
	NotRun
	// Unknown means that the answer did not come whole; the request may have run, or still run.
	Unknown
	// Silent is Unknown on a connection that gave no sign of life at all.
	Silent
	// Abandoned means that the caller went away first; it says nothing about the target.
	Abandoned
)

var outcomeNames = [...]string{"Answered", "Failed", "Shed", "NotRun", "Unknown", "Silent", "Abandoned"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "Outcome?"
	}
	return outcomeNames[o]
}

// DidNotRun says whether the outcome proves that the request did not run.
func (o Outcome) DidNotRun() bool { return o == Shed || o == NotRun }

// mayStillRun says whether the target can still be busy with the request.
func (o Outcome) mayStillRun() bool { return o == Unknown || o == Silent || o == Abandoned }

// Load is a target's own report of its load.
type Load struct {
	// Measured is when the target measured it; an older or equal reading is never acted on.
	Measured time.Time
	// Running is the number of requests that the target says it runs.
	Running int
	// Leaving is the target's own word that it is about to stop.
	Leaving bool
}
