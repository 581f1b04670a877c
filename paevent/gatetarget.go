package paevent

// TargetKnown reports a change in an entry VM's view of a target.
type TargetKnown struct {
	Target, Service, Zone string
	// State is Ready, Draining, Lapsed or Gone.
	State string
	Born  int64
	// Revision is the store's revision of the latest update of the target.
	Revision uint64
	// ColdMilliseconds is the rest of the target's warm-up.
	ColdMilliseconds int64
	// Source is the entry VM that sent the change, or Store; empty if the change followed from elapsed time alone.
	Source string `json:",omitempty"`
}

// Kind implements Event.
func (TargetKnown) Kind() Kind {
	return Kind{Number: 8010, Name: "TargetKnown", Level: Info, Text: "This VM's view of a target changed."}
}

func (TargetKnown) sealed() {}

// TargetsLost reports that connections from this VM to targets of a service fail, while other entry VMs reach them.
type TargetsLost struct {
	Service string
	// Targets is how many targets are lost, Failure how the latest connection to one of them failed.
	Targets int
	Failure string
	// ReachedBy are entry VMs that reach them, as they said at most SaidMilliseconds ago.
	ReachedBy        []string
	SaidMilliseconds int64
}

// Kind implements Event.
func (TargetsLost) Kind() Kind {
	return Kind{Number: 8020, Name: "TargetsLost", Level: Warning, Text: "This VM's path to targets of a service failed; its requests for them go through other entry VMs."}
}

func (TargetsLost) sealed() {}

// TargetsFound reports that requests of a service no longer go through other entry VMs.
type TargetsFound struct {
	Service string
	// Lost is how many targets still cannot be reached: by the other entry VMs no more than by this one.
	Lost int
	// Milliseconds is how long requests went through other entry VMs.
	Milliseconds int64
}

// Kind implements Event.
func (TargetsFound) Kind() Kind {
	return Kind{Number: 8021, Name: "TargetsFound", Level: Info, Text: "This VM reaches the targets of a service as well as other entry VMs again."}
}

func (TargetsFound) sealed() {}

// TargetEnded reports that a target's process ended while it had requests of this entry VM: their connections ended
// without a response, and it refuses new ones.
type TargetEnded struct {
	Target, Service string
	Born            int64
	// Requests names the requests that it had, as far as they are known, by the hash of method, host and path.
	Requests []string
	// Milliseconds is how long after their connections ended that was known.
	Milliseconds int64
}

// Kind implements Event.
func (TargetEnded) Kind() Kind {
	return Kind{Number: 8022, Name: "TargetEnded", Level: Warning, Text: "A target's process ended while it had requests."}
}

func (TargetEnded) sealed() {}

// TargetLimited reports that a target names the rate of requests that it takes from all entry VMs together.
type TargetLimited struct {
	Target, Service string
	// PerSecond is the rate in requests a second.
	PerSecond float64
	// Sender says that this entry VM sends a part of them; the others send nothing.
	Sender bool
}

// Kind implements Event.
func (TargetLimited) Kind() Kind {
	return Kind{Number: 8025, Name: "TargetLimited", Level: Warning, Text: "A target names the rate of requests that it takes from all entry VMs together, or another one."}
}

func (TargetLimited) sealed() {}

// TargetUnlimited reports that a target names no limit any more.
type TargetUnlimited struct{ Target, Service string }

// Kind implements Event.
func (TargetUnlimited) Kind() Kind {
	return Kind{Number: 8026, Name: "TargetUnlimited", Level: Info, Text: "A target names no limit any more."}
}

func (TargetUnlimited) sealed() {}

// TargetLimitUnreadable reports a limit that is no rate, once for each target.
type TargetLimitUnreadable struct {
	Target string
	// Value is the beginning of what it named.
	Value string
}

// Kind implements Event.
func (TargetLimitUnreadable) Kind() Kind {
	return Kind{Number: 8027, Name: "TargetLimitUnreadable", Level: Warning, Text: "A target names a limit that is no rate; it is not limited by that."}
}

func (TargetLimitUnreadable) sealed() {}

// TargetPushback reports that a target asked for no requests from this entry VM for a time.
type TargetPushback struct {
	Target, Service string
	// Seconds is how long it wants none, from now on.
	Seconds float64
}

// Kind implements Event.
func (TargetPushback) Kind() Kind {
	return Kind{Number: 8028, Name: "TargetPushback", Level: Warning, Text: "A target wants no requests from this VM for a time."}
}

func (TargetPushback) sealed() {}

// TargetPushbackEnded reports that a target's time without requests from this entry VM is over.
type TargetPushbackEnded struct {
	Target, Service string
	// Seconds is how long it lasted in all.
	Seconds float64
}

// Kind implements Event.
func (TargetPushbackEnded) Kind() Kind {
	return Kind{Number: 8029, Name: "TargetPushbackEnded", Level: Info, Text: "A target's time without requests from this VM is over."}
}

func (TargetPushbackEnded) sealed() {}

// TargetPushbackUnreadable reports a time that cannot be read, once for each target.
type TargetPushbackUnreadable struct {
	Target string
	// Value is the beginning of what it said.
	Value string
}

// Kind implements Event.
func (TargetPushbackUnreadable) Kind() Kind {
	return Kind{Number: 8030, Name: "TargetPushbackUnreadable", Level: Warning, Text: "A target asks for no requests for a time that is no number of seconds; that is ignored."}
}

func (TargetPushbackUnreadable) sealed() {}

// TargetDraining reports that a target said in a response that it is shutting down.
type TargetDraining struct {
	Target, Service string
	Born            int64
}

// Kind implements Event.
func (TargetDraining) Kind() Kind {
	return Kind{Number: 8031, Name: "TargetDraining", Level: Info, Text: "A target said in a response that it is shutting down; it gets no more requests from this VM."}
}

func (TargetDraining) sealed() {}

// TargetRefusalUnproven reports a response with a status that promises that the request did not run, though nothing else in it says so.
type TargetRefusalUnproven struct {
	Subject
	Target, Route string
	Status        int
	// Idempotent says that the request may run more than once.
	Idempotent bool
}

// Kind implements Event.
func (TargetRefusalUnproven) Kind() Kind {
	return Kind{Number: 8036, Name: "TargetRefusalUnproven", Level: Warning, Text: "A target responded as to a request that did not run, without saying so; it may have run."}
}

func (TargetRefusalUnproven) sealed() {}
