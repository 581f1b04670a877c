package paquota

import (
	"math"
	"time"
)

const (
	// comeBackLeast and comeBackMost bound the time after which a request that was refused for a limit may come back.
	comeBackLeast = 100 * time.Millisecond
	comeBackMost  = 2 * time.Second
	// dryLeast is the least time between two calls for a workspace whose pool had too little.
	dryLeast = 30 * time.Millisecond
	// spareAgain is the time between two calls for requests to come where the first brought nothing; it doubles with
	// each, at the most vainMost times.
	spareAgain = 250 * time.Millisecond
	vainMost   = 4
	// wantedMost bounds what one entry VM asks the limiter for at once.
	wantedMost = 4096
)

// Share is the part of a workspace's limit that an entry VM has.
//
// Times are since any fixed moment, on a clock that counts the time of a suspended machine too: what would
// have come in meanwhile was not used by anyone else.
type Share struct {
	level level
	// waiting is how many requests wait for the limiter's answer.
	waiting int
	// spareAt is when to ask for requests to come again, and vain how often that brought nothing in a row.
	spareAt time.Duration
	vain    int
	// dryUntil is until when the limiter has nothing to give.
	dryUntil time.Duration
}

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Admit lets the request run.
	Admit Verdict = iota
	// AskLimiter lets it wait for the limiter's answer.
	AskLimiter
	// Refuse refuses it.
	Refuse
)

// NewShare returns a Share of which all but a number of tokens was taken at a moment.
func NewShare(b Bucket, tokens float64, t Tolerance, from time.Duration) *Share {
	return &Share{level: newLevel(b, min(tokens, b.Depth), t.Window, from)}
}

// SetBucket sets the bucket; what is in it stays, as far as it fits.
func (s *Share) SetBucket(b Bucket, now time.Duration) { s.level.set(b, now) }

// Decide decides on a request. A request that waits counts until Granted or Leave.
//
// Load: a workspace that sends many times its limit. Harm prevented: its excess waits and asks the limiter, and costs
// others their time; once the limiter said that it has nothing, all that is over the share is refused at once.
func (s *Share) Decide(now time.Duration, reachable bool) Verdict {
	s.level.fill(now)
	switch {
	case s.waiting == 0 && s.level.take(1) == 1:
		return Admit
	case reachable && now >= s.dryUntil:
		s.waiting++
		return AskLimiter
	}
	return Refuse
}

// CancelWait takes back the wait of a request that waits no more.
func (s *Share) CancelWait() { s.waiting = max(0, s.waiting-1) }

// Refund takes back a token whose request did not run.
func (s *Share) Refund(now time.Duration) {
	s.level.fill(now)
	s.level.add(1)
}

// Demand is what an entry VM asks of the pool.
type Demand struct {
	// Waiting is for requests that wait, Spare for those to come.
	Waiting, Spare int
	// EntryID tells entry VMs apart; 0 is one that takes no turns with others.
	EntryID uint64
}

// Demand returns what to ask the limiter for; nothing while it is known to have none.
//
// Load: hundreds of entry VMs, and a workspace whose pool is below its half. Harm prevented: each asks for requests to come
// several times a second and gets nothing, over links that callers need.
func (s *Share) Demand(now time.Duration) Demand {
	if now < s.dryUntil {
		return Demand{}
	}
	s.level.fill(now)
	w := Demand{Waiting: min(s.waiting, wantedMost)}
	if b := s.level.bucket; now >= s.spareAt && float64(s.level.tokens()) < (b.Depth+b.WindowTokens+1)/2 {
		w.Spare = int(math.Ceil(b.Depth - s.level.flowing))
	}
	if w.Spare > 0 {
		s.spareAt = now + spareAgain<<min(s.vain, vainMost)
		s.vain++
	}
	return w
}

// ApplyGrant takes the limiter's answer, whose next is 0 where it had all that was asked for, and returns how many of the
// requests that wait may run, and how many of those behind them must be refused, since the limiter has nothing more for
// longer than they may wait.
func (s *Share) ApplyGrant(n int, next, patience, now time.Duration) (run, refused int) {
	s.level.fill(now)
	run = min(n, s.waiting)
	if n > run {
		s.level.add(n - run)
		s.spareAt, s.vain = now, 0
	}
	run += s.level.take(s.waiting - run)
	s.waiting -= run
	if s.waiting == 0 || next <= 0 {
		return run, 0
	}
	s.dryUntil = now + max(dryLeast, min(next, comeBackMost))
	if next > patience {
		refused, s.waiting = s.waiting, 0
	}
	return run, refused
}

// RetryAfter returns when a refused request fits: when the limiter has more, or the share does by itself.
func (s *Share) RetryAfter(now time.Duration) time.Duration {
	own := s.level.until(s.waiting+1, comeBackMost)
	pool := comeBackMost
	if s.dryUntil > now {
		pool = s.dryUntil - now
	}
	return max(comeBackLeast, min(own, pool))
}
