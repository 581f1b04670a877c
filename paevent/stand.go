package paevent

// standEvents have the numbers 7001 to 7999: stand-ins, which simulate targets, callers, the platform and the network.
var standEvents = []Event{FaultsInjected{}, CallersDone{}, StandInTold{}, AttemptLost{}}

// FaultsInjected reports a change of the faults that a stand-in target simulates.
type FaultsInjected struct {
	Target string
	// Faults are the faults that it simulates from now on, as JSON.
	Faults string
}

// Kind implements Event.
func (FaultsInjected) Kind() Kind {
	return Kind{Number: 7001, Name: "FaultsInjected", Level: Info, Text: "The faults that a stand-in target simulates were changed."}
}

func (FaultsInjected) sealed() {}

// CallersDone reports the end of a run of stand-in callers.
type CallersDone struct {
	Name                                           string
	Offered, Answered, Refused, Unknown, Lost, Cut int64
}

// Kind implements Event.
func (CallersDone) Kind() Kind {
	return Kind{Number: 7002, Name: "CallersDone", Level: Info, Text: "A run of stand-in callers has ended."}
}

func (CallersDone) sealed() {}

// StandInTold reports a control request to a stand-in for the platform or the network.
type StandInTold struct{ Method, Path, Body string }

// Kind implements Event.
func (StandInTold) Kind() Kind {
	return Kind{Number: 7003, Name: "StandInTold", Level: Info, Text: "A stand-in for the platform or the network was reconfigured: a fault, a VM or a network cut."}
}

func (StandInTold) sealed() {}

// AttemptLost reports a stand-in caller's attempt that ended without an answer.
type AttemptLost struct {
	Request, Entry string
	// Reused says that the connection had carried a request before.
	Reused bool
	Reason string
}

// Kind implements Event.
func (AttemptLost) Kind() Kind {
	return Kind{Number: 7004, Name: "AttemptLost", Level: Warning, Text: "A stand-in caller's attempt ended without an answer."}
}

func (AttemptLost) sealed() {}
