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

// Event is something that the control state is told.
type Event interface{ event() }

// Tick says that time has passed; it is due every TickInterval.
type Tick struct{}

// VMsListed is a successful read of the platform's VM list, in whole.
type VMsListed struct{ VMs []paplatform.VM }

// HeadFound is a head read from the store.
type HeadFound struct{ Head pabundle.Head }

// HeadOffered is the head that a peer has in force; a zero Head says that it has none.
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

// Offered is a request that wants a place.
type Offered struct {
	Request paowner.Request
	// Identity names the request over all hops.
	Identity string
	// From is the region that the caller belongs to; empty for a request that a peer forwarded.
	From pabundle.RegionName
	// Origin is the entry VM that forwarded the request; empty for one of a caller.
	Origin pabundle.EntryName
	// Credit is the encoded credit that a request from another region redeems.
	Credit string
	// Key is the caller's key of a request that must not run twice; empty for all others.
	Key string
	// BodyDigest tells another request under the same key apart.
	BodyDigest uint64
	// FirstSent is when the caller sent its first copy, zero if it did not say; Repeat marks later copies.
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

// RequestDone says that a request is over at this entry VM, however it ended; every Offered has one.
type RequestDone struct{ Request paowner.RequestID }

// CreditAsked is another entry VM's request for credits; its effect is a ReplyGrant.
type CreditAsked struct {
	Ask pacredit.Ask
	// Ahead says that no request waits for them yet.
	Ahead bool
}

// CreditGranted answers an AskCredit.
type CreditGranted struct{ Grant pacredit.Grant }

// Announced is another entry VM's view of who counts; its effect is a ReplyAnnounce.
type Announced struct{ Announcement paview.Announcement }

// ClaimAsked is another entry VM's claim of a key; its effect is a ReplyClaim.
type ClaimAsked struct{ Claim paledger.Claim }

// Claimed answers a ClaimKey; Lost says that no answer came.
type Claimed struct {
	Request paowner.RequestID
	Reply   paledger.Reply
	Lost    bool
}

// KeySettled is another entry VM's word on how a granted copy ended.
type KeySettled struct{ Settlement paledger.Settlement }

// KeysHandedOver is a part of a leaving keeper's memory.
type KeysHandedOver struct{ Handover paledger.Handover }

// CPUMeasured is the busy share of this VM's processors, 0 to 1.
type CPUMeasured struct{ Busy float64 }

// Probed is the end of a probe.
type Probed struct {
	Target pabundle.TargetName
	OK     bool
}

// Draining is the target's own word, on an answer, that it is about to stop.
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

// TickInterval is how often Tick is due. Load: queues whose waits are tens of milliseconds. Harm of
// more: refusals that are due stand for as long, and 20 ms put their p99 at 13.6 ms in bursts; of
// less: an idle daemon wakes for nothing.
const TickInterval = 8 * time.Millisecond
