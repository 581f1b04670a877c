package paquota

import (
	"math"
	"time"
)

// Bucket defines the size of a token bucket with two kinds of tokens. Up to Depth refill tokens arrive at Rate per second.
// WindowTokens are a fixed number, each of which becomes available again a fixed time after its use.
//
// Refill tokens are available soon after a start, when nobody knows how many were used before. Window tokens allow the whole
// allowance to be used all the time.
type Bucket struct{ Rate, Depth, WindowTokens float64 }

// windowSlots is the number of slots by which the use of window tokens is counted.
const windowSlots = 50

// bucketState is the fill level of a bucket. Times are since a fixed moment.
type bucketState struct {
	bucket Bucket
	// refillTokens is the number of available refill tokens, as of at.
	refillTokens float64
	at           time.Duration
	// window is the time after which a used window token becomes available again. usedBySlot counts those in use by the slot
	// in which they were taken; used is their sum.
	window     time.Duration
	slot       int64
	usedBySlot [windowSlots + 1]int32
	used       int
}

// newBucketState returns a bucket with some refill tokens, of which all window tokens were used at time from.
func newBucketState(b Bucket, tokens float64, window, from time.Duration) bucketState {
	s := bucketState{bucket: b, refillTokens: tokens, window: window, at: from, slot: int64(from) / int64(window/windowSlots)}
	s.used = int(b.WindowTokens)
	s.usedBySlot[s.slotIndex()] = int32(s.used)
	return s
}

func (s *bucketState) slotIndex() int64 {
	return (s.slot%(windowSlots+1) + windowSlots + 1) % (windowSlots + 1)
}

// advance adds the tokens that became available since the last call.
func (s *bucketState) advance(now time.Duration) {
	if now <= s.at {
		return
	}
	s.refillTokens = math.Min(s.bucket.Depth, s.refillTokens+s.bucket.Rate*(now-s.at).Seconds())
	s.at = now
	slot := int64(now) / int64(s.window/windowSlots)
	if slot > s.slot+windowSlots {
		s.slot = slot - windowSlots - 1
	}
	for s.slot < slot {
		s.slot++
		s.used -= int(s.usedBySlot[s.slotIndex()])
		s.usedBySlot[s.slotIndex()] = 0
	}
}

// setBucket changes the size of the bucket. It keeps the tokens in it as far as they fit.
func (s *bucketState) setBucket(b Bucket, now time.Duration) {
	s.advance(now)
	s.bucket = b
	s.refillTokens = math.Min(s.refillTokens, b.Depth)
}

// available returns the number of whole tokens in the bucket.
func (s *bucketState) available() int { return int(s.refillTokens) + s.windowAvailable() }

// windowAvailable returns the number of window tokens in the bucket.
func (s *bucketState) windowAvailable() int { return max(0, int(s.bucket.WindowTokens)-s.used) }

// take removes up to n tokens and returns their number. It takes refill tokens first, since a full bucket discards those that
// arrive.
func (s *bucketState) take(n int) int {
	refill := min(n, int(s.refillTokens))
	s.refillTokens -= float64(refill)
	window := min(n-refill, s.windowAvailable())
	s.usedBySlot[s.slotIndex()] += int32(window)
	s.used += window
	return refill + window
}

// addTokens adds refill tokens as far as they fit.
func (s *bucketState) addTokens(n int) {
	s.refillTokens = math.Min(s.bucket.Depth, s.refillTokens+float64(n))
}

// maxRate returns the maximum long-term rate of tokens, per second.
func (s *bucketState) maxRate() float64 {
	return s.bucket.Rate + s.bucket.WindowTokens/s.window.Seconds()
}

// timeUntil returns the expected time until the bucket holds n tokens; at most longest, which is also the result if no tokens
// arrive.
func (s *bucketState) timeUntil(n int, longest time.Duration) time.Duration {
	missing := float64(n) - s.refillTokens - float64(s.windowAvailable())
	if missing <= 0 {
		return 0
	}
	rate := s.maxRate()
	if rate <= 0 {
		return longest
	}
	return min(longest, time.Duration(missing/rate*float64(time.Second)))
}
