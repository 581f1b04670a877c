package paplatform

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Fault is the closed set of ways in which a call to the platform fails.
type Fault string

// The faults of the platform.
const (
	// None is the fault of a call that succeeded.
	None Fault = ""
	// Conflict says that the key is at another revision; the call had no effect.
	Conflict Fault = "Conflict"
	// NotFound says that the name is not known.
	NotFound Fault = "NotFound"
	// Unavailable says that the call had no effect; it may be tried again.
	Unavailable Fault = "Unavailable"
	// TooLarge says that the data is over MaxValueSize; the call had no effect.
	TooLarge Fault = "TooLarge"
	// LeaseLapsed says that the lease has ended; the call had no effect.
	LeaseLapsed Fault = "LeaseLapsed"
	// HistoryLost says that a watch asked for changes that the store has forgotten; everything must be
	// read anew.
	HistoryLost Fault = "HistoryLost"
	// Limited says that there were too many calls; the call had no effect.
	Limited Fault = "Limited"
	// Invalid says that the request itself is wrong; the call had no effect.
	Invalid Fault = "Invalid"
	// Unknown says that the reply was lost: the call may have had its effect, or may have it yet.
	Unknown Fault = "Unknown"
)

// String returns the fault's name.
func (f Fault) String() string { return string(f) }

// Error is a failed call to the platform.
type Error struct {
	Fault Fault
	// Key is the key or other name that the call was for.
	Key    Key    `json:",omitempty"`
	Detail string `json:",omitempty"`
	// Current is the revision at which the key is, of a Conflict; nil where the store did not tell, and 0 where there
	// is no such key.
	Current *Revision `json:",omitempty"`
}

// Error says what failed, where and why.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s at %q: %s", e.Fault, string(e.Key), e.Detail)
}

// FaultOf returns the fault of an error that a Store or a VMList returned; an error of any other
// kind is Unknown, because nothing is known of the call's effect.
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

// errorf returns a traced *Error.
func errorf(f Fault, key Key, format string, arguments ...any) error {
	return trace.Wrap(&Error{Fault: f, Key: key, Detail: fmt.Sprintf(format, arguments...)})
}
