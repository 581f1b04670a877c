package paevent

// limitEvents are numbers 5001 to 5999: shifts, credits, links and the key ledger.
var limitEvents = []Event{ShiftStarted{}, ShiftEnded{}, RegionShed{}, CreditsVoided{}, CreditsUnanswered{}, CreditsAnswered{}, CreditsWithheld{}, LedgerHandedOver{}}

// ShiftStarted reports that shares of a service began to move.
type ShiftStarted struct {
	Subject
	// EndsInMilliseconds is how long the schedule takes from now.
	EndsInMilliseconds int64
}

// Kind returns the catalogue's entry.
func (ShiftStarted) Kind() Kind {
	return Kind{Number: 5001, Name: "ShiftStarted", Level: Info, Text: "Shares of a service began to move between regions, under its cap."}
}

func (ShiftStarted) sealed() {}

// ShiftEnded reports that a service has reached the shares of its bundle.
type ShiftEnded struct{ Subject }

// Kind returns the catalogue's entry.
func (ShiftEnded) Kind() Kind {
	return Kind{Number: 5002, Name: "ShiftEnded", Level: Info, Text: "The shares of a service stand where the bundle in force wants them."}
}

func (ShiftEnded) sealed() {}

// RegionShed reports that a region is down for a service and its share is refused until others may take it.
type RegionShed struct {
	Subject
	From, Region string
	// Refused is the share that may go nowhere yet.
	Refused float64
}

// Kind returns the catalogue's entry.
func (RegionShed) Kind() Kind {
	return Kind{Number: 5003, Name: "RegionShed", Level: Error, Text: "A region is down for a service; what the cap lets no other region take yet is refused."}
}

func (RegionShed) sealed() {}

// CreditsVoided reports that credits were dropped unspent.
type CreditsVoided struct {
	// Granter is whose credits were dropped; empty is everyone's.
	Granter string
	Reason  string
}

// Kind returns the catalogue's entry.
func (CreditsVoided) Kind() Kind {
	return Kind{Number: 5004, Name: "CreditsVoided", Level: Warning, Text: "Credits were dropped because of a cut, a freeze or a restart of their granter."}
}

func (CreditsVoided) sealed() {}

// CreditsUnanswered reports that a granter's asks for credits began to fail.
type CreditsUnanswered struct {
	// Granter is the granter's address for other daemons.
	Granter string
	Reason  string
}

// Kind returns the catalogue's entry.
func (CreditsUnanswered) Kind() Kind {
	return Kind{Number: 5005, Name: "CreditsUnanswered", Level: Warning, Text: "An ask for credits failed; requests for that entry VM's region wait or are refused until one is answered."}
}

func (CreditsUnanswered) sealed() {}

// CreditsAnswered reports that a granter grants credits again.
type CreditsAnswered struct {
	// Granter is the granter's address for other daemons.
	Granter string
}

// Kind returns the catalogue's entry.
func (CreditsAnswered) Kind() Kind {
	return Kind{Number: 5006, Name: "CreditsAnswered", Level: Info, Text: "An entry VM whose asks for credits failed or brought none grants some again."}
}

func (CreditsAnswered) sealed() {}

// CreditsWithheld reports that a granter answers asks for credits with none, one after the other.
type CreditsWithheld struct {
	// Granter is the granter's address for other daemons.
	Granter string
	// Asks is how many asks in a row got none.
	Asks int
}

// Kind returns the catalogue's entry.
func (CreditsWithheld) Kind() Kind {
	return Kind{Number: 5007, Name: "CreditsWithheld", Level: Warning, Text: "An entry VM of another region answers asks for credits with none: its slots are taken or promised to others."}
}

func (CreditsWithheld) sealed() {}

// LedgerHandedOver reports that a keeper gave its memory to its successors.
type LedgerHandedOver struct{ Keys, Successors int }

// Kind returns the catalogue's entry.
func (LedgerHandedOver) Kind() Kind {
	return Kind{Number: 5010, Name: "LedgerHandedOver", Level: Info, Text: "A keeper that shuts down gave its memory of keys to its successors."}
}

func (LedgerHandedOver) sealed() {}
