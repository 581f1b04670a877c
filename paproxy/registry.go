package paproxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of CallRegistry.
const (
	// DefaultRetention is how long an ended call is remembered. An origin sends its fence request
	// within a second of noticing the loss; 30 s allow for an origin that was paused, and keep 30,000
	// calls at 1,000 per second.
	DefaultRetention = 30 * time.Second
	// DefaultMaxCalls limits the registry to about 20 MB. Further calls are refused; none are
	// forgotten early.
	DefaultMaxCalls = 1 << 17
)

// CallRegistry records which forwarded calls were started at this entry VM, so that the origin of a
// lost call can learn whether it ran, and keep it from starting.
//
// This guards against a false NotRun: a call whose reply was lost, or that waits in a paused
// process, could start after its origin reported NotRun to the caller. The target would then run a
// request that the caller was told did not run. A fenced call never starts, because Start and Fence
// decide under the same lock.
type CallRegistry struct {
	// Incarnation identifies this process; calls to an earlier incarnation are unknown here.
	Incarnation uint64
	Clock       clockwork.Clock
	Retention   time.Duration
	MaxCalls    int

	mutex sync.Mutex
	calls map[string]callState
	ended []endedCall
}

// callState is the progress of a call.
type callState int

const (
	callAccepted callState = iota + 1
	callStarted
	callFenced
)

// endedCall is an ended call, which is forgotten after the retention time.
type endedCall struct {
	call string
	at   time.Time
}

// Accept records a new call. It returns false if the call is fenced or a duplicate, or if the
// registry is full.
func (r *CallRegistry) Accept(call string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire()
	if _, known := r.calls[call]; known || len(r.calls) >= orDefault(r.MaxCalls, DefaultMaxCalls) {
		return false
	}
	r.set(call, callAccepted)
	return true
}

// Start reports whether the call may start now, and if so records that it was started.
func (r *CallRegistry) Start(call string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch r.calls[call] {
	case callAccepted, callStarted:
		r.set(call, callStarted)
		return true
	default:
		return false
	}
}

// End records the end of an accepted call.
func (r *CallRegistry) End(call string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = append(r.ended, endedCall{call, r.Clock.Now()})
}

// FenceState states whether a call was started.
type FenceState int

// The states of a call.
const (
	// FenceUnknown means that nothing is known: the call was sent to another incarnation or too long
	// ago, or the registry is full.
	FenceUnknown FenceState = iota
	// FenceNever means that the call was not started and never will be.
	FenceNever
	// FenceStarted means that the call was started.
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

// Fence reports whether a call that was sent to the incarnation the given time ago was started. If
// it returns FenceNever, it keeps the call from starting.
func (r *CallRegistry) Fence(call string, incarnation uint64, age time.Duration) FenceState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire()
	// The other half of the retention time covers the fence request's own transit.
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

// expire forgets calls that ended longer ago than the retention time; the caller holds the lock.
func (r *CallRegistry) expire() {
	before := r.Clock.Now().Add(-orDefault(r.Retention, DefaultRetention))
	n := 0
	for n < len(r.ended) && r.ended[n].at.Before(before) {
		delete(r.calls, r.ended[n].call)
		n++
	}
	r.ended = r.ended[n:]
}
