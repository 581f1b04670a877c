package paroll

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/looplab/fsm"

	"papayahead/pabundle"
)

// State is the state of a version in its life cycle.
type State string

// The states of a version.
const (
	// Proposed means that the pieces of the version are in the store.
	Proposed State = "Proposed"
	// Reviewed means that an operator other than the proposer has reviewed the version.
	Reviewed State = "Reviewed"
	// SignedOff means that the version may be rolled out.
	SignedOff State = "SignedOff"
	// RolledOut means that the version is in force.
	RolledOut State = "RolledOut"
	// Superseded means that the version was in force until a newer one was rolled out.
	Superseded State = "Superseded"
	// RolledBack means that the version was in force until operators rolled back to an older one.
	RolledBack State = "RolledBack"
)

// String returns the state's name.
func (s State) String() string { return string(s) }

// step is a transition of the life cycle.
type step string

const (
	stepReview    step = "Review"
	stepSignOff   step = "SignOff"
	stepRollOut   step = "RollOut"
	stepSupersede step = "Supersede"
	stepRollBack  step = "RollBack"
)

// lifeCycle returns the transitions of the state machine, with their source and destination states.
func lifeCycle() fsm.Events {
	names := func(all ...State) []string {
		list := make([]string, len(all))
		for i, s := range all {
			list[i] = string(s)
		}
		return list
	}
	return fsm.Events{
		{Name: string(stepReview), Src: names(Proposed, Reviewed), Dst: string(Reviewed)},
		{Name: string(stepSignOff), Src: names(Reviewed, SignedOff), Dst: string(SignedOff)},
		{Name: string(stepRollOut), Src: names(SignedOff, RolledOut, Superseded, RolledBack), Dst: string(RolledOut)},
		{Name: string(stepSupersede), Src: names(RolledOut), Dst: string(Superseded)},
		{Name: string(stepRollBack), Src: names(RolledOut), Dst: string(RolledBack)},
	}
}

// Version is the record of a bundle in its life cycle.
type Version struct {
	Digest     pabundle.Digest
	State      State
	Proposer   string
	ProposedAt time.Time
	Comment    string `json:",omitempty"`
	Reviews    []Review
	// SignOff is the latest sign-off, if any.
	SignOff *SignOff `json:",omitempty"`
	// Rolls lists the roll-outs and roll-backs that brought the version into force, sorted by sequence.
	Rolls []Roll
}

// Review is the record of a review.
type Review struct {
	Operator string
	At       time.Time
	Note     string `json:",omitempty"`
}

// SignOff permits one roll-out of the version with this digest, on top of the head with the sequence After.
type SignOff struct {
	Operator string
	At       time.Time
	Digest   pabundle.Digest
	// After is the sequence that was in force at the sign-off.
	After pabundle.Sequence
}

// Roll is the record of a roll-out or roll-back that brought the version into force.
type Roll struct {
	Sequence pabundle.Sequence
	RollID   string
	Operator string
	At       time.Time
}

// transition applies a step of the life cycle, or returns an error with the steps that the state allows.
func (v *Version) transition(s step) error {
	machine := fsm.NewFSM(string(v.State), lifeCycle(), nil)
	err := machine.Event(context.Background(), string(s))
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		next := machine.AvailableTransitions()
		slices.Sort(next)
		return trace.BadParameter("version %s is %s, which allows %v but not %s", v.Digest, v.State, next, s)
	}
	v.State = State(machine.Current())
	return nil
}

// findRoll returns the Roll with a roll ID, and whether there is one.
func (v *Version) findRoll(id string) (Roll, bool) {
	i := slices.IndexFunc(v.Rolls, func(r Roll) bool { return r.RollID == id })
	if i < 0 {
		return Roll{}, false
	}
	return v.Rolls[i], true
}

// lastSequence returns the highest sequence under which the version came into force, or 0.
func (v *Version) lastSequence() pabundle.Sequence {
	var s pabundle.Sequence
	for _, r := range v.Rolls {
		s = max(s, r.Sequence)
	}
	return s
}
