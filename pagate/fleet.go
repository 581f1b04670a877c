package pagate

import "time"

const (
	// fleetPeakWindow is how long an entry VM that is no longer registered counts: one that is cut off goes on with its part
	// of each rate limit, which the others must not take.
	fleetPeakWindow = 10 * time.Minute
	// fleetPeakBuckets is the number of parts of that time.
	fleetPeakBuckets = 10
)

// fleetPeak is the most entry VMs that were registered at once within fleetMemory. The zero value is ready.
type fleetPeak struct {
	buckets [fleetPeakBuckets]int
	newest  int64
}

// observe notes a number of entry VMs and returns the observe.
func (f *fleetPeak) observe(n int, now time.Duration) int {
	slot := int64(now / (fleetPeakWindow / fleetPeakBuckets))
	for f.newest < slot {
		f.newest = max(f.newest+1, slot-fleetPeakBuckets)
		f.buckets[f.newest%fleetPeakBuckets] = 0
	}
	f.buckets[slot%fleetPeakBuckets] = max(f.buckets[slot%fleetPeakBuckets], n)
	most := 0
	for _, s := range f.buckets {
		most = max(most, s)
	}
	return most
}
