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

// State is where a version stands in its life cycle.
type State string

// The states of a version.
const (
	// Proposed is a version whose pieces are in the store.
	Proposed State = "Proposed"
	// Reviewed is a version that someone else than its proposer has read.
	Reviewed State = "Reviewed"
	// SignedOff is a version that may be rolled out.
	SignedOff State = "SignedOff"
	// RolledOut is the version in force.
	RolledOut State = "RolledOut"
	// Superseded is a version that was in force until a newer one was rolled out.
	Superseded State = "Superseded"
	// RolledBack is a version that was in force until operators went back to an older one.
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

// lifeCycle lists which step leads from which states to which.
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

// Version is the record of a bundle's way through its life cycle.
type Version struct {
	Digest     pabundle.Digest
	State      State
	Proposer   string
	ProposedAt time.Time
	Comment    string `json:",omitempty"`
	Reviews    []Review
	// SignOff is the latest sign-off, if any.
	SignOff *SignOff `json:",omitempty"`
	// Rolls lists when the version came into force, in the order of the sequences.
	Rolls []Roll
}

// Review says who read a version.
type Review struct {
	Operator string
	At       time.Time
	Note     string `json:",omitempty"`
}

// SignOff allows one roll-out of exactly this digest on top of exactly this head.
type SignOff struct {
	Operator string
	At       time.Time
	Digest   pabundle.Digest
	// After is the sequence in force that the version was compared with.
	After pabundle.Sequence
}

// Roll is one time that a version came into force.
type Roll struct {
	Sequence pabundle.Sequence
	RollID   string
	Operator string
	At       time.Time
}

// transition moves the version along its life cycle, or says what is allowed instead.
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

// findRoll reports whether the version came into force under a roll ID.
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
