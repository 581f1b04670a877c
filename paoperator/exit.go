package paoperator

import (
	"errors"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// ExitCode is the code that a command ends with.
type ExitCode int

// The exit codes.
const (
	// Done says that the command did what it says, or that it was done already.
	Done ExitCode = 0
	// Refused says that the command or its input is wrong, or not allowed in this state; nothing
	// changed.
	Refused ExitCode = 1
	// InvalidBundle says that the bundle has faults; nothing changed.
	InvalidBundle ExitCode = 2
	// LostRace says that another operator's command came first; nothing changed.
	LostRace ExitCode = 3
	// OutcomeUnknown says that a reply was lost and what happened is not known; repeat the command.
	OutcomeUnknown ExitCode = 4
	// StoreUnavailable says that the platform's store did not answer; the head is unchanged.
	StoreUnavailable ExitCode = 5
)

// ExitError is a command's end with a code other than Done.
type ExitError struct {
	Code  ExitCode
	Cause error
}

// Error says what went wrong and what to do next.
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

// ExitCode returns the code; urfave/cli ends the process with it.
func (e *ExitError) ExitCode() int { return int(e.Code) }

// ended gives an error its exit code.
func ended(err error) error {
	var done *ExitError
	if err == nil || errors.As(err, &done) {
		return err
	}
	code := Refused
	var faults *pabundle.ValidationError
	var platform *paplatform.Error
	switch {
	case errors.As(err, &faults):
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
