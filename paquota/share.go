package paquota

import (
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a caller may retry a rate-limited request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minEmptyTime is the minimum time between two calls for a workspace whose pool had too few tokens.
	minEmptyTime = 30 * time.Millisecond
	// spareBackoff is the time until the next call for spare tokens after one that got none. It doubles with each such call,
	// at most maxSpareDoublings times.
	spareBackoff      = 250 * time.Millisecond
	maxSpareDoublings = 4
	// maxDemand is the maximum number of tokens for waiting requests in one call to the limiter.
	maxDemand = 4096
)

// Share is an entry VM's part of the rate limit of a workspace.
//
// Times are since any fixed moment, on a clock that goes on while the VM is suspended: no other entry VM uses the tokens that
// arrive in that time.
type Share struct {
	state bucketState
	// waiting is the number of requests that wait for a reply from the limiter.
	waiting int
	// nextSpareAt is the time of the next call for spare tokens. emptyAnswers counts consecutive calls that got none.
	nextSpareAt  time.Duration
	emptyAnswers int
	// poolEmptyUntil is the time until which the limiter has no tokens to grant.
	poolEmptyUntil time.Duration
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	// Admit lets the request through.
	Admit Verdict = iota
	// AskLimiter lets the request wait for a reply from the limiter.
	AskLimiter
	// Refuse rejects the request as over the limit.
	Refuse
)

// NewShare returns a Share with some refill tokens, of which all window tokens were used at time from.
func NewShare(b Bucket, tokens float64, t Tolerance, from time.Duration) *Share {
	return &Share{state: newBucketState(b, min(tokens, b.Depth), t.Window, from)}
}

// SetBucket changes the size of the bucket. It keeps the tokens in it as far as they fit.
func (s *Share) SetBucket(b Bucket, now time.Duration) { s.state.setBucket(b, now) }

// Decide decides on a request. reachable tells whether the limiter can be called. A request that waits counts as waiting until
// ApplyGrant or CancelWait.
//
// Once the limiter replied that the pool is empty, all requests over the share are refused at once. Otherwise the excess of a
// workspace that sends many times its limit would wait and call the limiter, and delay the requests of others.
func (s *Share) Decide(now time.Duration, reachable bool) Verdict {
	return s.DecideReserving(0, now, reachable)
}

// DecideReserving is Decide for a new request, which leaves a number of tokens that are reserved for callers told to return about now.
//
// It leaves less than the depth of the share. A share of a few tokens would otherwise admit no new request until those callers came,
// and some never come.
func (s *Share) DecideReserving(reserved int, now time.Duration, reachable bool) Verdict {
	s.state.advance(now)
	reserved = min(reserved, max(0, int(s.state.bucket.Depth)-1))
	switch {
	case s.waiting == 0 && (reserved == 0 || s.state.available() > reserved) && s.state.take(1) == 1:
		return Admit
	case reachable && now >= s.poolEmptyUntil:
		s.waiting++
		return AskLimiter
	}
	return Refuse
}

// DecideReturn is Decide for a request whose caller was told to return about now. It also waits while the pool is empty if that is
// over within patience.
func (s *Share) DecideReturn(now time.Duration, reachable bool, patience time.Duration) Verdict {
	v := s.Decide(now, reachable)
	if v == Refuse && reachable && s.poolEmptyUntil-now <= patience {
		s.waiting++
		return AskLimiter
	}
	return v
}

// CancelWait records that a request stopped waiting.
func (s *Share) CancelWait() { s.waiting = max(0, s.waiting-1) }

// Refund returns the token of a request that did not run.
func (s *Share) Refund(now time.Duration) {
	s.state.advance(now)
	s.state.addTokens(1)
}

// Demand is the number of tokens that an entry VM requests from the pool.
type Demand struct {
	// Waiting is for waiting requests, Spare for future ones.
	Waiting, Spare int
	// EntryID identifies the entry VM. With 0, no tokens are reserved for it.
	EntryID uint64
}

// Demand returns the tokens to request from the limiter; none while its pool is known to be empty.
//
// Calls for spare tokens that get none become rarer. Otherwise, while the pool of a workspace is less than half full, each of
// hundreds of entry VMs would make several such calls per second, over links that callers need.
func (s *Share) Demand(now time.Duration) Demand {
	if now < s.poolEmptyUntil {
		return Demand{}
	}
	s.state.advance(now)
	d := Demand{Waiting: min(s.waiting, maxDemand)}
	if b := s.state.bucket; now >= s.nextSpareAt && float64(s.state.available()) < (b.Depth+b.WindowTokens+1)/2 {
		d.Spare = int(math.Ceil(b.Depth - s.state.refillTokens))
	}
	if d.Spare > 0 {
		s.nextSpareAt = now + spareBackoff<<min(s.emptyAnswers, maxSpareDoublings)
		s.emptyAnswers++
	}
	return d
}

// ApplyGrant applies a reply of the limiter: n tokens and the time after which to call again, 0 if the reply covers the whole
// demand. It returns the number of waiting requests that may run, and the number of further ones to refuse because the
// limiter has no tokens for longer than patience, the time for which they may wait.
func (s *Share) ApplyGrant(n int, next, patience, now time.Duration) (run, refused int) {
	s.state.advance(now)
	run = min(n, s.waiting)
	if n > run {
		s.state.addTokens(n - run)
		s.nextSpareAt, s.emptyAnswers = now, 0
	}
	run += s.state.take(s.waiting - run)
	s.waiting -= run
	if s.waiting == 0 || next <= 0 {
		return run, 0
	}
	s.poolEmptyUntil = now + max(minEmptyTime, min(next, maxRetryAfter))
	if next > patience {
		refused, s.waiting = s.waiting, 0
	}
	return run, refused
}

// RetryAfter returns the time after which a refused request may succeed, by a token of the pool or of the share itself.
func (s *Share) RetryAfter(now time.Duration) time.Duration {
	own := s.state.timeUntil(s.waiting+1, maxRetryAfter)
	pool := maxRetryAfter
	if s.poolEmptyUntil > now {
		pool = s.poolEmptyUntil - now
	}
	return max(minRetryAfter, min(own, pool))
}
