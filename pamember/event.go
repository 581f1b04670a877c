package pamember

import (
	"time"

	"papayahead/pabundle"
)

// Event is an input of Member.Step.
type Event interface{ event() }

// Tick drives the timers; the caller sends one every TickInterval.
type Tick struct{}

// Received is a message from a peer; it is untrusted.
type Received struct{ Message Message }

// Seeds replaces the seed list by the platform's complete VM list.
type Seeds struct{ List []Seed }

// SetLoadReport replaces the member's own load report; the Member sets the stamp.
type SetLoadReport struct{ Report LoadReport }

// SetConfigVersion says which configuration the daemon has in force.
type SetConfigVersion struct{ Config ConfigVersion }

// Leave announces a planned stop; the member becomes Leaving and keeps answering messages.
type Leave struct{}

// FinishLeave ends the membership after Leave, once no request is running; the member becomes Left.
type FinishLeave struct{}

func (Tick) event()             {}
func (Received) event()         {}
func (Seeds) event()            {}
func (SetLoadReport) event()    {}
func (SetConfigVersion) event() {}
func (Leave) event()            {}
func (FinishLeave) event()      {}

// Change is a change of the membership that Step reports to its caller.
type Change interface{ change() }

// StateChanged says that a member is new or its record changed state.
type StateChanged struct {
	Member Identity
	// Old equals New for a member that was unknown.
	Old, New State
}

// ZoneLost says that a zone's heartbeat is stale: its members are Unreachable.
type ZoneLost struct{ Zone pabundle.ZoneName }

// ZoneFound says that a lost zone's heartbeat has risen again for the whole probation.
type ZoneFound struct{ Zone pabundle.ZoneName }

// PauseDetected says that the process did not run for Gap: leases, credits and measurements from before are void.
type PauseDetected struct{ Gap time.Duration }

// Refuted says that the member refuted a record in which others claimed it Suspected or Dead.
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

// Output holds the messages to send and the changes made by one Step.
type Output struct {
	Send    []Envelope
	Changes []Change
}

func (o *Output) changed(c Change) { o.Changes = append(o.Changes, c) }
