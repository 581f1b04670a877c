package paplacement

import (
	"time"

	"papayahead/pabundle"
)

// Distance is how far a candidate is from the deciding entry VM.
type Distance int

// The distances.
const (
	// Own are the targets that the deciding entry VM owns.
	Own Distance = iota
	// SameRegion is another owner in the region, in this zone or another.
	SameRegion
	// OtherRegion is an owner in another region, across a link.
	OtherRegion
)

var distanceNames = [...]string{"Own", "SameRegion", "OtherRegion"}

// String returns the name of the distance.
func (d Distance) String() string {
	if d < 0 || int(d) >= len(distanceNames) {
		return "Distance?"
	}
	return distanceNames[d]
}

// Candidate is a place that could answer a request of one service.
type Candidate struct {
	Distance Distance
	// Entry is the entry VM that owns the targets, in Region.
	Entry  pabundle.EntryName
	Region pabundle.RegionName
	// Slots is the number of usable slots, Free those that were free when the owner reported, less
	// what was sent there since.
	Slots, Free int
	// Wait is the owner's predicted wait when it reported.
	Wait time.Duration
	// Full says that the owner reported to refuse requests of the service.
	Full bool
	// Age is how long ago the owner reported.
	Age time.Duration
	// Delay is the round trip to the owner.
	Delay time.Duration
	// Utilization is the part of the region's MaxInFlight that was in use, 0 to 1.
	Utilization float64
	// Allowed says that the shift cap lets one more request go there. OtherRegion only.
	Allowed bool
	// Credits is the number of the destination's credits in hand. OtherRegion only.
	Credits int
	// LinkRoom is the number of bytes that the link takes now. OtherRegion only.
	LinkRoom int64
	// LinkUtilization is the part of the link's capacity in use, 0 to 1. OtherRegion only.
	LinkUtilization float64
}

// Request is what a choice depends on.
type Request struct {
	// TimeLeft is the time until the deadline, Run the predicted run time.
	TimeLeft, Run time.Duration
	// Bytes is the expected size of the request and its answer.
	Bytes int64
}
