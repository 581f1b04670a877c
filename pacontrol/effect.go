package pacontrol

import (
	"net/netip"
	"time"

	"papayahead/pabundle"
	"papayahead/pacredit"
	"papayahead/paevent"
	"papayahead/paledger"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paspread"
	"papayahead/patarget"
	"papayahead/paview"
)

// Effect is an action that the daemon carries out.
type Effect interface{ effect() }

// Start sends a request to a target that this entry VM owns; Ended reports the attempt's end.
type Start struct {
	Request     paowner.RequestID
	Attempt     int
	Target      pabundle.TargetName
	Address     netip.AddrPort
	Connections int
}

// Forward sends a request to another entry VM; Ended reports the attempt's end.
type Forward struct {
	Request     paowner.RequestID
	Attempt     int
	Entry       pabundle.EntryName
	Region      pabundle.RegionName
	Address     netip.AddrPort
	Incarnation uint64
	// Credit is the encoded credit that the request redeems there; empty within a region.
	Credit string
	// MaxWait goes with the request: the wait here, which the other owner has to undercut.
	MaxWait time.Duration
}

// Refuse is the final answer to a request that did not run.
type Refuse struct {
	Request    paowner.RequestID
	Reason     string
	RetryAfter time.Duration
}

// Fail is the final answer to a request that may have run.
type Fail struct {
	Request paowner.RequestID
	Outcome patarget.Outcome
}

// Conclude is the final answer to a request that was not sent because of what is known of its key.
type Conclude struct {
	Request paowner.RequestID
	Outcome paledger.Outcome
	Reason  string
	// Status is the HTTP status of the answer that an earlier copy got.
	Status     int
	RetryAfter time.Duration
}

// AskCredit asks an entry VM of another region for credits; CreditGranted reports the answer.
type AskCredit struct {
	Address netip.AddrPort
	Ask     pacredit.Ask
	// Ahead is set if no request waits for the credits yet.
	Ahead bool
}

// ReplyGrant answers a CreditAsked.
type ReplyGrant struct{ Grant pacredit.Grant }

// Announce sends this entry VM's view of the member set to another of the region; Announced reports the
// answer.
type Announce struct {
	Address      netip.AddrPort
	Announcement paview.Announcement
}

// ReplyAnnounce answers an Announced.
type ReplyAnnounce struct{ Announcement paview.Announcement }

// ClaimKey asks the keeper of an idempotency key whether a request may run; Claimed reports the answer.
type ClaimKey struct {
	Request paowner.RequestID
	Address netip.AddrPort
	Claim   paledger.Claim
}

// ReplyClaim answers a ClaimAsked.
type ReplyClaim struct{ Reply paledger.Reply }

// SettleKey tells a keeper how a request that it granted ended.
type SettleKey struct {
	Address    netip.AddrPort
	Settlement paledger.Settlement
}

// HandOverKeys sends a part of this keeper's ledger to a successor.
type HandOverKeys struct {
	Address  netip.AddrPort
	Handover paledger.Handover
}

// Send hands a membership message to the network.
type Send struct{ Envelope pamember.Envelope }

// Probe checks a target's health over a new connection; Probed reports the result.
type Probe struct {
	Target  pabundle.TargetName
	Address netip.AddrPort
}

// CloseConnections closes the connections to a target that carry no request.
type CloseConnections struct{ Address netip.AddrPort }

// OfferHead sends this daemon's head to a peer; HeadOffered reports the peer's.
type OfferHead struct {
	To      pabundle.EntryName
	Address netip.AddrPort
	Head    pabundle.Head
}

// FetchPiece asks the store or a peer for a piece of a bundle; PieceFetched reports the answer.
type FetchPiece struct {
	From    paspread.Source
	Address netip.AddrPort
	Digest  pabundle.Digest
}

// RecordEvent records an event.
type RecordEvent struct{ Event paevent.Event }

func (Start) effect()            {}
func (Forward) effect()          {}
func (Refuse) effect()           {}
func (Fail) effect()             {}
func (Conclude) effect()         {}
func (AskCredit) effect()        {}
func (ReplyGrant) effect()       {}
func (Announce) effect()         {}
func (ReplyAnnounce) effect()    {}
func (ClaimKey) effect()         {}
func (ReplyClaim) effect()       {}
func (SettleKey) effect()        {}
func (HandOverKeys) effect()     {}
func (Send) effect()             {}
func (Probe) effect()            {}
func (CloseConnections) effect() {}
func (OfferHead) effect()        {}
func (FetchPiece) effect()       {}
func (RecordEvent) effect()      {}
