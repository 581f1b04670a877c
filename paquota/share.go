package paquota

import (
	"math"
	"time"
)

const (
	// comeBackLeast and comeBackMost bound the time after which a request that was refused for a limit may come back.
	comeBackLeast = 100 * time.Millisecond
	comeBackMost  = 2 * time.Second
	// waitMost is how long requests wait on for a limiter that has nothing: a refused caller takes longer to be back.
	waitMost = 150 * time.Millisecond
	// dryLeast is the least time between two calls for a workspace whose pool had too little.
	dryLeast = 30 * time.Millisecond
	// wantedMost bounds what one entry VM asks the limiter for at once.
	wantedMost = 4096
)

// Share is the part of a workspace's limit that an entry VM has. The zero value is empty.
//
// Times are since any fixed moment, on a clock that counts the time of a suspended machine too: what would
// have come in meanwhile was not used by anyone else.
type Share struct {
	bucket Bucket
	level  level
	// waiting is how many requests wait for the limiter's answer.
	waiting int
	// dryUntil is until when the limiter has nothing to give.
	dryUntil time.Duration
}

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Run lets the request run.
	Run Verdict = iota
	// Ask lets it wait for the limiter's answer.
	Ask
	// Refuse refuses it.
	Refuse
)

// NewShare returns a Share that was empty at a moment and fills from then on.
func NewShare(b Bucket, from time.Duration) *Share { return &Share{bucket: b, level: level{at: from}} }

// Set sets the bucket; what is in it stays, as far as it fits.
func (s *Share) Set(b Bucket, now time.Duration) {
	s.level.fill(s.bucket, now)
	s.bucket = b
	s.level.fill(b, now)
}

// Take decides on a request. A request that waits counts until Granted or Leave.
//
// Load: a workspace that sends many times its limit. Harm prevented: its excess waits and asks the limiter, and costs
// others their time; once the limiter said that it has nothing, all that is over the share is refused at once.
func (s *Share) Take(now time.Duration, reachable bool) Verdict {
	s.level.fill(s.bucket, now)
	switch {
	case s.waiting == 0 && s.level.tokens >= 1:
		s.level.tokens--
		return Run
	case reachable && now >= s.dryUntil:
		s.waiting++
		return Ask
	}
	return Refuse
}

// Leave takes back the wait of a request that waits no more.
func (s *Share) Leave() { s.waiting = max(0, s.waiting-1) }

// Return takes back a token whose request did not run.
func (s *Share) Return(now time.Duration) {
	s.level.fill(s.bucket, now)
	s.level.tokens = math.Min(s.bucket.Depth, s.level.tokens+1)
}

// Wanted is what an entry VM asks of the pool.
type Wanted struct {
	// Waiting is for requests that wait, Spare for those to come.
	Waiting, Spare int
}

// Wanted returns what to ask the limiter for; nothing while it is known to have none.
func (s *Share) Wanted(now time.Duration) Wanted {
	if now < s.dryUntil {
		return Wanted{}
	}
	s.level.fill(s.bucket, now)
	w := Wanted{Waiting: min(s.waiting, wantedMost)}
	if s.level.tokens < (s.bucket.Depth+1)/2 {
		w.Spare = int(s.bucket.Depth - s.level.tokens)
	}
	return w
}

// Granted takes the limiter's answer, whose next is 0 where it had all that was asked for, and returns how many of the requests that wait may run, and how many of those
// behind them must be refused, since the limiter has nothing more for a while.
func (s *Share) Granted(n int, next, now time.Duration) (run, refused int) {
	s.level.fill(s.bucket, now)
	have := n + int(s.level.tokens)
	run = min(have, s.waiting)
	s.level.tokens = math.Min(s.bucket.Depth, s.level.tokens+float64(n-run))
	s.waiting -= run
	if s.waiting == 0 || next <= 0 {
		return run, 0
	}
	s.dryUntil = now + max(dryLeast, min(next, comeBackMost))
	if next > waitMost {
		refused, s.waiting = s.waiting, 0
	}
	return run, refused
}

// ComeBack returns when a refused request fits: when the limiter has more, or the share does by itself.
func (s *Share) ComeBack(now time.Duration) time.Duration {
	own := s.level.until(s.bucket, float64(s.waiting+1), comeBackMost)
	pool := comeBackMost
	if s.dryUntil > now {
		pool = s.dryUntil - now
	}
	return max(comeBackLeast, min(own, pool))
}
