package pacredit

import (
	"time"

	"papayahead/pabundle"
)

const (
	// Term is how long a credit is good. Load: demand of several sources that changes from second
	// to second. Harm: a longer term leaves slots idle with a source that has no use for them or
	// is gone; a shorter one costs messages and a round trip too often. Value: tens of round trips
	// between regions.
	Term = 2 * time.Second
	// transit is how long the owner keeps an expired credit's slot for a request on its way. Harm:
	// without it a request that spends its credit late is refused on arrival. Value: a slow hand-over
	// between regions; what takes longer is refused, not run.
	transit = time.Second
	// maxLot is the most credits in one grant of a service; they are marked in one word.
	maxLot = 64
	// localPart is the part of the slots kept for local work. Harm: callers of the own zone find
	// all slots promised away for a term. Value: local work that comes without notice is served
	// while the grants run out; at three slots a target it is one slot in four.
	localPart = 0.25
	// demandAge is how long a source's last demand counts in the split. Value: two terms, so that
	// one lost Ask does not change the split.
	demandAge = 2 * Term
	// shortAge is how long a source whose requests wait keeps its turn without asking again. Harm of
	// more: slots wait for one that is gone. Value: several pauses between asks.
	shortAge = 500 * time.Millisecond
	// maxSources, maxItems and maxPending bound memory against bad peers.
	maxSources, maxItems, maxPending = 4096, 64, 8
)

// Identity is one start of an entry VM.
type Identity struct {
	Name pabundle.EntryName
	// Incarnation tells the starts apart; it rises.
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
	// Sequence rises with each Ask of one incarnation.
	Sequence uint64
	// Items are what the source could use beyond what it holds.
	Items []Item
}

// Grant answers an Ask.
type Grant struct {
	Granter Identity
	// Source and Sequence repeat those of the Ask.
	Source   Identity
	Sequence uint64
	Items    []Item
	// Term counts from the sending of the Ask.
	Term time.Duration
}

// CreditRef names one credit; it travels with the request that spends it.
type CreditRef struct {
	Source Identity
	// Granter is the incarnation that granted.
	Granter  uint64
	Sequence uint64
	Service  pabundle.ServiceName
	Index    int
}

// Load is what an owner knows of its slots for a service.
type Load struct {
	// Slots is how many requests its targets run at once.
	Slots int
	// Local is the local work that runs, Waiting the local work that waits for a slot.
	Local, Waiting int
}

// Redemption is the outcome of presenting a credit.
type Redemption int

// The redemptions.
const (
	// Start means that the credit is spent and the request runs; call Granter.Done at its end.
	Start Redemption = iota
	// Void means that the credit is expired, spent or of another incarnation: not run.
	Void
	// Full means that the slots went away since the grant: not run.
	Full
)

// String returns the redemption's name.
func (r Redemption) String() string {
	return [...]string{"Start", "Void", "Full"}[r]
}
