package paevent

// limitEvents have the numbers 5001 to 5999: traffic shifts, credits, links and the ledger of idempotency keys.
var limitEvents = []Event{
	ShiftStarted{}, ShiftEnded{}, RegionShed{}, CreditsVoided{}, CreditsUnanswered{}, CreditsAnswered{}, CreditsWithheld{},
	LedgerHandedOver{},
}

// ShiftStarted reports that a service's traffic shares began to move between regions.
type ShiftStarted struct {
	Subject
	// EndsInMilliseconds is the time until the shift is complete.
	EndsInMilliseconds int64
}

// Kind implements Event.
func (ShiftStarted) Kind() Kind {
	return Kind{Number: 5001, Name: "ShiftStarted", Level: Info, Text: "Traffic shares of a service began to move between regions, at most as fast as its shift cap allows."}
}

func (ShiftStarted) sealed() {}

// ShiftEnded reports that a service has reached the traffic shares of the bundle in force.
type ShiftEnded struct{ Subject }

// Kind implements Event.
func (ShiftEnded) Kind() Kind {
	return Kind{Number: 5002, Name: "ShiftEnded", Level: Info, Text: "The traffic shares of a service have reached those of the bundle in force."}
}

func (ShiftEnded) sealed() {}

// RegionShed reports that a region is down for a service and that its share of requests is refused until the
// shift cap lets other regions take it.
type RegionShed struct {
	Subject
	From, Region string
	// Refused is the share of requests that no region may take yet.
	Refused float64
}

// Kind implements Event.
func (RegionShed) Kind() Kind {
	return Kind{Number: 5003, Name: "RegionShed", Level: Error, Text: "A region is down for a service; requests that the shift cap does not yet let other regions take are refused."}
}

func (RegionShed) sealed() {}

// CreditsVoided reports that unspent credits were dropped.
type CreditsVoided struct {
	// Granter is the entry VM whose credits were dropped; empty means those of all granters.
	Granter string
	Reason  string
}

// Kind implements Event.
func (CreditsVoided) Kind() Kind {
	return Kind{Number: 5004, Name: "CreditsVoided", Level: Warning, Text: "Unspent credits were dropped, for example after a network cut, a process pause or a restart of their granter."}
}

func (CreditsVoided) sealed() {}

// CreditsUnanswered reports that requests for credits to a granter began to fail.
type CreditsUnanswered struct {
	// Granter is the granter's address for other entry VMs.
	Granter string
	Reason  string
}

// Kind implements Event.
func (CreditsUnanswered) Kind() Kind {
	return Kind{Number: 5005, Name: "CreditsUnanswered", Level: Warning, Text: "A request for credits failed; traffic to that entry VM's region waits or is refused until one succeeds."}
}

func (CreditsUnanswered) sealed() {}

// CreditsAnswered reports that a granter grants credits again.
type CreditsAnswered struct {
	// Granter is the granter's address for other entry VMs.
	Granter string
}

// Kind implements Event.
func (CreditsAnswered) Kind() Kind {
	return Kind{Number: 5006, Name: "CreditsAnswered", Level: Info, Text: "An entry VM that did not answer requests for credits or granted none grants credits again."}
}

func (CreditsAnswered) sealed() {}

// CreditsWithheld reports that a granter answered several requests for credits in a row without granting any.
type CreditsWithheld struct {
	// Granter is the granter's address for other entry VMs.
	Granter string
	// Asks is how many requests for credits in a row were granted none.
	Asks int
}

// Kind implements Event.
func (CreditsWithheld) Kind() Kind {
	return Kind{Number: 5007, Name: "CreditsWithheld", Level: Warning, Text: "An entry VM of another region grants no credits: its slots are in use or promised to others."}
}

func (CreditsWithheld) sealed() {}

// LedgerHandedOver reports that a keeper handed its ledger of idempotency keys over to its successors.
type LedgerHandedOver struct{ Keys, Successors int }

// Kind implements Event.
func (LedgerHandedOver) Kind() Kind {
	return Kind{Number: 5010, Name: "LedgerHandedOver", Level: Info, Text: "A keeper that is shutting down handed its ledger of idempotency keys over to its successors."}
}

func (LedgerHandedOver) sealed() {}
