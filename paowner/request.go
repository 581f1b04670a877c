package paowner

import (
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// RequestID identifies a request at one entry VM, which never reuses it.
type RequestID uint64

// Origin is the kind of sender of a request to this entry VM.
type Origin int

// The kinds of senders.
const (
	// Caller is a client that sent the request here directly.
	Caller Origin = iota
	// Peer is another entry VM of the region.
	Peer
	// Remote is an entry VM of another region, against a credit.
	Remote
)

var originNames = [...]string{"Caller", "Peer", "Remote"}

// String returns the name of the origin.
func (o Origin) String() string {
	if o < 0 || int(o) >= len(originNames) {
		return "Origin?"
	}
	return originNames[o]
}

// Classes is the number of request classes whose run times are estimated separately.
const Classes = 8

// Request is the part of a request that decisions depend on.
type Request struct {
	ID      RequestID
	Service pabundle.ServiceName
	// Deadline is the time by which the caller needs the answer.
	Deadline time.Time
	// Idempotent requests may run more than once.
	Idempotent bool
	// Attempt counts the attempts that the caller made before this one.
	Attempt int
	// Class groups requests of similar cost, taken modulo Classes; 0 when nothing is known.
	Class uint8
	// Cost is the run time if it is known better than from the class; else zero.
	Cost   time.Duration
	Origin Origin
	// Block is a hash that identifies the caller's client block.
	Block uint32
	// Bytes is the expected size of the request and its answer.
	Bytes int64
	// MaxWait is the longest wait accepted by the owner that forwarded the request; zero means no bound.
	MaxWait time.Duration
}

// Result describes the end of an attempt that a Start or Forward began.
type Result struct {
	// Attempt is the Attempt field of the Start or Forward; the end of any other attempt is ignored.
	Attempt int
	Outcome patarget.Outcome
	// Run is the time from sending the request to the end of the answer.
	Run time.Duration
	// RetryAfter is the retry delay that another owner gave with NotRun; zero if none.
	RetryAfter time.Duration
}
