package pashare

import "time"

const (
	// peakWindow is how long an entry VM that is no longer registered still counts. One that is partitioned from the store goes on using
	// its part, which the others must not use too.
	peakWindow = 10 * time.Minute
	// peakBuckets is the number of buckets of the sliding window.
	peakBuckets = 10
)

// Peak is the maximum number of entry VMs registered at once within ten minutes. The zero value is ready for use. It divides what an
// entry VM may use also while its state of the store is old; Census divides what only those with a fresh one may use.
type Peak struct {
	buckets [peakBuckets]int
	// newest is the number of the newest bucket since uptime 0.
	newest int64
}

// Observe records the present number of entry VMs and returns the maximum. now is the uptime.
func (p *Peak) Observe(n int, now time.Duration) int {
	bucket := int64(now / (peakWindow / peakBuckets))
	for p.newest < bucket {
		p.newest = max(p.newest+1, bucket-peakBuckets)
		p.buckets[p.newest%peakBuckets] = 0
	}
	p.buckets[bucket%peakBuckets] = max(p.buckets[bucket%peakBuckets], n)
	peak := 0
	for _, count := range p.buckets {
		peak = max(peak, count)
	}
	return peak
}
