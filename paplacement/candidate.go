package paplacement

import (
	"time"

	"papayahead/pabundle"
)

// Distance says how far a candidate is from the deciding entry VM.
type Distance int

// The distances, from near to far.
const (
	// Own is the deciding entry VM itself, with the targets that it owns.
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

// Candidate is an owner or a region to which a request of one service could go.
type Candidate struct {
	Distance Distance
	// Entry is the entry VM that owns the targets, in Region.
	Entry  pabundle.EntryName
	Region pabundle.RegionName
	// Slots is the number of usable slots, Free the number reported as free, less the requests sent there
	// since the report.
	Slots, Free int
	// Wait is the predicted wait that the owner reported.
	Wait time.Duration
	// Full says that the owner reported that it refuses requests of the service.
	Full bool
	// Age is the time since the owner's report.
	Age time.Duration
	// Delay is the round-trip time to the owner.
	Delay time.Duration
	// Utilization is the fraction of the region's MaxInFlight that was in use, 0 to 1.
	Utilization float64
	// Allowed says that the shift cap permits one more request there. OtherRegion only.
	Allowed bool
	// Credits is the number of the destination's credits that are held here. OtherRegion only.
	Credits int
	// LinkRoom is the number of bytes that the link budget permits now. OtherRegion only.
	LinkRoom int64
	// LinkUtilization is the fraction of the link's capacity in use, 0 to 1. OtherRegion only.
	LinkUtilization float64
}

// Request is the part of a request that the choice depends on.
type Request struct {
	// TimeLeft is the time until the deadline, Run the predicted run time.
	TimeLeft, Run time.Duration
	// Bytes is the expected size of the request and its answer.
	Bytes int64
}
