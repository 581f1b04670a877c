package paledger

import (
	"time"

	"papayahead/pabundle"
)

const (
	// MaxClockSkew is the largest difference between two clocks, a caller's among them, that memory
	// allows for. Harm: a repeat whose stamp is too young passes for a first copy. Value: as for
	// the caps of shifts.
	MaxClockSkew = 5 * time.Second
	// skewMargin is how much younger than the memory a first copy has to be.
	skewMargin = 2 * MaxClockSkew
	// liveMargin is how long after its deadline a granted copy is still taken for live. Its
	// claimant starts nothing after the deadline; the margin is for the settling message.
	liveMargin = MaxClockSkew
	// FreezeThreshold is the pause between two calls after which a keeper trusts nothing until its members
	// have confirmed it anew. It is that of paview.
	FreezeThreshold = 3 * time.Second
	// maxEras bounds the changes of keepers that are kept; more are summed up to the latest.
	maxEras = 32
	// minComeBack is the time to come back to a keeper that cannot answer yet.
	minComeBack = time.Second
	// maxText bounds keys, names and identities in bytes.
	maxText = 1024
)

// ID is a caller's key within a service.
type ID struct {
	Service pabundle.ServiceName
	Key     string
}

// Claimant is the start of an entry VM that would run a request.
type Claimant struct {
	Name        pabundle.EntryName
	Incarnation uint64
}

// Claim asks for leave to run one copy of a keyed request.
type Claim struct {
	ID ID
	// Request is the identity of this copy; a repeat by the caller has another.
	Request  string
	Claimant Claimant
	// BodyDigest is a digest of method, path and body: another request under the same key is refused.
	BodyDigest uint64
	// FirstSent is when the caller sent its first copy, zero if it did not say.
	FirstSent time.Time
	// Repeat says that the caller marked this copy as a repeat.
	Repeat bool
	// Deadline is when the copy may start no more.
	Deadline time.Time
	// Memory is the service's KeyMemory.
	Memory time.Duration
}

// Verdict is the answer to a claim.
type Verdict int

// The verdicts. Only after Granted may a byte of the request be sent to a target.
const (
	// NotRun means that neither this copy nor an earlier one has run, as far as its stamp shows,
	// and that this copy never will.
	NotRun Verdict = iota
	// Granted means that this copy, and no other, may run.
	Granted
	// Join means that another copy runs; its outcome will be the answer.
	Join
	// Repeated means that a copy has run; the reply says how it ended.
	Repeated
	// Conflict means that the key was used for another request. This copy does not run.
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

// Reason says why a claim was not granted.
type Reason int

// The reasons.
const (
	// NoReason goes with verdicts that explain themselves.
	NoReason Reason = iota
	// NotKeeper means that another entry VM keeps the key.
	NotKeeper
	// Unsettled means that the keeper's members have not confirmed it yet.
	Unsettled
	// Full means that the ledger remembers all it can.
	Full
	// Late means that the deadline has passed.
	Late
	// TooOld means that the first copy may predate the keeper's memory.
	TooOld
	// Unstamped means that the claim does not say when the first copy was sent, or says what cannot be.
	Unstamped
	// GivenUp means that this very copy was settled as not run before.
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
	// Outcome, Status and Answer are what is remembered of a copy that ended.
	Outcome      Outcome
	Status       int
	AnswerDigest uint64
	// Live is the identity of the copy that runs, with Join.
	Live string
	// RetryAfter is when to ask again, without jitter; 0 means that asking again is of no use.
	RetryAfter time.Duration
}

// Settlement tells a keeper how a granted copy ended.
type Settlement struct {
	ID      ID
	Request string
	Outcome Outcome
	Status  int
	// AnswerDigest is a digest of the answer.
	AnswerDigest uint64
}

// State is what a ledger holds of a key.
type State int

// The states of a key.
const (
	// Live means that a copy was granted and has not been settled.
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

// Record is a ledger's memory of a key.
type Record struct {
	ID       ID
	Request  string
	Claimant Claimant
	Body     uint64
	State    State
	Status   int
	Answer   uint64
	// Deadline is that of the granted copy, ChangedAt when the record last changed.
	Deadline, ChangedAt time.Time
	// Memory is how long the record is kept after Touched.
	Memory time.Duration
}
