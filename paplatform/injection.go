package paplatform

import (
	"strings"
	"time"

	"papayahead/pabundle"
)

// Operation names a kind of call to the platform.
type Operation string

// The operations that are counted and that an Injection can match.
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

// isWrite reports whether the operation has an effect, which a lost reply leaves unknown.
func (o Operation) isWrite() bool {
	return o != OperationGet && o != OperationWatch && o != OperationList
}

// Caller identifies the client of a call, for counts and fault injection.
type Caller string

// Effect is what an injected fault does to a call.
type Effect string

// The effects that can be injected.
const (
	// Outage fails the call without effect, and ends waiting watches.
	Outage Effect = "Outage"
	// Slow delays the call.
	Slow Effect = "Slow"
	// LostBefore loses the request: no effect and no reply.
	LostBefore Effect = "LostBefore"
	// LostAfter loses the reply after the call has taken effect.
	LostAfter Effect = "LostAfter"
	// LostLate loses the reply, and the call takes effect after Delay.
	LostLate Effect = "LostLate"
)

// Injection applies an effect to the calls that match it. An empty Caller, Operation or Prefix matches all.
type Injection struct {
	Caller    Caller    `json:",omitempty"`
	Operation Operation `json:",omitempty"`
	// Prefix is the key prefix to match.
	Prefix Key `json:",omitempty"`
	Effect Effect
	// Delay applies to Slow and LostLate.
	Delay pabundle.Duration
	// Times is the number of calls to apply the effect to; 0 is no limit.
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

// DelayAll returns an injection that delays all calls.
func DelayAll(d time.Duration) Injection {
	return Injection{Effect: Slow, Delay: pabundle.Duration{Duration: d}}
}

// Counts are the counters of a store since its start.
type Counts struct {
	// Calls counts the calls by operation. A watch counts once, however long it waits.
	Calls map[Operation]uint64
	// ByCaller counts the calls by caller.
	ByCaller map[Caller]uint64
	// Bytes counts the value bytes that Get returned and CompareAndSwap wrote.
	Bytes uint64
	// Waiting is the current number of waiting watches, MostWaiting its maximum.
	Waiting, MostWaiting int
}

// Total returns the number of all calls.
func (c Counts) Total() uint64 {
	var sum uint64
	for _, n := range c.Calls {
		sum += n
	}
	return sum
}
