package paevent

// bundleEvents have the numbers 2001 to 2999: bundles, roll-outs and the platform's store.
var bundleEvents = []Event{
	BundleInForce{}, HeadRefused{}, SequenceFork{}, StoreBehind{},
	PieceRefused{}, BundleUnavailable{}, StoreUnreachable{}, StoreReachable{},
}

// BundleInForce reports that a daemon routes requests by a newly verified bundle.
type BundleInForce struct {
	Subject
	Digest, RollID, Operator string
	// DelayMilliseconds is the time since the operator's command: this VM's clock minus the one that stamped the command,
	// so it includes the difference between the two.
	DelayMilliseconds int64
}

// Kind implements Event.
func (BundleInForce) Kind() Kind {
	return Kind{Number: 2001, Name: "BundleInForce", Level: Info, Text: "A bundle was verified and is in force on this daemon."}
}

func (BundleInForce) sealed() {}

// HeadRefused reports a bundle head that is malformed or belongs to another deployment.
type HeadRefused struct {
	Subject
	Digest, Source, Reason string
}

// Kind implements Event.
func (HeadRefused) Kind() Kind {
	return Kind{Number: 2003, Name: "HeadRefused", Level: Warning, Text: "A bundle head was rejected; the current bundle stays in force."}
}

func (HeadRefused) sealed() {}

// SequenceFork reports two different heads with the same sequence number.
type SequenceFork struct {
	Subject
	Current, Other, Source string
}

// Kind implements Event.
func (SequenceFork) Kind() Kind {
	return Kind{Number: 2004, Name: "SequenceFork", Level: Error, Text: "Two different heads have the same sequence number: the store lost writes. Roll out with --floor above this number."}
}

func (SequenceFork) sealed() {}

// StoreBehind reports that the store's head is older than the one in force here.
type StoreBehind struct {
	Subject
	// Store is the sequence number of the store's head.
	Store uint64
}

// Kind implements Event.
func (StoreBehind) Kind() Kind {
	return Kind{Number: 2005, Name: "StoreBehind", Level: Error, Text: "The store's head is older than the one in force: the store lost writes. Roll out with --floor above the sequence number in force."}
}

func (StoreBehind) sealed() {}

// PieceRefused reports a piece that is corrupt, truncated or too large.
type PieceRefused struct {
	Subject
	Digest, Source, Reason string
}

// Kind implements Event.
func (PieceRefused) Kind() Kind {
	return Kind{Number: 2006, Name: "PieceRefused", Level: Warning, Text: "A piece of a bundle was rejected and will be requested again; the current bundle stays in force."}
}

func (PieceRefused) sealed() {}

// BundleUnavailable reports that a bundle could not be fetched or is not valid.
type BundleUnavailable struct {
	Subject
	Digest, Reason string
	Missing        int
}

// Kind implements Event.
func (BundleUnavailable) Kind() Kind {
	return Kind{Number: 2007, Name: "BundleUnavailable", Level: Warning, Text: "A bundle could not be fetched or is invalid; the current bundle stays in force."}
}

func (BundleUnavailable) sealed() {}

// StoreUnreachable reports the start of an outage of the store, as this daemon sees it.
type StoreUnreachable struct{ Reason string }

// Kind implements Event.
func (StoreUnreachable) Kind() Kind {
	return Kind{Number: 2008, Name: "StoreUnreachable", Level: Warning, Text: "The platform's store does not answer; the current bundle stays in force."}
}

func (StoreUnreachable) sealed() {}

// StoreReachable reports the end of an outage of the store.
type StoreReachable struct{ OutageMilliseconds int64 }

// Kind implements Event.
func (StoreReachable) Kind() Kind {
	return Kind{Number: 2009, Name: "StoreReachable", Level: Info, Text: "The platform's store answers again."}
}

func (StoreReachable) sealed() {}
