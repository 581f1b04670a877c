package paquota

import "time"

// Pool is what the shares of a limit leave; the limiter keeps it. The zero value is empty.
type Pool struct {
	bucket Bucket
	level  level
}

// NewPool returns a Pool that was empty at a moment and fills from then on.
func NewPool(b Bucket, from time.Duration) *Pool { return &Pool{bucket: b, level: level{at: from}} }

// Set sets the bucket; what is in it stays, as far as it fits.
func (p *Pool) Set(b Bucket, now time.Duration) {
	p.level.fill(p.bucket, now)
	p.bucket = b
	p.level.fill(b, now)
}

// Take returns how many tokens an entry VM gets, and when there are more where it wanted more for requests that wait,
// which is 0 where it did not.
//
// Load: a workspace close to its limit. Harm prevented: entry VMs that fill their own buckets leave nothing for requests
// that wait elsewhere, so that only the upper half of the pool serves to fill them.
func (p *Pool) Take(w Wanted, now time.Duration) (granted int, next time.Duration) {
	p.level.fill(p.bucket, now)
	granted = min(max(0, w.Waiting), int(p.level.tokens))
	p.level.tokens -= float64(granted)
	if short := w.Waiting - granted; short > 0 {
		return granted, max(time.Millisecond, p.level.until(p.bucket, float64(short), comeBackMost))
	}
	spare := min(max(0, w.Spare), int(max(0, p.level.tokens-p.bucket.Depth/2)))
	p.level.tokens -= float64(spare)
	return granted + spare, 0
}
