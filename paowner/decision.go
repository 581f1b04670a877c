package paowner

import (
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// Decision is an action that the caller of a command has to carry out.
type Decision interface{ decision() }

// Start sends a request to a target of this owner; the end of the attempt is reported with Finish.
type Start struct {
	Request RequestID
	Target  pabundle.TargetName
	// Attempt counts the attempts by this owner, from 1.
	Attempt int
}

// Forward sends a request to another owner; the end of the attempt is reported with Finish.
type Forward struct {
	Request RequestID
	Entry   pabundle.EntryName
	Region  pabundle.RegionName
	// Attempt counts the attempts by this owner, from 1.
	Attempt int
	// MaxWait is the predicted wait here, sent along with the request: the other owner refuses the
	// request if its own wait is longer. Zero means no bound.
	MaxWait time.Duration
}

// Refuse ends a request that was not executed. Only an idempotent request may have run in an earlier
// attempt.
type Refuse struct {
	Request RequestID
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Fail ends a request that may have been executed.
type Fail struct {
	Request RequestID
	Outcome patarget.Outcome
}

// Probe requests a health check of a target over a new connection; its result is reported with
// Probed.
type Probe struct{ Target pabundle.TargetName }

// CloseConnections closes the idle connections to a target.
type CloseConnections struct{ Target pabundle.TargetName }

// PhaseChanged reports that a target entered another phase. It is for the event log only and needs
// no action.
type PhaseChanged struct {
	Target pabundle.TargetName
	Phase  patarget.Phase
}

func (PhaseChanged) decision()     {}
func (Start) decision()            {}
func (Forward) decision()          {}
func (Refuse) decision()           {}
func (Fail) decision()             {}
func (Probe) decision()            {}
func (CloseConnections) decision() {}

// Reason says why a request was refused.
type Reason int

// The reasons for a refusal.
const (
	// QueueFull means that the queue has reached its limit.
	QueueFull Reason = iota
	// QueueStands means that a standing queue, long for more than its interval, is being shortened.
	QueueStands
	// DeadlineTooNear means that no owner is predicted to answer before the deadline.
	DeadlineTooNear
	// WaitTooLong means that the wait here is longer than at the owner that forwarded the request.
	WaitTooLong
	// NoTarget means that no target of the service accepts requests.
	NoTarget
	// NoService means that the bundle has no such service.
	NoService
	// OverRoom means that the entry VM itself has reached its limit of requests or bytes.
	OverRoom
	// Stopping means that the entry VM is about to stop.
	Stopping
	// Attempts means that the last attempt was not executed and no further attempt is allowed.
	Attempts
)

var reasonNames = [...]string{
	"QueueFull", "QueueStands", "DeadlineTooNear", "WaitTooLong", "NoTarget", "NoService", "OverRoom", "Stopping", "Attempts",
}

// String returns the name of the reason.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "Reason?"
	}
	return reasonNames[r]
}
