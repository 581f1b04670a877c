package patarget

import (
	"context"

	"github.com/looplab/fsm"
)

// Phase is where a target stands in its life.
type Phase int

// The phases of a target.
const (
	// Warming is a cold target that is given slots one after the other.
	Warming Phase = iota
	// Serving is a target with all its slots.
	Serving
	// Ejected is a target that failed too often; it gets no requests.
	Ejected
	// Trial is an ejected target that is given one request at a time.
	Trial
	// Leaving is a target that gets no new work ever again.
	Leaving
)

var phaseNames = [...]string{"Warming", "Serving", "Ejected", "Trial", "Leaving"}

// String returns the name of the phase.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "Phase?"
	}
	return phaseNames[p]
}

func phaseOf(name string) Phase {
	for p, n := range phaseNames {
		if n == name {
			return Phase(p)
		}
	}
	panic("patarget: no such phase: " + name)
}

// The steps between phases.
const (
	stepWarm  = "Warm"
	stepEject = "Eject"
	stepTry   = "Try"
	stepTrust = "Trust"
	stepLeave = "Leave"
)

var steps = fsm.Events{
	{Name: stepWarm, Src: []string{"Warming"}, Dst: "Serving"},
	{Name: stepEject, Src: []string{"Warming", "Serving", "Trial"}, Dst: "Ejected"},
	{Name: stepTry, Src: []string{"Ejected"}, Dst: "Trial"},
	{Name: stepTrust, Src: []string{"Trial"}, Dst: "Serving"},
	{Name: stepLeave, Src: []string{"Warming", "Serving", "Ejected", "Trial"}, Dst: "Leaving"},
}

// step moves the target to its next phase. The phase is kept beside the machine, because it is
// read on each placement and the machine takes a lock for it.
func (t *Target) step(name string) {
	if t.machine == nil {
		t.machine = fsm.NewFSM(t.phase.String(), steps, nil)
	}
	if !t.machine.Can(name) {
		return
	}
	if err := t.machine.Event(context.Background(), name); err != nil {
		panic("patarget: step " + name + ": " + err.Error())
	}
	t.phase = phaseOf(t.machine.Current())
}
