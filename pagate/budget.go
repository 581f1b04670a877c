package pagate

import (
	"sync"
	"time"
)

// budget bounds how much of something is done: rate a second after burst at once.
type budget struct {
	rate, burst float64

	mutex sync.Mutex
	left  float64
	at    time.Time
}

// available returns how many may be done now.
func (b *budget) available(now time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.fill(now)
}

// fill adds what has come back since the last call; the mutex is held.
func (b *budget) fill(now time.Time) int {
	if b.at.IsZero() {
		b.left = b.burst
	} else {
		b.left = min(b.burst, b.left+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	return int(b.left)
}

// spend takes some, which may be more than there are.
func (b *budget) spend(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left -= float64(n)
}

// take takes one if there is one, and says whether there was.
func (b *budget) take(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.fill(now) < 1 {
		return false
	}
	b.left--
	return true
}
