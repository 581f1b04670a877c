package paproxy

import "time"

// Outcome states whether a request ran, as far as is known at its end.
type Outcome int

// The outcomes, from the most to the least certain; zero means not known yet.
const (
	// Answered means that the target's complete response was relayed.
	Answered Outcome = iota + 1
	// NotRun means that no byte of the request can have reached a target.
	NotRun
	// Unknown means that the request may have run, and its response is lost or incomplete.
	Unknown
)

// String returns the value of the Papaya-Outcome header.
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

// Reason states why a request got no response.
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
	ReasonNoStatus         Reason = "NoStatus"
	ReasonPeerLost         Reason = "PeerLost"
	ReasonPeerProtocol     Reason = "PeerProtocol"
	ReasonIncarnation      Reason = "OtherIncarnation"
	ReasonFenced           Reason = "Fenced"
	ReasonForwardedTwice   Reason = "ForwardedTwice"
	ReasonIdle             Reason = "IdleBody"
	// ReasonRepeated means that an earlier copy with the same key was answered.
	ReasonRepeated Reason = "Repeated"
	// ReasonCopyRuns means that an earlier copy with the same key is running.
	ReasonCopyRuns Reason = "CopyRuns"
	// ReasonKeyConflict means that the key was used for another request.
	ReasonKeyConflict Reason = "KeyConflict"
)

// Fault names the component that caused a request to fail.
type Fault string

// The components at fault.
const (
	// FaultNone means that nothing failed.
	FaultNone Fault = ""
	// FaultCaller means that the caller went away, was too slow or sent invalid data.
	FaultCaller Fault = "Caller"
	// FaultConnection means that a single connection was silent or closed while new ones may work; it
	// is not counted against the target.
	FaultConnection Fault = "Connection"
	// FaultTarget means that the target refused connections, closed one early, or sent an invalid
	// response.
	FaultTarget Fault = "Target"
	// FaultShed means that a target, or a peer, refused the request and did not run it.
	FaultShed Fault = "Shed"
	// FaultPeer means that the entry VM that the request was forwarded to failed.
	FaultPeer Fault = "Peer"
	// FaultDeadline means that the deadline passed.
	FaultDeadline Fault = "Deadline"
	// FaultRefused means that the request was refused by decision; nothing failed.
	FaultRefused Fault = "Refused"
)

// Result is the result of one attempt, as reported to the Placer.
type Result struct {
	Outcome Outcome
	Reason  Reason
	Fault   Fault
	// Status is the response's HTTP status; 0 means none.
	Status int
	// RequestBytes and ResponseBytes count the body bytes passed on.
	RequestBytes, ResponseBytes int64
	// TimeToHeader is the time from sending the request to the response's header. Duration is the time
	// from the request's arrival to the end of its response.
	TimeToHeader, Duration time.Duration
	// NewConnection reports that a connection was opened for the attempt.
	NewConnection bool
	// Draining reports that the target announced its shutdown.
	Draining bool
	// RetryAfter is the time after which the refusing target or peer expects to have a free slot.
	RetryAfter time.Duration

	// concluded reports that a Conclude set the outcome; earlier attempts don't change it.
	concluded bool
}
