package paquota

import (
	"math"
	"time"
)

// Bucket holds tokens of two kinds: Depth of them flow in again at Rate a second, Window of them come back one by one, a
// time after each was taken.
//
// Tokens that flow are there soon after a start, when nobody knows what was taken before; those that come back let
// the whole allowance run all the time.
type Bucket struct{ Rate, Depth, WindowTokens float64 }

// takenSlots is the number of parts of the time after which tokens come back.
const takenSlots = 50

// level is how full a bucket is; times are since a fixed moment.
type level struct {
	bucket Bucket
	// flowing is how many of the tokens that flow are there, as of at.
	flowing float64
	at      time.Duration
	// life is the time after which the others come back; taken counts those that have not, by the slot in which they
	// were taken, and away is their sum.
	life  time.Duration
	slot  int64
	taken [takenSlots + 1]int32
	away  int
}

// newLevel returns a level at which all but a number of tokens was taken at a moment.
func newLevel(b Bucket, tokens float64, life, from time.Duration) level {
	l := level{bucket: b, flowing: tokens, life: life, at: from, slot: int64(from) / int64(life/takenSlots)}
	l.away = int(b.WindowTokens)
	l.taken[l.index()] = int32(l.away)
	return l
}

func (l *level) index() int64 { return (l.slot%(takenSlots+1) + takenSlots + 1) % (takenSlots + 1) }

// fill adds what came since the last call.
func (l *level) fill(now time.Duration) {
	if now <= l.at {
		return
	}
	l.flowing = math.Min(l.bucket.Depth, l.flowing+l.bucket.Rate*(now-l.at).Seconds())
	l.at = now
	slot := int64(now) / int64(l.life/takenSlots)
	if slot > l.slot+takenSlots {
		l.slot = slot - takenSlots - 1
	}
	for l.slot < slot {
		l.slot++
		l.away -= int(l.taken[l.index()])
		l.taken[l.index()] = 0
	}
}

// set changes the bucket; what is in it stays, as far as it fits.
func (l *level) set(b Bucket, now time.Duration) {
	l.fill(now)
	l.bucket = b
	l.flowing = math.Min(l.flowing, b.Depth)
}

// tokens returns how many whole tokens are there.
func (l *level) tokens() int { return int(l.flowing) + l.back() }

// back returns how many of those that come back are there.
func (l *level) back() int { return max(0, int(l.bucket.WindowTokens)-l.away) }

// take takes up to a number of tokens and returns how many: first of those that flow, which would be lost in a full
// bucket.
func (l *level) take(n int) int {
	flowing := min(n, int(l.flowing))
	l.flowing -= float64(flowing)
	back := min(n-flowing, l.back())
	l.taken[l.index()] += int32(back)
	l.away += back
	return flowing + back
}

// add puts tokens in, as far as they fit.
func (l *level) add(n int) { l.flowing = math.Min(l.bucket.Depth, l.flowing+float64(n)) }

// inflow is how many tokens a second come at most, in the long run.
func (l *level) inflow() float64 { return l.bucket.Rate + l.bucket.WindowTokens/l.life.Seconds() }

// until returns the time until the bucket holds a number of tokens, or longest where that is not known.
func (l *level) until(n int, longest time.Duration) time.Duration {
	missing := float64(n) - l.flowing - float64(l.back())
	if missing <= 0 {
		return 0
	}
	rate := l.inflow()
	if rate <= 0 {
		return longest
	}
	return min(longest, time.Duration(missing/rate*float64(time.Second)))
}
