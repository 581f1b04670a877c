package pagate

import (
	"sync"
	"time"
)

// tokenBucket bounds how much of something is done: rate a second after burst at once.
type tokenBucket struct {
	rate, burst float64

	mutex sync.Mutex
	tokens  float64
	refilledAt    time.Time
}

// available returns how many may be done now.
func (b *tokenBucket) available(now time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.refill(now)
}

// refill adds what has come back since the last call; the mutex is held.
func (b *tokenBucket) refill(now time.Time) int {
	if b.refilledAt.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	return int(b.tokens)
}

// spend takes some, which may be more than there are.
func (b *tokenBucket) spend(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens -= float64(n)
}

// take takes one if there is one, and says whether there was.
func (b *tokenBucket) take(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.refill(now) < 1 {
		return false
	}
	b.tokens--
	return true
}
