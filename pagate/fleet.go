package pagate

import "time"

const (
	// fleetPeakWindow is how long an entry VM that is no longer registered still counts. One that is partitioned
	// from the store goes on using its share of each rate limit, which the others must not use too.
	fleetPeakWindow = 10 * time.Minute
	// fleetPeakBuckets is the number of buckets of the sliding window.
	fleetPeakBuckets = 10
)

// fleetPeak is the maximum number of entry VMs registered at once within fleetPeakWindow. The zero value is ready to
// use.
type fleetPeak struct {
	buckets [fleetPeakBuckets]int
	// newest is the number of the newest bucket since uptime 0.
	newest int64
}

// observe records the current number of entry VMs and returns the maximum. now is the uptime.
func (f *fleetPeak) observe(n int, now time.Duration) int {
	bucket := int64(now / (fleetPeakWindow / fleetPeakBuckets))
	for f.newest < bucket {
		f.newest = max(f.newest+1, bucket-fleetPeakBuckets)
		f.buckets[f.newest%fleetPeakBuckets] = 0
	}
	f.buckets[bucket%fleetPeakBuckets] = max(f.buckets[bucket%fleetPeakBuckets], n)
	peak := 0
	for _, count := range f.buckets {
		peak = max(peak, count)
	}
	return peak
}
