package paevent

// standEvents are numbers 7001 to 7999: stand-ins.
var standEvents = []Event{FaultsInjected{}, CallersDone{}, StandInTold{}, AttemptLost{}}

// FaultsInjected reports that a stand-in target changed its behaviour.
type FaultsInjected struct {
	Target string
	// Faults are those in force from now on, as JSON.
	Faults string
}

// Kind returns the catalogue's entry.
func (FaultsInjected) Kind() Kind {
	return Kind{Number: 7001, Name: "FaultsInjected", Level: Info, Text: "A stand-in target was told to misbehave, or to stop it."}
}

func (FaultsInjected) sealed() {}

// CallersDone reports the end of a run of stand-in callers.
type CallersDone struct {
	Name                                           string
	Offered, Answered, Refused, Unknown, Lost, Cut int64
}

// Kind returns the catalogue's entry.
func (CallersDone) Kind() Kind {
	return Kind{Number: 7002, Name: "CallersDone", Level: Info, Text: "A run of stand-in callers has ended."}
}

func (CallersDone) sealed() {}

// StandInTold reports that a stand-in for the platform or the network was told to change.
type StandInTold struct{ Method, Path, Body string }

// Kind returns the catalogue's entry.
func (StandInTold) Kind() Kind {
	return Kind{Number: 7003, Name: "StandInTold", Level: Info, Text: "A stand-in for the platform or the network was told to change: a fault, a VM, a cut."}
}

func (StandInTold) sealed() {}

// AttemptLost reports a stand-in caller's attempt that ended without an answer.
type AttemptLost struct {
	Request, Entry string
	// Reused says that the connection had carried a request before.
	Reused bool
	Reason string
}

// Kind returns the catalogue's entry.
func (AttemptLost) Kind() Kind {
	return Kind{Number: 7004, Name: "AttemptLost", Level: Warning, Text: "A stand-in caller's attempt ended without an answer."}
}

func (AttemptLost) sealed() {}
