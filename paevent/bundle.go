package paevent

// bundleEvents are numbers 2001 to 2999: bundles, roll-outs and the platform.
var bundleEvents = []Event{
	BundleInForce{}, HeadRefused{}, SequenceFork{}, StoreBehind{},
	PieceRefused{}, BundleUnavailable{}, StoreUnreachable{}, StoreReachable{},
}

// BundleInForce reports that a daemon steers by a bundle from now on.
type BundleInForce struct {
	Subject
	Digest, RollID, Operator string
	// DelayMilliseconds is the time since the operator's command, by both clocks.
	DelayMilliseconds int64
}

// Kind returns the catalogue's entry.
func (BundleInForce) Kind() Kind {
	return Kind{Number: 2001, Name: "BundleInForce", Level: Info, Text: "A bundle was verified and is in force on this daemon."}
}

func (BundleInForce) sealed() {}

// HeadRefused reports a head that is of another deployment or malformed.
type HeadRefused struct {
	Subject
	Digest, Source, Reason string
}

// Kind returns the catalogue's entry.
func (HeadRefused) Kind() Kind {
	return Kind{Number: 2003, Name: "HeadRefused", Level: Warning, Text: "A head was refused; the bundle in force stays."}
}

func (HeadRefused) sealed() {}

// SequenceFork reports two different heads under one sequence.
type SequenceFork struct {
	Subject
	Current, Other, Source string
}

// Kind returns the catalogue's entry.
func (SequenceFork) Kind() Kind {
	return Kind{Number: 2004, Name: "SequenceFork", Level: Error, Text: "Two heads carry one sequence: the store lost writes. Roll out with a floor above it."}
}

func (SequenceFork) sealed() {}

// StoreBehind reports that the store's head is older than the one in force here.
type StoreBehind struct {
	Subject
	// Store is the store's sequence.
	Store uint64
}

// Kind returns the catalogue's entry.
func (StoreBehind) Kind() Kind {
	return Kind{Number: 2005, Name: "StoreBehind", Level: Error, Text: "The store's head is older than the one in force: the store lost writes. Roll out with a floor above it."}
}

func (StoreBehind) sealed() {}

// PieceRefused reports a piece that is corrupt, truncated or too large.
type PieceRefused struct {
	Subject
	Digest, Source, Reason string
}

// Kind returns the catalogue's entry.
func (PieceRefused) Kind() Kind {
	return Kind{Number: 2006, Name: "PieceRefused", Level: Warning, Text: "A piece of a bundle was refused; the bundle in force stays, and the piece is asked for again."}
}

func (PieceRefused) sealed() {}

// BundleUnavailable reports that a bundle could not be fetched or is not valid.
type BundleUnavailable struct {
	Subject
	Digest, Reason string
	Missing        int
}

// Kind returns the catalogue's entry.
func (BundleUnavailable) Kind() Kind {
	return Kind{Number: 2007, Name: "BundleUnavailable", Level: Warning, Text: "A bundle could not be brought into force yet; the one in force stays."}
}

func (BundleUnavailable) sealed() {}

// StoreUnreachable reports the start of an outage of the store, as this daemon sees it.
type StoreUnreachable struct{ Reason string }

// Kind returns the catalogue's entry.
func (StoreUnreachable) Kind() Kind {
	return Kind{Number: 2008, Name: "StoreUnreachable", Level: Warning, Text: "The platform's store does not answer; the bundle in force stays."}
}

func (StoreUnreachable) sealed() {}

// StoreReachable reports the end of an outage of the store.
type StoreReachable struct{ OutageMilliseconds int64 }

// Kind returns the catalogue's entry.
func (StoreReachable) Kind() Kind {
	return Kind{Number: 2009, Name: "StoreReachable", Level: Info, Text: "The platform's store answers again."}
}

func (StoreReachable) sealed() {}
