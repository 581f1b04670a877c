package paevent

// ownerEvents have the numbers 4001 to 4999: targets, queues and placement.
var ownerEvents = []Event{TargetChanged{}, QueueRefuses{}, TargetTaken{}}

// TargetChanged reports that a target owned by this VM entered another phase.
type TargetChanged struct {
	Subject
	Target, Phase string
}

// Kind implements Event.
func (TargetChanged) Kind() Kind {
	return Kind{Number: 4001, Name: "TargetChanged", Level: Info, Text: "A target entered another phase, which changes how many requests it gets."}
}

func (TargetChanged) sealed() {}

// QueueRefuses reports that requests of a service were refused for one reason; at most one a second is recorded.
type QueueRefuses struct {
	Subject
	Reason string
	// Refused counts the refusals since the previous such event.
	Refused int
}

// Kind implements Event.
func (QueueRefuses) Kind() Kind {
	return Kind{Number: 4003, Name: "QueueRefuses", Level: Warning, Text: "Requests of a service were refused at this entry VM."}
}

func (QueueRefuses) sealed() {}

// TargetTaken reports that this entry VM became the owner of a target.
type TargetTaken struct {
	Subject
	Target string
	// Join is how the target came to this VM: Cold, Warm or Orphaned.
	Join string
}

// Kind implements Event.
func (TargetTaken) Kind() Kind {
	return Kind{Number: 4004, Name: "TargetTaken", Level: Info, Text: "This entry VM became the owner of a target."}
}

func (TargetTaken) sealed() {}
