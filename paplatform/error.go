package paplatform

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Fault is the kind of failure of a call to the platform.
type Fault string

// The complete set of faults.
const (
	// None is the fault of a successful call.
	None Fault = ""
	// Conflict: the key is at another revision. The call had no effect.
	Conflict Fault = "Conflict"
	// NotFound: the name is unknown.
	NotFound Fault = "NotFound"
	// Unavailable: the call had no effect and may be retried.
	Unavailable Fault = "Unavailable"
	// TooLarge: the data exceeds MaxValueSize. The call had no effect.
	TooLarge Fault = "TooLarge"
	// LeaseLapsed: the lease has ended. The call had no effect.
	LeaseLapsed Fault = "LeaseLapsed"
	// HistoryLost: a watch asked for changes that the store no longer keeps. The caller must read all values again.
	HistoryLost Fault = "HistoryLost"
	// Limited: the call exceeded a rate limit. It had no effect.
	Limited Fault = "Limited"
	// Invalid: the request is invalid. The call had no effect.
	Invalid Fault = "Invalid"
	// Unknown: the reply was lost. The call may have taken effect, or may still do so later.
	Unknown Fault = "Unknown"
)

// String returns the name of the fault.
func (f Fault) String() string { return string(f) }

// Error is the error of a failed call to the platform.
type Error struct {
	Fault Fault
	// Key is the key, or another name, that the call was for.
	Key    Key    `json:",omitempty"`
	Detail string `json:",omitempty"`
	// Current is the current revision of the key on a Conflict: 0 if the key doesn't exist, nil if the store didn't
	// return it.
	Current *Revision `json:",omitempty"`
}

// Error returns the fault, the key and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s at %q: %s", e.Fault, string(e.Key), e.Detail)
}

// FaultOf returns the fault of an error that a Store or a VMList returned, or None for nil. Any other error
// is Unknown, because the call may have taken effect.
func FaultOf(err error) Fault {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Fault
	}
	return Unknown
}

// errorf returns an *Error with a stack trace.
func errorf(f Fault, key Key, format string, arguments ...any) error {
	return trace.Wrap(&Error{Fault: f, Key: key, Detail: fmt.Sprintf(format, arguments...)})
}
