package paledger

import (
	"time"

	"papayahead/pabundle"
)

const (
	// MaxClockSkew is the largest difference between two clocks, including a caller's, that the ledger
	// tolerates. With a larger one, a repeat whose FirstSent is too late could pass for a first copy.
	// The value is that of pashift.MaxClockSkew.
	MaxClockSkew = 5 * time.Second
	// skewMargin is how long after the start of complete records a copy must have been first sent.
	skewMargin = 2 * MaxClockSkew
	// settlementMargin is how long after its deadline a granted copy still counts as running. Its
	// claimant starts nothing after the deadline; the margin is for the settlement to arrive.
	settlementMargin = MaxClockSkew
	// FreezeThreshold is the gap between two calls after which a keeper assumes that its process was
	// frozen; it then refuses claims until SetMembers sets the members again. The value is that of paview.
	FreezeThreshold = 3 * time.Second
	// maxAssignments bounds the past assignments of keys to keepers that are kept. Beyond it, the
	// oldest two are merged into one that ends with the later and whose keepers are unknown.
	maxAssignments = 32
	// minRetryAfter is the least delay before the retry of a claim that the keeper cannot answer yet.
	minRetryAfter = time.Second
	// maxTextLength is the longest key, name or request identity in a message, in bytes.
	maxTextLength = 1024
)

// ID is an idempotency key within a service.
type ID struct {
	Service pabundle.ServiceName
	Key     string
}

// Claimant identifies the process of an entry VM that wants to run a request.
type Claimant struct {
	Name        pabundle.EntryName
	Incarnation uint64
}

// Claim asks for permission to run one copy of a request.
type Claim struct {
	ID ID
	// Request identifies this copy; a repeat by the caller has another identity.
	Request  string
	Claimant Claimant
	// BodyDigest is a digest of method, path and body. A different request under the same key is refused.
	BodyDigest uint64
	// FirstSent is when the caller sent the first copy, zero if unknown.
	FirstSent time.Time
	// Repeat means that the caller marked this copy as a repeat.
	Repeat bool
	// Deadline is the time from which on the copy must not start.
	Deadline time.Time
	// Memory is how long the outcome is remembered: the service's KeyMemory.
	Memory time.Duration
}

// Verdict is the answer to a claim.
type Verdict int

// The verdicts. The request may be sent to a target only after Granted.
const (
	// NotRun means that neither this copy nor, judging by FirstSent, an earlier one has run, and that
	// this copy never will.
	NotRun Verdict = iota
	// Granted means that this copy, and no other, may run.
	Granted
	// Join means that another copy is running; its outcome will be the answer.
	Join
	// Repeated means that a copy has run; the reply describes its outcome.
	Repeated
	// Conflict means that the key was used for a different request. This copy does not run.
	Conflict
	// Unknown means that an earlier copy may have run. This copy does not run.
	Unknown
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"NotRun", "Granted", "Join", "Repeated", "Conflict", "Unknown"}[v]
}

// Outcome is how a granted copy ended.
type Outcome int

// The outcomes of a copy.
const (
	// EndedUnknown means that the copy may have run.
	EndedUnknown Outcome = iota
	// EndedAnswered means that the target's whole answer arrived.
	EndedAnswered
	// EndedNotRun means that no byte of the copy reached a target.
	EndedNotRun
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Unknown", "Answered", "NotRun"}[o]
}

// Reason is why a claim was not granted.
type Reason int

// The reasons.
const (
	// NoReason accompanies verdicts that need no reason.
	NoReason Reason = iota
	// NotKeeper means that this entry VM is not the keeper of the key.
	NotKeeper
	// Unsettled means that the members are not agreed on yet, or that the keeper has shut down.
	Unsettled
	// Full means that the ledger has reached its capacity.
	Full
	// Late means that the deadline has passed.
	Late
	// TooOld means that the first copy may be older than the keeper's complete records.
	TooOld
	// Unstamped means that FirstSent is missing where it is needed, or is in the future.
	Unstamped
	// GivenUp means that this same copy has already been settled as not run.
	GivenUp
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"NoReason", "NotKeeper", "Unsettled", "Full", "Late", "TooOld", "Unstamped", "GivenUp"}[r]
}

// Reply is a keeper's answer.
type Reply struct {
	Verdict Verdict
	Reason  Reason
	// Outcome, Status and AnswerDigest describe a copy that ended.
	Outcome      Outcome
	Status       int
	AnswerDigest uint64
	// Live is the identity of the running copy, with Join.
	Live string
	// RetryAfter is the delay before a retry, without jitter; 0 means that a retry is of no use.
	RetryAfter time.Duration
}

// Settlement reports to the keeper how a granted copy ended.
type Settlement struct {
	ID      ID
	Request string
	Outcome Outcome
	Status  int
	// AnswerDigest is a digest of the target's answer.
	AnswerDigest uint64
}

// State is the state of a key in a ledger.
type State int

// The states of a key.
const (
	// Live means that a copy was granted and is not settled yet.
	Live State = iota
	// Done means that a copy was answered.
	Done
	// Lost means that a copy may have run.
	Lost
	// Free means that the granted copy was settled as not run.
	Free
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"Live", "Done", "Lost", "Free"}[s]
}

// Record is what a ledger remembers about a key.
type Record struct {
	ID           ID
	Request      string
	Claimant     Claimant
	BodyDigest   uint64
	State        State
	Status       int
	AnswerDigest uint64
	// Deadline is that of the granted copy, ChangedAt the time of the record's last change.
	Deadline, ChangedAt time.Time
	// Memory is how long the record is kept after ChangedAt, not counting skewMargin.
	Memory time.Duration
}
