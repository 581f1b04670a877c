package paplatform

import (
	"strings"
	"time"

	"papayahead/pabundle"
)

// Operation names a kind of call to the platform.
type Operation string

// The operations that are counted and can be made to fail.
const (
	OperationGet            Operation = "Get"
	OperationCompareAndSwap Operation = "CompareAndSwap"
	OperationDelete         Operation = "Delete"
	OperationWatch          Operation = "Watch"
	OperationGrantLease     Operation = "GrantLease"
	OperationRenewLease     Operation = "RenewLease"
	OperationRevokeLease    Operation = "RevokeLease"
	OperationList           Operation = "List"
)

// writes reports whether a lost reply leaves the effect of the operation in doubt.
func (o Operation) writes() bool {
	return o != OperationGet && o != OperationWatch && o != OperationList
}

// Caller names who makes a call, for counts and injected faults.
type Caller string

// Effect is what an injected fault does to a call.
type Effect string

// The effects that can be injected.
const (
	// Outage refuses the call without effect, and ends waiting watches.
	Outage Effect = "Outage"
	// Slow delays the call.
	Slow Effect = "Slow"
	// LostBefore loses the call on its way in: no effect, and no reply.
	LostBefore Effect = "LostBefore"
	// LostAfter loses the reply: the call takes effect.
	LostAfter Effect = "LostAfter"
	// LostLate loses the reply, and the call takes effect only after the delay.
	LostLate Effect = "LostLate"
)

// Injection makes calls that match it fail; an empty field matches all.
type Injection struct {
	Caller    Caller    `json:",omitempty"`
	Operation Operation `json:",omitempty"`
	// Prefix matches keys that begin with it.
	Prefix Key `json:",omitempty"`
	Effect Effect
	// Delay is the time of Slow and LostLate.
	Delay pabundle.Duration
	// Times is how many calls it hits before it is used up; 0 is no limit.
	Times int `json:",omitempty"`
}

func (i Injection) matches(c Caller, o Operation, key Key) bool {
	if i.Caller != "" && i.Caller != c {
		return false
	}
	if i.Operation != "" && i.Operation != o {
		return false
	}
	return strings.HasPrefix(string(key), string(i.Prefix))
}

// DelayAll returns an injection of Slow for all calls.
func DelayAll(d time.Duration) Injection {
	return Injection{Effect: Slow, Delay: pabundle.Duration{Duration: d}}
}

// Counts is what a store counted since it started.
type Counts struct {
	// Calls counts the calls by kind; a waiting watch is one.
	Calls map[Operation]uint64
	// ByCaller counts all calls of each caller.
	ByCaller map[Caller]uint64
	// Bytes counts the bytes of data written and read.
	Bytes uint64
	// Waiting is how many watches wait now, MostWaiting the most there were.
	Waiting, MostWaiting int
}

// Total returns the sum of all calls.
func (c Counts) Total() uint64 {
	var sum uint64
	for _, n := range c.Calls {
		sum += n
	}
	return sum
}
