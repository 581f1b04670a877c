package paproxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// The bounds of a Register where its fields are zero.
const (
	// DefaultRetention is how long an ended call is remembered. An origin that lost a call asks within a
	// second of noticing; 30 s leave room for one that was paused, and hold 30,000 calls at 1,000 a second.
	DefaultRetention = 30 * time.Second
	// DefaultMaxCalls bounds the register to about 20 MB; calls beyond it are refused, not forgotten.
	DefaultMaxCalls = 1 << 17
)

// CallRegistry remembers which forwarded calls were started at this entry VM, so that the origin of a
// lost call can learn whether it ran, and keep it from running.
//
// The failure it guards against is a false "not run": a call whose reply was lost, or that waits in a
// paused process, starts after its origin told the caller that it did not. It shows as an execution
// at a target under the identity of a refused request. A fenced call is never started, because Start
// and Fence decide under one lock.
type CallRegistry struct {
	// Incarnation is this process's; a call to an earlier one is not known here.
	Incarnation uint64
	Clock       clockwork.Clock
	Retention   time.Duration
	MaxCalls    int

	mutex sync.Mutex
	calls map[string]callState
	ended []endedCall
}

// callState is what became of a call so far.
type callState int

const (
	callArrived callState = iota + 1
	callStarted
	callFenced
)

// endedCall is a call that can be forgotten some time after its end.
type endedCall struct {
	call string
	at   time.Time
}

// Accept records a new call; false says that it is fenced, a duplicate, or one too many.
func (r *CallRegistry) Accept(call string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire()
	if _, known := r.calls[call]; known || len(r.calls) >= orDefault(r.MaxCalls, DefaultMaxCalls) {
		return false
	}
	r.set(call, callArrived)
	return true
}

// Start says whether the call may start now, and records that it does.
func (r *CallRegistry) Start(call string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch r.calls[call] {
	case callArrived, callStarted:
		r.set(call, callStarted)
		return true
	default:
		return false
	}
}

// End records that nothing more happens to an arrived call.
func (r *CallRegistry) End(call string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = append(r.ended, endedCall{call, r.Clock.Now()})
}

// FenceState is what a Register can say of a call.
type FenceState int

// What a Register can say of a call.
const (
	// FenceUnknown knows nothing of the call: it was sent to another incarnation, or too long ago.
	FenceUnknown FenceState = iota
	// FenceNever is certain that the call was not started and never will be.
	FenceNever
	// FenceStarted says that the call was started.
	FenceStarted
)

// String returns the state's name.
func (s FenceState) String() string {
	switch s {
	case FenceNever:
		return "Never"
	case FenceStarted:
		return "Started"
	default:
		return "Unknown"
	}
}

// Fence says what became of a call that was sent to the incarnation some time ago, and keeps it from
// starting if it has not.
func (r *CallRegistry) Fence(call string, incarnation uint64, age time.Duration) FenceState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire()
	// Half of the memory leaves the other half for the question's own way here.
	if incarnation != r.Incarnation || incarnation == 0 || age < 0 || age > orDefault(r.Retention, DefaultRetention)/2 {
		return FenceUnknown
	}
	switch r.calls[call] {
	case callStarted:
		return FenceStarted
	case 0:
		if len(r.calls) >= orDefault(r.MaxCalls, DefaultMaxCalls) {
			return FenceUnknown
		}
		r.ended = append(r.ended, endedCall{call, r.Clock.Now()})
	}
	r.set(call, callFenced)
	return FenceNever
}

// set records a state; the caller holds the lock.
func (r *CallRegistry) set(call string, s callState) {
	if r.calls == nil {
		r.calls = map[string]callState{}
	}
	r.calls[call] = s
}

// expire drops the calls that ended longer ago than the memory; the caller holds the lock.
func (r *CallRegistry) expire() {
	before := r.Clock.Now().Add(-orDefault(r.Retention, DefaultRetention))
	n := 0
	for n < len(r.ended) && r.ended[n].at.Before(before) {
		delete(r.calls, r.ended[n].call)
		n++
	}
	r.ended = r.ended[n:]
}
