package paquarantine

import "time"

// Lifetime is one run of a target's process.
type Lifetime struct {
	Target string
	// Born is when it started, in Unix milliseconds.
	Born int64
}

// Loss says that a target ended while it had a request.
type Loss struct {
	Request  Fingerprint
	Resource Resource
	Target   Lifetime
	// Sent is when the request was sent to the target, Ended when its connection ended.
	Sent, Ended time.Time
}

// Answered says that a target ran a request to its end at a time, which proves that the request does not end targets.
type Answered struct {
	Request Fingerprint
	At      time.Time
}

// Refuted says that a target which was taken for ended has answered since.
type Refuted struct{ Target Lifetime }

// Finding is a Loss, an Answered or a Refuted.
type Finding interface{ isFinding() }

func (Loss) isFinding()     {}
func (Answered) isFinding() {}
func (Refuted) isFinding()  {}

// Change says that a request began to be held off, or that it is held off no longer.
type Change struct {
	Resource Resource
	Held     bool
	// Targets are the targets that ended under it, Until when it is held off at the longest; both for Held only.
	Targets []string
	Until   time.Time
	// Cause is why it is held off no longer.
	Cause Cause
}

// Cause is why a request is held off no longer.
type Cause string

// The causes.
const (
	// CauseAnswered means that a target ran the request to its end, or that an operator released it.
	CauseAnswered Cause = "Answered"
	// CauseExplained means that another request explains the ends of the targets, or that they have not ended.
	CauseExplained Cause = "Explained"
	// CauseExpired means that its time is over.
	CauseExpired Cause = "Expired"
)
