package paproxy

import "time"

// Outcome is how a request ended.
type Outcome int

// The outcomes; the zero value is none yet. A higher value claims less.
const (
	// Answered has the target's whole answer.
	Answered Outcome = iota + 1
	// NotRun is certain that no byte of the request reached a target.
	NotRun
	// Unknown may have run, and its answer is lost or in part.
	Unknown
)

// String returns the outcome as the Papaya-Outcome header writes it.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "Answered"
	case NotRun:
		return "NotRun"
	default:
		return "Unknown"
	}
}

// Reason says why a request has no answer.
type Reason string

// The reasons of this package; a Placer may add its own.
const (
	ReasonBadRequest       Reason = "BadRequest"
	ReasonNoService        Reason = "NoService"
	ReasonMethod           Reason = "MethodNotAllowed"
	ReasonTooLarge         Reason = "TooLarge"
	ReasonFraming          Reason = "AmbiguousFraming"
	ReasonDeadline         Reason = "DeadlinePassed"
	ReasonCallerGone       Reason = "CallerGone"
	ReasonSlowCaller       Reason = "SlowCaller"
	ReasonNoConnection     Reason = "NoConnection"
	ReasonConnectionBudget Reason = "ConnectionBudget"
	ReasonShed             Reason = "TargetShed"
	ReasonTargetLost       Reason = "TargetLost"
	ReasonWrongIdentity    Reason = "WrongIdentity"
	ReasonUnframedAnswer   Reason = "UnframedAnswer"
	ReasonTruncated        Reason = "Truncated"
	ReasonPeerLost         Reason = "PeerLost"
	ReasonPeerProtocol     Reason = "PeerProtocol"
	ReasonIncarnation      Reason = "OtherIncarnation"
	ReasonFenced           Reason = "Fenced"
	ReasonForwardedTwice   Reason = "ForwardedTwice"
	ReasonIdle             Reason = "IdleBody"
	// ReasonRepeated says that an earlier copy under the same key was answered.
	ReasonRepeated Reason = "Repeated"
	// ReasonCopyRuns says that an earlier copy under the same key is running.
	ReasonCopyRuns Reason = "CopyRuns"
	// ReasonKeyConflict says that the key was used for another request.
	ReasonKeyConflict Reason = "KeyConflict"
)

// Fault names the part that kept a request from its answer.
type Fault string

// The parts at fault.
const (
	// FaultNone is no fault.
	FaultNone Fault = ""
	// FaultCaller went away, was too slow or sent nonsense.
	FaultCaller Fault = "Caller"
	// FaultConnection is a single connection that went silent or died while new ones may work; it is
	// not held against the target.
	FaultConnection Fault = "Connection"
	// FaultTarget is the target: it can't be dialled, closed early, or answered nonsense.
	FaultTarget Fault = "Target"
	// FaultShed is a target that said in good order that it did not run the request.
	FaultShed Fault = "Shed"
	// FaultPeer is the entry VM that the request was forwarded to.
	FaultPeer Fault = "Peer"
	// FaultDeadline is a deadline that passed first.
	FaultDeadline Fault = "Deadline"
	// FaultRefused is a decision and no fault.
	FaultRefused Fault = "Refused"
)

// Result is the end of one attempt, as the Placer hears it.
type Result struct {
	Outcome Outcome
	Reason  Reason
	Fault   Fault
	// Status is the answer's HTTP status; 0 is none.
	Status int
	// RequestBytes and ResponseBytes count the bodies' bytes that were passed on.
	RequestBytes, ResponseBytes int64
	// TimeToHeader is the time from the send to the answer's head; Duration ends with the answer.
	TimeToHeader, Duration time.Duration
	// NewConnection says that a connection was opened for the attempt.
	NewConnection bool
	// Draining says that the target announced that it leaves.
	Draining bool
	// RetryAfter is when a refusing target or peer has room again.
	RetryAfter time.Duration

	// concluded says that a Conclude named the outcome, whatever the attempts before were.
	concluded bool
}
