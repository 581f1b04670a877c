package pacredit

import (
	"time"

	"papayahead/pabundle"
)

const (
	// Term is the lifetime of a credit. The demand of each source changes from second to second: a
	// longer term leaves slots idle at a source that does not need them or has failed, a shorter one
	// costs extra messages and round trips. It spans tens of round trips between regions.
	Term = 2 * time.Second
	// transitMargin is how long the owner reserves the slot of an expired credit for a request in transit.
	// Without it, a request that spends its credit at the end of the term is refused on arrival. It
	// covers a slow transfer between regions; requests that take longer are refused.
	transitMargin = time.Second
	// maxBatch is the most credits per service in one grant; spent credits are marked in a 64-bit mask.
	maxBatch = 64
	// localShare is the fraction of the slots reserved for local requests. Without it, outstanding
	// credits could block all slots for callers of the owner's own zone for a whole term. A quarter
	// serves a sudden rise of local requests until the credits expire.
	localShare = 0.25
	// maxDemandAge is how long the last demand of a source counts when slots are divided among sources.
	// Two terms, so that one lost Ask does not change the division.
	maxDemandAge = 2 * Term
	// maxShortageAge is how long a source with waiting requests keeps its turn without asking again. It
	// covers several intervals between asks; a longer time reserves slots for a source that has failed.
	maxShortageAge = 500 * time.Millisecond
	// maxSources, maxItems and maxPending bound the memory that a misbehaving peer can use.
	maxSources, maxItems, maxPending = 4096, 64, 8
)

// Identity identifies one process of an entry VM.
type Identity struct {
	Name pabundle.EntryName
	// Incarnation rises with each start of the VM's process.
	Incarnation uint64
}

// Item is a number of credits for a service.
type Item struct {
	Service pabundle.ServiceName
	Count   int
}

// Ask is a source's request for credits.
type Ask struct {
	Source Identity
	// Sequence rises with each Ask of an incarnation.
	Sequence uint64
	// Items are the credits that the source could use in addition to those it holds.
	Items []Item
}

// Grant answers an Ask.
type Grant struct {
	Granter Identity
	// Source and Sequence repeat those of the Ask.
	Source   Identity
	Sequence uint64
	Items    []Item
	// Term is the lifetime of the credits, counted from when the Ask was sent.
	Term time.Duration
}

// CreditRef identifies one credit; it is sent with the request that spends it.
type CreditRef struct {
	Source Identity
	// Granter is the incarnation of the granter that issued the credit.
	Granter  uint64
	Sequence uint64
	Service  pabundle.ServiceName
	Index    int
}

// Load is the owner's slots and local requests for a service.
type Load struct {
	// Slots is how many requests the owner's targets can run concurrently.
	Slots int
	// Local counts running local requests, Waiting local requests that wait for a slot.
	Local, Waiting int
}

// Redemption is the result of redeeming a credit.
type Redemption int

// The results of a redemption.
const (
	// Start means that the credit is now spent and the request may start; call Granter.Done at its end.
	Start Redemption = iota
	// Void means that the credit has expired, is already spent or belongs to another incarnation; the
	// request must not start.
	Void
	// Full means that no slot is free because capacity fell after the grant; the request must not start.
	Full
)

// String returns the name of the result.
func (r Redemption) String() string {
	return [...]string{"Start", "Void", "Full"}[r]
}
