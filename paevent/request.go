package paevent

// requestEvents are numbers 6001 to 6999: single requests on their path.
var requestEvents = []Event{
	RequestUnknown{}, AnswerCut{}, CallLost{}, CallFenced{}, ConnectionSilent{}, IdentityMismatch{},
}

// RequestUnknown reports a request of which nobody can say whether it ran.
type RequestUnknown struct {
	Subject
	Reason, Fault string
	Attempts      int
	// Origin is the entry VM that forwarded the request here; empty for a caller's.
	Origin string `json:",omitempty"`
}

// Kind returns the catalogue's entry.
func (RequestUnknown) Kind() Kind {
	return Kind{Number: 6001, Name: "RequestUnknown", Level: Warning, Text: "A request may have run and has no answer; its caller was told Unknown."}
}

func (RequestUnknown) sealed() {}

// AnswerCut reports an answer that broke off in its middle.
type AnswerCut struct {
	Subject
	Reason, Fault string
	Bytes         int64
	Origin        string `json:",omitempty"`
}

// Kind returns the catalogue's entry.
func (AnswerCut) Kind() Kind {
	return Kind{Number: 6002, Name: "AnswerCut", Level: Warning, Text: "An answer broke off; the connection to its caller was aborted."}
}

func (AnswerCut) sealed() {}

// CallLost reports a forwarded request whose connection broke before an answer came.
type CallLost struct {
	Subject
	Call, Peer string
	// Outcome is what asking the peer gave: NotRun or Unknown.
	Outcome string
}

// Kind returns the catalogue's entry.
func (CallLost) Kind() Kind {
	return Kind{Number: 6003, Name: "CallLost", Level: Warning, Text: "A forwarded request was lost on its way; its peer was asked whether it ran."}
}

func (CallLost) sealed() {}

// CallFenced reports the question of an origin that lost a call.
type CallFenced struct {
	Call string
	// State is Never, Started or Unknown.
	State string
}

// Kind returns the catalogue's entry.
func (CallFenced) Kind() Kind {
	return Kind{Number: 6004, Name: "CallFenced", Level: Info, Text: "An origin lost a call and asked for it; if it was not started, it never will be."}
}

func (CallFenced) sealed() {}

// ConnectionSilent reports a connection to a target that took a request and gave no sign of life.
type ConnectionSilent struct {
	Subject
	Target string
}

// Kind returns the catalogue's entry.
func (ConnectionSilent) Kind() Kind {
	return Kind{Number: 6005, Name: "ConnectionSilent", Level: Warning, Text: "An open connection went silent and was closed with its like; the target is not blamed."}
}

func (ConnectionSilent) sealed() {}

// IdentityMismatch reports an answer that a target gave under another request's identity.
type IdentityMismatch struct {
	Subject
	Target, Said string
}

// Kind returns the catalogue's entry.
func (IdentityMismatch) Kind() Kind {
	return Kind{Number: 6006, Name: "IdentityMismatch", Level: Error, Text: "A target answered under another request's identity; the answer was dropped."}
}

func (IdentityMismatch) sealed() {}
