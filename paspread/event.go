package paspread

import (
	"papayahead/pabundle"
)

// MaxPieceBytes is the largest size of a piece: the platform's store holds values up to a megabyte.
const MaxPieceBytes = 1 << 20

// Source is the origin of heads and pieces: a peer or the store.
type Source struct {
	Peer pabundle.EntryName
	// Store is set for the platform's store; Peer is empty then.
	Store bool
}

// Event is an input of Replicator.Step.
type Event interface{ event() }

// Tick drives the timers; the caller sends one every 200 ms.
type Tick struct{}

// Peers replaces the peers: the live members of the own region and, on a relay, some of other regions.
type Peers struct{ SameRegion, OtherRegions []pabundle.EntryName }

// Boot starts the Replicator: it asks peers for their heads and waits for the highest.
type Boot struct{}

// StoreHeadRead is a head read from the store.
type StoreHeadRead struct{ Head pabundle.Head }

// NewerSequenceSeen says that a peer has a sequence in force (pamember.NewerConfigSeen).
type NewerSequenceSeen struct {
	Peer     pabundle.EntryName
	Sequence pabundle.Sequence
}

// HeadReceived is the head that a peer has in force, from its offer or its answer to an Offer. A zero Head means that
// it has none.
type HeadReceived struct {
	Peer pabundle.EntryName
	Head pabundle.Head
}

// FetchResult is the result of a Fetch.
type FetchResult struct {
	From   Source
	Digest pabundle.Digest
	// Data is nil if the source does not have the piece or did not answer.
	Data []byte
}

func (Tick) event()              {}
func (Peers) event()             {}
func (Boot) event()              {}
func (StoreHeadRead) event()     {}
func (NewerSequenceSeen) event() {}
func (HeadReceived) event()      {}
func (FetchResult) event()       {}

// Command is an action that the caller of Step has to perform.
type Command interface{ command() }

// Offer sends the own head to a peer; the head that the peer answers with comes back as HeadReceived.
type Offer struct {
	To   pabundle.EntryName
	Head pabundle.Head
}

// Fetch requests a piece from a source; the result, also of a failure, comes back as FetchResult.
type Fetch struct {
	From   Source
	Digest pabundle.Digest
}

// Adopted says that all pieces of a higher head are there: it is in force from now on.
type Adopted struct {
	Head pabundle.Head
	// Pieces are the pieces of the head's bundle by digest.
	Pieces map[pabundle.Digest][]byte
}

// Rejected says that a source sent invalid data, and what was wrong with it.
type Rejected struct {
	From  Source
	Fault Fault
}

func (Offer) command()    {}
func (Fetch) command()    {}
func (Adopted) command()  {}
func (Rejected) command() {}

// Fault says what was wrong with received data.
type Fault uint8

// The faults.
const (
	// CorruptPiece is a piece that does not match the digest it was requested by.
	CorruptPiece Fault = iota + 1
	// OversizedPiece is a piece larger than MaxPieceBytes.
	OversizedPiece
	// UnreadablePiece is a piece with the right digest whose list of child pieces can't be decoded.
	UnreadablePiece
	// ForeignHead is a head of another deployment, or a malformed one.
	ForeignHead
	// ConflictingHead is a head with the sequence in force but another digest; compare-and-swap makes that impossible.
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
