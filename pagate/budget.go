package pagate

import (
	"sync"
	"time"
)

// tokenBucket limits the rate of an action: at most burst at once, and rate per second after that.
type tokenBucket struct {
	rate, burst float64

	mutex      sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// available returns how many tokens there are; it is negative after a debt.
func (b *tokenBucket) available(now time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.refill(now)
}

// refill adds the tokens since the last refill and returns how many there are. The mutex must be held.
func (b *tokenBucket) refill(now time.Time) int {
	if b.refilledAt.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	return int(b.tokens)
}

// spend takes n tokens, even if there are fewer; the balance may become negative.
func (b *tokenBucket) spend(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens -= float64(n)
}

// take takes a token if there is one, and reports whether it did.
func (b *tokenBucket) take(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.refill(now) < 1 {
		return false
	}
	b.tokens--
	return true
}
