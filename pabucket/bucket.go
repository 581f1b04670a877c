package pabucket

import (
	"sync"
	"time"
)

// Bucket limits the rate of an action: at most Burst at once, and Rate per second after that. It may be used by several goroutines.
type Bucket struct {
	Rate, Burst float64

	mutex      sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// Available returns how many tokens there are; it is negative after a debt.
func (b *Bucket) Available(now time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.refill(now)
}

// refill adds the tokens since the last refill and returns how many there are. The mutex must be held.
func (b *Bucket) refill(now time.Time) int {
	if b.refilledAt.IsZero() {
		b.tokens = b.Burst
	} else {
		b.tokens = min(b.Burst, b.tokens+b.Rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	return int(b.tokens)
}

// Spend takes n tokens, even if there are fewer; the balance may become negative.
func (b *Bucket) Spend(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens -= float64(n)
}

// Take takes a token if there is one, and reports whether it did.
func (b *Bucket) Take(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.refill(now) < 1 {
		return false
	}
	b.tokens--
	return true
}

// Empty returns a bucket that has no tokens at the start.
func Empty(rate, burst float64, now time.Time) Bucket {
	return Bucket{Rate: rate, Burst: burst, refilledAt: now}
}
