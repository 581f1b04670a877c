package paowner

import (
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// Decision is something that the caller of a command has to carry out.
type Decision interface{ decision() }

// Start sends a request to an own target; its end is reported with Finish.
type Start struct {
	Request RequestID
	Target  pabundle.TargetName
	// Attempt numbers the attempts at this owner, from 1.
	Attempt int
}

// Forward sends a request to another owner; its end is reported with Finish.
type Forward struct {
	Request RequestID
	Entry   pabundle.EntryName
	Region  pabundle.RegionName
	// Attempt numbers the attempts at this owner, from 1.
	Attempt int
	// MaxWait goes with the request: the wait here, which the other owner has to undercut.
	MaxWait time.Duration
}

// Refuse is the final answer to a request that did not run.
type Refuse struct {
	Request RequestID
	Reason  Reason
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Fail is the final answer to a request that may have run.
type Fail struct {
	Request RequestID
	Outcome patarget.Outcome
}

// Probe asks a target for a sign of life over a new connection; its end is reported with Probed.
type Probe struct{ Target pabundle.TargetName }

// CloseConnections closes the connections to a target that carry no request.
type CloseConnections struct{ Target pabundle.TargetName }

// PhaseChanged says that a target went into another phase, for the time line; nothing has to be done.
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

// The reasons.
const (
	// QueueFull means that the queue holds all that it may.
	QueueFull Reason = iota
	// QueueStands means that the queue was long for too long and is being shortened.
	QueueStands
	// DeadlineTooNear means that no place is expected to answer before the deadline.
	DeadlineTooNear
	// WaitTooLong means that the owner who forwarded the request has a shorter wait.
	WaitTooLong
	// NoTarget means that no target of the service takes work.
	NoTarget
	// NoService means that the bundle has no such service.
	NoService
	// OverRoom means that the entry VM itself has no room for another request.
	OverRoom
	// Stopping means that the entry VM is about to stop.
	Stopping
	// Attempts means that the attempt did not run and no further one is allowed.
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
