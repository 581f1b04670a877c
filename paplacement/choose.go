package paplacement

import (
	"time"

	"papayahead/pabundle"
)

const (
	// MaxReportAge is the age at which gossiped free slots count no more. Gossip comes about once a
	// second and the slots turn over ten times in it: an older report says nothing about now.
	MaxReportAge = 3 * time.Second
	// Margin is how much sooner another owner has to be before a request leaves this one. Load: two
	// owners equally busy. Harm prevented: they hand each other work on the noise of predictions.
	Margin = 2 * time.Millisecond
	// RegionMargin is the same for another region, where link room is spent as well.
	RegionMargin = 10 * time.Millisecond
	// HeadroomReserves is how many of the bundle's reserves HeadroomFirst leaves free at another
	// region, where LatencyFirst leaves one. Harm of less: the policies do not differ; of more:
	// work is refused that another region had room for.
	HeadroomReserves = 2
	// LongTransferBytes is the size above which a request and its answer count as a long transfer: it takes
	// 2 ms of the narrowest link, as much as the margin between two owners.
	LongTransferBytes = 64 << 10
	// MaxLongLinkUse is the use of a link above which no more long transfers are sent over it. Load: restores
	// that fill a narrow link. Harm prevented: short requests find no room on it, or wait behind.
	MaxLongLinkUse = 0.8
	// HeadroomMaxLongLinkUse is the same for HeadroomFirst: half of a narrow link stays for short requests.
	HeadroomMaxLongLinkUse = 0.5
	// HeadroomWeight is how many run times HeadroomFirst would rather wait than fill the last slot.
	HeadroomWeight = 1.0
)

// None is the choice of no candidate.
const None = -1

// Choose returns the index of the candidate to send a request to, or None when no candidate within
// the limits is expected to answer in time.
func Choose(p pabundle.Policy, r Request, candidates []Candidate) int {
	best := None
	var bestScore time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !WithinLimits(p, r, c) || Completion(r, c) > r.TimeLeft {
			continue
		}
		s := score(p, r, c)
		if best == None || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// WithinLimits says whether the limits allow a request at a candidate at all. Load: every source sees
// the same free region at once. Harm prevented: together they overload it, or fill the link to it.
// Each limit is exact at its sender: a credit is a slot that the destination set aside.
func WithinLimits(p pabundle.Policy, r Request, c *Candidate) bool {
	if c.Slots <= 0 || c.Full && c.Age <= MaxReportAge {
		return false
	}
	if c.Distance != OtherRegion {
		return true
	}
	if !c.Allowed || c.Credits <= 0 || c.LinkRoom < r.Bytes {
		return false
	}
	reserve, long := p.Reserve, MaxLongLinkUse
	if p.First == pabundle.HeadroomFirst {
		reserve *= HeadroomReserves
		long = HeadroomMaxLongLinkUse
	}
	if r.Bytes > LongTransferBytes && c.LinkUtilization > long {
		return false
	}
	return c.Utilization < 1-reserve
}

// Completion returns when a candidate is expected to answer, from now. Reported free slots count
// less the older the report is: by its age limit they count as taken.
func Completion(r Request, c *Candidate) time.Duration {
	return c.Delay + wait(r, c) + r.Run
}

func wait(r Request, c *Candidate) time.Duration {
	switch {
	case c.Distance == Own:
		return c.Wait
	case c.Distance == OtherRegion && c.Credits > 0:
		// A credit is a slot set aside, whatever the last report said.
		return 0
	}
	fresh := 1 - float64(c.Age)/float64(MaxReportAge)
	if fresh <= 0 {
		// Measurements have stopped. Nothing is known, so it comes last; it says itself whether it
		// has room, at the price of a round trip within the region.
		return max(0, r.TimeLeft-r.Run-c.Delay)
	}
	if float64(c.Free)*fresh >= 1 {
		return 0
	}
	return max(c.Wait, r.Run/time.Duration(max(1, c.Slots)))
}

func score(p pabundle.Policy, r Request, c *Candidate) time.Duration {
	s := Completion(r, c) + margin(c.Distance)
	if p.First != pabundle.HeadroomFirst {
		return s
	}
	s += time.Duration(HeadroomWeight * c.Utilization * float64(r.Run))
	if c.Distance == OtherRegion {
		// Behind everything in the own region that answers in time.
		s += r.TimeLeft
	}
	return s
}

func margin(d Distance) time.Duration {
	switch d {
	case SameRegion:
		return Margin
	case OtherRegion:
		return RegionMargin
	default:
		return 0
	}
}
