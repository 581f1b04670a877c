package paquota

import (
	"math"
	"time"
)

// level is how full a bucket is.
type level struct {
	tokens float64
	at     time.Duration
}

// fill adds what came since the last call; times are since a fixed moment.
func (l *level) fill(b Bucket, now time.Duration) {
	if now > l.at {
		l.tokens += b.Rate * (now - l.at).Seconds()
		l.at = now
	}
	l.tokens = math.Min(l.tokens, b.Depth)
}

// until returns the time until the bucket holds a number of tokens, or longest where it never does.
func (l *level) until(b Bucket, tokens float64, longest time.Duration) time.Duration {
	missing := tokens - l.tokens
	if missing <= 0 {
		return 0
	}
	if b.Rate <= 0 {
		return longest
	}
	return min(longest, time.Duration(missing/b.Rate*float64(time.Second)))
}
