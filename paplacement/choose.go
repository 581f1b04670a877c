package paplacement

import (
	"time"

	"papayahead/pabundle"
)

const (
	// MaxReportAge is the age from which the free slots of a report are ignored. Reports are gossiped about
	// once a second, in which the slots turn over ten times: an older one says nothing about the current
	// state.
	MaxReportAge = 3 * time.Second
	// Margin is the gain in expected completion that another owner in the region has to offer. Without it
	// two equally busy owners would forward requests to each other because of prediction noise.
	Margin = 2 * time.Millisecond
	// RegionMargin is the same for another region; it is larger because link capacity is used as well.
	RegionMargin = 10 * time.Millisecond
	// HeadroomReserves is how many times the bundle's reserve HeadroomFirst leaves free in another region,
	// where LatencyFirst leaves one reserve. With lower values the policies don't differ; higher values
	// refuse requests for which another region has capacity.
	HeadroomReserves = 2
	// LongTransferBytes is the size above which a request and its answer count as a long transfer. This size
	// takes 2 ms on the narrowest link, as much as Margin.
	LongTransferBytes = 64 << 10
	// MaxLongLinkUse is the link utilization above which no further long transfers are sent over the link.
	// Otherwise transfers such as restores would fill a narrow link, on which short requests would then
	// be rejected or delayed.
	MaxLongLinkUse = 0.8
	// HeadroomMaxLongLinkUse is the same for HeadroomFirst. It keeps half of a narrow link for short requests.
	HeadroomMaxLongLinkUse = 0.5
	// HeadroomWeight is the penalty of HeadroomFirst for a fully utilized candidate, in run times.
	HeadroomWeight = 1.0
)

// None is returned instead of an index if there is no choice.
const None = -1

// Choose returns the index of the candidate to which a request is sent, or None if no candidate within
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

// WithinLimits says whether the hard limits permit a request at a candidate. Otherwise all entry VMs
// that see the same free region at once would together overload it, or fill the link to it. Each sender
// can enforce its limits exactly, because a credit is a slot that the destination reserved for it.
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

// Completion returns the time from now until a candidate is expected to answer. The weight of reported
// free slots falls linearly with the age of the report, to zero at MaxReportAge.
func Completion(r Request, c *Candidate) time.Duration {
	return c.Delay + wait(r, c) + r.Run
}

// wait returns the expected time until the request gets a slot at the candidate.
func wait(r Request, c *Candidate) time.Duration {
	switch {
	case c.Distance == Own:
		return c.Wait
	case c.Distance == OtherRegion && c.Credits > 0:
		// A credit is a slot reserved at the destination, whatever the last report said.
		return 0
	}
	fresh := 1 - float64(c.Age)/float64(MaxReportAge)
	if fresh <= 0 {
		// Without a recent report the candidate gets the longest wait that still meets the deadline, so that
		// it is chosen last. If it has no free slot it rejects the request, which costs one round trip
		// within the region.
		return max(0, r.TimeLeft-r.Run-c.Delay)
	}
	if float64(c.Free)*fresh >= 1 {
		return 0
	}
	return max(c.Wait, r.Run/time.Duration(max(1, c.Slots)))
}

// score returns the expected completion plus the margin of the distance and the penalties of
// HeadroomFirst; the candidate with the lowest score is chosen.
func score(p pabundle.Policy, r Request, c *Candidate) time.Duration {
	s := Completion(r, c) + margin(c.Distance)
	if p.First != pabundle.HeadroomFirst {
		return s
	}
	s += time.Duration(HeadroomWeight * c.Utilization * float64(r.Run))
	if c.Distance == OtherRegion {
		// Adding the time left ranks another region after every candidate in this region that answers in time.
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
