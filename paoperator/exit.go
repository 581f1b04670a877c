package paoperator

import (
	"errors"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// ExitCode is the exit code of the process after a command.
type ExitCode int

// The exit codes.
const (
	// Done means that the command succeeded, or that its effect was already in place.
	Done ExitCode = 0
	// Refused means that the command or its input is invalid, or not allowed in this state; nothing
	// changed.
	Refused ExitCode = 1
	// InvalidBundle means that the bundle failed validation; nothing changed.
	InvalidBundle ExitCode = 2
	// LostRace means that another operator changed the head or the version first; nothing changed.
	LostRace ExitCode = 3
	// OutcomeUnknown means that a reply was lost, so that the command may or may not have taken
	// effect; it is safe to repeat.
	OutcomeUnknown ExitCode = 4
	// StoreUnavailable means that the platform's store did not answer; the head is unchanged.
	StoreUnavailable ExitCode = 5
)

// ExitError is the error of a command that ends with a code other than Done.
type ExitError struct {
	Code  ExitCode
	Cause error
}

// Error returns the cause and, for errors of the store, what the operator should do next.
func (e *ExitError) Error() string {
	text := e.Cause.Error()
	var platform *paplatform.Error
	if !errors.As(e.Cause, &platform) {
		return text
	}
	switch e.Code {
	case StoreUnavailable:
		return text + "\nthe head is unchanged; repeat the command when the store answers again"
	case OutcomeUnknown, LostRace:
		return text + "\nrepeat the command; what is done already is not done again"
	default:
		return text
	}
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// ExitCode implements cli.ExitCoder.
func (e *ExitError) ExitCode() int { return int(e.Code) }

// withExitCode wraps an error in an ExitError with the code that fits it; nil stays nil.
func withExitCode(err error) error {
	var exit *ExitError
	if err == nil || errors.As(err, &exit) {
		return err
	}
	code := Refused
	var invalid *pabundle.ValidationError
	var platform *paplatform.Error
	switch {
	case errors.As(err, &invalid):
		code = InvalidBundle
	case errors.As(err, &platform):
		code = StoreUnavailable
		if platform.Fault == paplatform.TooLarge || platform.Fault == paplatform.Invalid {
			code = Refused
		}
		if platform.Fault == paplatform.Conflict {
			code = LostRace
		}
		if platform.Fault == paplatform.Unknown {
			code = OutcomeUnknown
		}
	}
	return &ExitError{code, err}
}
