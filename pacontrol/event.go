package pacontrol

import (
	"time"

	"papayahead/pabundle"
	"papayahead/pacredit"
	"papayahead/paledger"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paplatform"
	"papayahead/paspread"
	"papayahead/paview"
)

// Event is an input of the control state.
type Event interface{ event() }

// Tick advances timers; it is due every TickInterval.
type Tick struct{}

// VMsListed is a successful and complete read of the platform's VM list.
type VMsListed struct{ VMs []paplatform.VM }

// HeadFound is a head read from the store.
type HeadFound struct{ Head pabundle.Head }

// HeadOffered is the head that a peer has in force; zero if it has none.
type HeadOffered struct {
	Peer pabundle.EntryName
	Head pabundle.Head
}

// PieceFetched answers a FetchPiece; Data is nil if the source does not have the piece or did not answer.
type PieceFetched struct {
	From   paspread.Source
	Digest pabundle.Digest
	Data   []byte
}

// MemberMessage is a membership message from another entry VM.
type MemberMessage struct{ Message pamember.Message }

// Offered is a request to be admitted and placed.
type Offered struct {
	Request paowner.Request
	// Identity identifies the request across all hops.
	Identity string
	// From is the region that the caller belongs to; empty for a request that a peer forwarded.
	From pabundle.RegionName
	// Origin is the entry VM that forwarded the request; empty for one of a caller.
	Origin pabundle.EntryName
	// Credit is the encoded credit that a request from another region redeems.
	Credit string
	// Key is the caller's idempotency key of a request that must not run twice; empty for all others.
	Key string
	// BodyDigest distinguishes different requests under the same key.
	BodyDigest uint64
	// FirstSent is when the caller sent its first copy, zero if unknown; Repeat marks later copies.
	FirstSent time.Time
	Repeat    bool
}

// Ended is the end of an attempt at a request.
type Ended struct {
	Request paowner.RequestID
	Result  paowner.Result
	// Status is the HTTP status of an answer.
	Status int
}

// RequestDone reports that a request is over at this entry VM, however it ended; every Offered is followed by one.
type RequestDone struct{ Request paowner.RequestID }

// CreditAsked is another entry VM's ask for credits; its effect is a ReplyGrant.
type CreditAsked struct {
	Ask pacredit.Ask
	// Ahead is set if no request waits for the credits yet.
	Ahead bool
}

// CreditGranted answers an AskCredit.
type CreditGranted struct{ Grant pacredit.Grant }

// Announced is another entry VM's view of the member set; its effect is a ReplyAnnounce.
type Announced struct{ Announcement paview.Announcement }

// ClaimAsked is another entry VM's claim of a key; its effect is a ReplyClaim.
type ClaimAsked struct{ Claim paledger.Claim }

// Claimed answers a ClaimKey; Lost is set if no answer came.
type Claimed struct {
	Request paowner.RequestID
	Reply   paledger.Reply
	Lost    bool
}

// KeySettled is another entry VM's report on how a granted request ended.
type KeySettled struct{ Settlement paledger.Settlement }

// KeysHandedOver is a part of the ledger of a keeper that shuts down.
type KeysHandedOver struct{ Handover paledger.Handover }

// CPUMeasured is this VM's CPU utilization, 0 to 1.
type CPUMeasured struct{ Busy float64 }

// Probed is the result of a Probe.
type Probed struct {
	Target pabundle.TargetName
	OK     bool
}

// Draining reports that a target announced its shutdown in an answer.
type Draining struct{ Target pabundle.TargetName }

// StopAsked begins the graceful shutdown.
type StopAsked struct{}

// Departed ends the membership, after the last request has ended.
type Departed struct{}

func (Tick) event()           {}
func (VMsListed) event()      {}
func (HeadFound) event()      {}
func (HeadOffered) event()    {}
func (PieceFetched) event()   {}
func (MemberMessage) event()  {}
func (Offered) event()        {}
func (Ended) event()          {}
func (Probed) event()         {}
func (Draining) event()       {}
func (StopAsked) event()      {}
func (Departed) event()       {}
func (RequestDone) event()    {}
func (CreditAsked) event()    {}
func (CreditGranted) event()  {}
func (Announced) event()      {}
func (ClaimAsked) event()     {}
func (Claimed) event()        {}
func (KeySettled) event()     {}
func (KeysHandedOver) event() {}
func (CPUMeasured) event()    {}

// TickInterval is how often Tick is due; waits in queues are tens of milliseconds. A longer interval
// delays refusals that are due: with 20 ms their p99 was 13.6 ms in bursts. A shorter one wakes an idle
// daemon for nothing.
const TickInterval = 8 * time.Millisecond
