package paoperator

import (
	"errors"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// Exit is the code that a command ends with.
type Exit int

// The exit codes.
const (
	// Done says that the command did what it says, or that it was done already.
	Done Exit = 0
	// Refused says that the command or its input is wrong, or not allowed in this state; nothing
	// changed.
	Refused Exit = 1
	// Faulty says that the bundle has faults; nothing changed.
	Faulty Exit = 2
	// LostRace says that another operator's command came first; nothing changed.
	LostRace Exit = 3
	// InDoubt says that a reply was lost and what happened is not known; repeat the command.
	InDoubt Exit = 4
	// StoreDown says that the platform's store did not answer; the head is unchanged.
	StoreDown Exit = 5
)

// ExitError is a command's end with a code other than Done.
type ExitError struct {
	Code  Exit
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
	case StoreDown:
		return text + "\nthe head is unchanged; repeat the command when the store answers again"
	case InDoubt, LostRace:
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
		code = Faulty
	case errors.As(err, &platform):
		code = StoreDown
		if platform.Fault == paplatform.TooLarge || platform.Fault == paplatform.Invalid {
			code = Refused
		}
		if platform.Fault == paplatform.Conflict {
			code = LostRace
		}
		if platform.Fault == paplatform.Unknown {
			code = InDoubt
		}
	}
	return &ExitError{code, err}
}
