package paowner

import (
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

// RequestID names a request at one entry VM; it is never used twice there.
type RequestID uint64

// Origin is who sent a request to this entry VM.
type Origin int

// The origins.
const (
	// Caller is a caller itself.
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

// Classes is the number of request classes whose run times are learned apart.
const Classes = 8

// Request is a request as far as decisions depend on it.
type Request struct {
	ID      RequestID
	Service pabundle.ServiceName
	// Deadline is when the answer has to be there.
	Deadline time.Time
	// Idempotent requests may run more than once.
	Idempotent bool
	// Attempt counts the attempts that the caller made before this one.
	Attempt int
	// Class groups requests of similar cost, taken modulo Classes; 0 when nothing is known.
	Class uint8
	// Cost is the predicted run time where the caller knows better than the class; else zero.
	Cost time.Duration
	// Origin is who sent it.
	Origin Origin
	// Block identifies the client block, by any hash.
	Block uint32
	// Bytes is the expected size of the request and its answer.
	Bytes int64
	// MaxWait is the longest wait that the owner who forwarded it accepts; zero means no bound.
	MaxWait time.Duration
}

// Result is the end of an attempt that a Start or Forward began.
type Result struct {
	// Attempt is the attempt of the Start or Forward; the end of another attempt is ignored.
	Attempt int
	// Outcome is how it ended.
	Outcome patarget.Outcome
	// Run is the time from sending to the end of the answer.
	Run time.Duration
	// RetryAfter is the time to come back that another owner gave with NotRun; zero when none.
	RetryAfter time.Duration
}
