package paevent

// controlEvents are numbers 1101 to 1199: decisions of the control state.
var controlEvents = []Event{
	TargetLeaving{}, ZoneMismatch{}, MemberChanged{},
	ZoneLost{}, ZoneFound{}, Thawed{}, SuspicionRefuted{},
	ListUnreachable{}, AgreementChanged{},
}

// TargetLeaving reports the first sign that an own target is about to stop.
type TargetLeaving struct {
	Target string
	// Source is who said so.
	Source string
}

// Kind returns the catalogue's entry.
func (TargetLeaving) Kind() Kind {
	return Kind{Number: 1101, Name: "TargetLeaving", Level: Info, Text: "A target is about to stop and gets no new work."}
}

func (TargetLeaving) sealed() {}

// ZoneMismatch reports that the settings and the bundle disagree on this VM's place.
type ZoneMismatch struct {
	Zone, Region string
	// Bundle is the region of the zone in the bundle, empty if the bundle lacks the zone.
	Bundle string
}

// Kind returns the catalogue's entry.
func (ZoneMismatch) Kind() Kind {
	return Kind{Number: 1103, Name: "ZoneMismatch", Level: Error, Text: "The bundle does not know this VM's zone in this region."}
}

func (ZoneMismatch) sealed() {}

// MemberChanged reports the state of another entry VM, as this one sees it.
type MemberChanged struct {
	Member, Zone string
	Incarnation  uint64
	Old, New     string
}

// Kind returns the catalogue's entry.
func (MemberChanged) Kind() Kind {
	return Kind{Number: 1105, Name: "MemberChanged", Level: Info, Text: "An entry VM is new or changed its state."}
}

func (MemberChanged) sealed() {}

// ZoneLost reports that there is no sign of a zone any more.
type ZoneLost struct{ Zone string }

// Kind returns the catalogue's entry.
func (ZoneLost) Kind() Kind {
	return Kind{Number: 1106, Name: "ZoneLost", Level: Error, Text: "There is no sign of a zone any more; its entry VMs count as unreachable."}
}

func (ZoneLost) sealed() {}

// ZoneFound reports that a lost zone is back.
type ZoneFound struct{ Zone string }

// Kind returns the catalogue's entry.
func (ZoneFound) Kind() Kind {
	return Kind{Number: 1107, Name: "ZoneFound", Level: Info, Text: "A lost zone is back."}
}

func (ZoneFound) sealed() {}

// Thawed reports that this process stood still.
type Thawed struct{ Milliseconds int64 }

// Kind returns the catalogue's entry.
func (Thawed) Kind() Kind {
	return Kind{Number: 1108, Name: "Thawed", Level: Warning, Text: "This process stood still; credits and agreements from before are void."}
}

func (Thawed) sealed() {}

// SuspicionRefuted reports that others took this daemon for dead or suspected it.
type SuspicionRefuted struct{ Said string }

// Kind returns the catalogue's entry.
func (SuspicionRefuted) Kind() Kind {
	return Kind{Number: 1109, Name: "SuspicionRefuted", Level: Warning, Text: "Others doubted that this daemon lives; it contradicted them."}
}

func (SuspicionRefuted) sealed() {}

// ListUnreachable reports that the platform's VM list stopped answering.
type ListUnreachable struct{ Fault string }

// Kind returns the catalogue's entry.
func (ListUnreachable) Kind() Kind {
	return Kind{Number: 1112, Name: "ListUnreachable", Level: Warning, Text: "The VM list does not answer; the daemon serves on with the last one."}
}

func (ListUnreachable) sealed() {}

// AgreementChanged reports how many entry VMs of the region agree on who counts.
type AgreementChanged struct {
	// Members is 0 while there is no agreement: nothing goes to other regions then, and this entry VM
	// keeps no keys.
	Members int
}

// Kind returns the catalogue's entry.
func (AgreementChanged) Kind() Kind {
	return Kind{Number: 1113, Name: "AgreementChanged", Level: Info, Text: "The region's entry VMs agree on another number of members, or on none."}
}

func (AgreementChanged) sealed() {}
