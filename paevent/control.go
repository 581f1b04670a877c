package paevent

// controlEvents have the numbers 1101 to 1199: decisions of the control plane.
var controlEvents = []Event{
	TargetLeaving{}, ZoneMismatch{}, MemberChanged{},
	ZoneLost{}, ZoneFound{}, Thawed{}, SuspicionRefuted{},
	ListUnreachable{}, AgreementChanged{},
}

// TargetLeaving reports the first notice that a target owned by this VM is about to stop.
type TargetLeaving struct {
	Target string
	// Source is where the notice came from.
	Source string
}

// Kind implements Event.
func (TargetLeaving) Kind() Kind {
	return Kind{Number: 1101, Name: "TargetLeaving", Level: Info, Text: "A target is about to stop and gets no new requests."}
}

func (TargetLeaving) sealed() {}

// ZoneMismatch reports that the settings and the bundle disagree on this VM's zone and region.
type ZoneMismatch struct {
	Zone, Region string
	// Bundle is the region of the zone in the bundle, empty if the bundle lacks the zone.
	Bundle string
}

// Kind implements Event.
func (ZoneMismatch) Kind() Kind {
	return Kind{Number: 1103, Name: "ZoneMismatch", Level: Error, Text: "The bundle does not list this VM's zone in the region that its settings name."}
}

func (ZoneMismatch) sealed() {}

// MemberChanged reports a new membership state of another entry VM, as seen by this one.
type MemberChanged struct {
	Member, Zone string
	Incarnation  uint64
	Old, New     string
}

// Kind implements Event.
func (MemberChanged) Kind() Kind {
	return Kind{Number: 1105, Name: "MemberChanged", Level: Info, Text: "Another entry VM joined or changed its membership state."}
}

func (MemberChanged) sealed() {}

// ZoneLost reports that no entry VM of a zone is heard from any more.
type ZoneLost struct{ Zone string }

// Kind implements Event.
func (ZoneLost) Kind() Kind {
	return Kind{Number: 1106, Name: "ZoneLost", Level: Error, Text: "No entry VM of a zone can be reached; all of them count as unreachable."}
}

func (ZoneLost) sealed() {}

// ZoneFound reports that a zone reported by ZoneLost is reachable again.
type ZoneFound struct{ Zone string }

// Kind implements Event.
func (ZoneFound) Kind() Kind {
	return Kind{Number: 1107, Name: "ZoneFound", Level: Info, Text: "A zone that was lost is reachable again."}
}

func (ZoneFound) sealed() {}

// Thawed reports that this process was paused, for example by a freeze of its VM, and for how long.
type Thawed struct{ Milliseconds int64 }

// Kind implements Event.
func (Thawed) Kind() Kind {
	return Kind{Number: 1108, Name: "Thawed", Level: Warning, Text: "This process was paused; credits and membership agreements from before the pause are void."}
}

func (Thawed) sealed() {}

// SuspicionRefuted reports that other members suspected this daemon or declared it dead, and that it refuted them.
type SuspicionRefuted struct{ Said string }

// Kind implements Event.
func (SuspicionRefuted) Kind() Kind {
	return Kind{Number: 1109, Name: "SuspicionRefuted", Level: Warning, Text: "Other members suspected this daemon or declared it dead; it announced that it is alive."}
}

func (SuspicionRefuted) sealed() {}

// ListUnreachable reports that the platform's VM list stopped answering.
type ListUnreachable struct{ Fault string }

// Kind implements Event.
func (ListUnreachable) Kind() Kind {
	return Kind{Number: 1112, Name: "ListUnreachable", Level: Warning, Text: "The platform's VM list does not answer; the last list received stays in use."}
}

func (ListUnreachable) sealed() {}

// AgreementChanged reports how many entry VMs of the region agree on the region's membership.
type AgreementChanged struct {
	// Members is 0 while there is no agreement; then no requests are sent to other regions and this entry VM
	// does not act as a keeper of idempotency keys.
	Members int
}

// Kind implements Event.
func (AgreementChanged) Kind() Kind {
	return Kind{Number: 1113, Name: "AgreementChanged", Level: Info, Text: "The number of members that the region's entry VMs agree on changed; 0 means no agreement."}
}

func (AgreementChanged) sealed() {}
