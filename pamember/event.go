package pamember

import (
	"time"

	"papayahead/pabundle"
)

// Event is something that a Member is told.
type Event interface{ event() }

// Tick says that time has passed; it is due every TickInterval.
type Tick struct{}

// Received is a message from a peer; it may be anything that the network delivers.
type Received struct{ Message Message }

// Seeds is the platform's VM list, in whole.
type Seeds struct{ List []Seed }

// SetLoadReport replaces the member's own facts; the Member sets the stamp.
type SetLoadReport struct{ Report LoadReport }

// SetConfigVersion says which configuration the daemon has in force.
type SetConfigVersion struct{ Config ConfigVersion }

// Leave announces a planned stop; the member keeps answering and is Leaving.
type Leave struct{}

// FinishLeave ends the membership for good after Leave, when nothing runs any more.
type FinishLeave struct{}

func (Tick) event()             {}
func (Received) event()         {}
func (Seeds) event()            {}
func (SetLoadReport) event()    {}
func (SetConfigVersion) event() {}
func (Leave) event()            {}
func (FinishLeave) event()      {}

// Change is something that the caller of Step has to know of.
type Change interface{ change() }

// StateChanged says that a member is new or its record changed state.
type StateChanged struct {
	Member Identity
	// Old equals New for a member that was unknown.
	Old, New State
}

// ZoneLost says that there is no sign of a zone any more: its members are Unreachable.
type ZoneLost struct{ Zone pabundle.ZoneName }

// ZoneFound says that a lost zone is back, after a probation.
type ZoneFound struct{ Zone pabundle.ZoneName }

// PauseDetected says that the process stood still for Gap: leases, credits and readings from before are void.
type PauseDetected struct{ Gap time.Duration }

// Refuted says that the member contradicted others who took it for dead or suspected it.
type Refuted struct{ Claimed State }

// NewerConfigSeen says that a peer has a configuration with a higher sequence than the one set.
type NewerConfigSeen struct {
	From   Identity
	Config ConfigVersion
}

func (StateChanged) change()    {}
func (ZoneLost) change()        {}
func (ZoneFound) change()       {}
func (PauseDetected) change()   {}
func (Refuted) change()         {}
func (NewerConfigSeen) change() {}

// Output is what a Step decided.
type Output struct {
	Send    []Envelope
	Changes []Change
}

func (o *Output) changed(c Change) { o.Changes = append(o.Changes, c) }
