package paquota

import "time"

// Pool is what the shares of a limit leave; the limiter keeps it.
type Pool struct{ level level }

// NewPool returns a Pool of which all was taken at a moment.
func NewPool(b Bucket, t Terms, from time.Duration) *Pool {
	return &Pool{newLevel(b, 0, t.Window+CallTime, from)}
}

// Set sets the bucket; what is in it stays, as far as it fits.
func (p *Pool) Set(b Bucket, now time.Duration) { p.level.set(b, now) }

// Take returns how many tokens an entry VM gets, and when there are more where it wanted more for requests that wait,
// which is 0 where it did not.
//
// Load: a workspace close to its limit. Harm prevented: entry VMs that fill their own buckets leave nothing for requests
// that wait elsewhere, so that only the upper half of the pool serves to fill them.
func (p *Pool) Take(w Wanted, now time.Duration) (granted int, next time.Duration) {
	p.level.fill(now)
	granted = p.level.take(max(0, w.Waiting))
	if short := w.Waiting - granted; short > 0 {
		return granted, max(time.Millisecond, p.level.until(short, comeBackMost))
	}
	half := int(p.level.bucket.Depth+p.level.bucket.Window) / 2
	granted += p.level.take(max(0, min(w.Spare, p.level.tokens()-half)))
	return granted, 0
}
