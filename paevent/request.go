package paevent

// requestEvents have the numbers 6001 to 6999: the handling of single requests.
var requestEvents = []Event{
	RequestUnknown{}, AnswerCut{}, CallLost{}, CallFenced{}, ConnectionSilent{}, IdentityMismatch{},
}

// RequestUnknown reports a request that may or may not have run.
type RequestUnknown struct {
	Subject
	Reason, Fault string
	Attempts      int
	// Origin is the entry VM that forwarded the request here; empty if it came from a caller.
	Origin string `json:",omitempty"`
}

// Kind implements Event.
func (RequestUnknown) Kind() Kind {
	return Kind{Number: 6001, Name: "RequestUnknown", Level: Warning, Text: "A request may have run but got no answer; its caller received the outcome Unknown."}
}

func (RequestUnknown) sealed() {}

// AnswerCut reports an answer that ended before it was complete.
type AnswerCut struct {
	Subject
	Reason, Fault string
	Bytes         int64
	Origin        string `json:",omitempty"`
}

// Kind implements Event.
func (AnswerCut) Kind() Kind {
	return Kind{Number: 6002, Name: "AnswerCut", Level: Warning, Text: "An answer ended before it was complete; the connection to its caller was aborted."}
}

func (AnswerCut) sealed() {}

// CallLost reports a forwarded request whose connection broke before an answer came.
type CallLost struct {
	Subject
	Call, Peer string
	// Outcome is what the peer answered when asked: NotRun or Unknown.
	Outcome string
}

// Kind implements Event.
func (CallLost) Kind() Kind {
	return Kind{Number: 6003, Name: "CallLost", Level: Warning, Text: "The connection of a forwarded request broke before its answer; the peer was asked whether the request ran."}
}

func (CallLost) sealed() {}

// CallFenced reports that an origin asked about a call it lost, which bars the call from starting later.
type CallFenced struct {
	Call string
	// State is Never, Started or Unknown.
	State string
}

// Kind implements Event.
func (CallFenced) Kind() Kind {
	return Kind{Number: 6004, Name: "CallFenced", Level: Info, Text: "An origin lost a call and asked whether it had started; if it had not, it never will."}
}

func (CallFenced) sealed() {}

// ConnectionSilent reports a connection to a target that accepted a request and then sent nothing.
type ConnectionSilent struct {
	Subject
	Target string
}

// Kind implements Event.
func (ConnectionSilent) Kind() Kind {
	return Kind{Number: 6005, Name: "ConnectionSilent", Level: Warning, Text: "A connection to a target went silent; it and the target's idle connections were closed. The target is not counted as failing."}
}

func (ConnectionSilent) sealed() {}

// IdentityMismatch reports an answer that carried another request's ID.
type IdentityMismatch struct {
	Subject
	Target, Said string
}

// Kind implements Event.
func (IdentityMismatch) Kind() Kind {
	return Kind{Number: 6006, Name: "IdentityMismatch", Level: Error, Text: "A target's answer carried another request's ID and was dropped."}
}

func (IdentityMismatch) sealed() {}
