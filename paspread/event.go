package paspread

import (
	"papayahead/pabundle"
)

// MaxPieceBytes bounds a piece: the platform's store holds values up to a megabyte.
const MaxPieceBytes = 1 << 20

// Source is where heads and pieces come from: a peer, or the store.
type Source struct {
	Peer pabundle.EntryName
	// Store is set for the platform's store; Peer is empty then.
	Store bool
}

// Event is something that a Spread is told.
type Event interface{ event() }

// Tick says that time has passed; it is due every 200 ms.
type Tick struct{}

// Peers replaces the neighbours: the live members of the own region, and, for a relay, some of other regions.
type Peers struct{ SameRegion, OtherRegions []pabundle.EntryName }

// Boot begins the spreading: ask the neighbours, and wait for the highest head.
type Boot struct{}

// StoreHeadRead is a head read from the store.
type StoreHeadRead struct{ Head pabundle.Head }

// NewerSequenceSeen says that a peer is known to have a sequence in force (pamember.AdvertSeen).
type NewerSequenceSeen struct {
	Peer     pabundle.EntryName
	Sequence pabundle.Sequence
}

// HeadReceived is the head that a peer has in force, from its offer or its answer to ours; a zero Head says that it has none.
type HeadReceived struct {
	Peer pabundle.EntryName
	Head pabundle.Head
}

// FetchResult is the answer to a Fetch.
type FetchResult struct {
	From   Source
	Digest pabundle.Digest
	// Data is nil if the source does not have the piece, or did not answer.
	Data []byte
}

func (Tick) event()              {}
func (Peers) event()             {}
func (Boot) event()              {}
func (StoreHeadRead) event()     {}
func (NewerSequenceSeen) event() {}
func (HeadReceived) event()      {}
func (FetchResult) event()       {}

// Command is something that the caller of Step has to do.
type Command interface{ command() }

// Offer sends the own head to a peer; the peer answers with its own, which comes back as Offered.
type Offer struct {
	To   pabundle.EntryName
	Head pabundle.Head
}

// Fetch asks a source for a piece; the answer, also a failure, comes back as Fetched.
type Fetch struct {
	From   Source
	Digest pabundle.Digest
}

// Adopted says that a higher head is whole: it is in force from now.
type Adopted struct {
	Head pabundle.Head
	// Pieces are those of the head's bundle, by digest.
	Pieces map[pabundle.Digest][]byte
}

// Rejected says that a source sent something false, and what.
type Rejected struct {
	From  Source
	Fault Fault
}

func (Offer) command()    {}
func (Fetch) command()    {}
func (Adopted) command()  {}
func (Rejected) command() {}

// Fault is what was wrong with something received.
type Fault uint8

// The faults.
const (
	// CorruptPiece does not have the digest that it was asked by.
	CorruptPiece Fault = iota + 1
	// OversizedPiece is larger than MaxPieceBytes.
	OversizedPiece
	// UnreadablePiece has the right digest but names no pieces where it should.
	UnreadablePiece
	// ForeignHead is of another deployment.
	ForeignHead
	// ConflictingHead has the sequence in force but another digest; compare-and-swap makes that impossible.
	ConflictingHead
)

// String returns the fault's name.
func (f Fault) String() string {
	switch f {
	case CorruptPiece:
		return "CorruptPiece"
	case OversizedPiece:
		return "OversizedPiece"
	case UnreadablePiece:
		return "UnreadablePiece"
	case ForeignHead:
		return "ForeignHead"
	default:
		return "ConflictingHead"
	}
}
