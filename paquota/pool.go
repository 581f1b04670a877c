package paquota

import (
	"slices"
	"time"
)

// Pool is what the shares of a limit leave; the limiter keeps it.
type Pool struct {
	level level
	// claims are those of the entry VMs whose last ask got less than its requests needed, in the order of the first.
	claims []claim
}

// claim is what a pool keeps for an entry VM: its part of what comes in since a time, until it counts no more.
type claim struct {
	from         uint64
	since, until time.Duration
	// asks is how many asks in a row got too little.
	asks int
}

const (
	// claimAsks is how many asks in a row have to get too little before the pool keeps anything. Harm of less: tokens
	// wait for an entry VM that had one request only, which was refused.
	claimAsks = 3
	// claimGrace is how long after the time to ask again an entry VM may ask for what the pool keeps for it. Harm of
	// more: tokens wait for one whose callers have gone.
	claimGrace = 500 * time.Millisecond
	// refillLeast is the least time that entry VMs are told to wait for an empty pool to fill.
	refillLeast = 250 * time.Millisecond
)

// NewPool returns a Pool of which all was taken at a moment.
func NewPool(b Bucket, t Tolerance, from time.Duration) *Pool {
	return &Pool{level: newLevel(b, 0, t.Window+MaxCallTime, from)}
}

// Drain empties the pool and returns what one that takes its place may Put. Tokens that come back a time after they were
// taken are not among them: in the other pool all of them are taken at its start.
func (p *Pool) Drain(now time.Duration) int {
	p.level.fill(now)
	left := int(p.level.flowing)
	p.level.flowing = 0
	return left
}

// Add adds what a pool left that this one takes the place of, as far as it fits.
func (p *Pool) Add(left int) { p.level.add(left) }

// SetBucket sets the bucket; what is in it stays, as far as it fits.
func (p *Pool) SetBucket(b Bucket, now time.Duration) { p.level.set(b, now) }

// Take returns how many tokens an entry VM gets, and when there are more where it wanted more for requests that wait,
// which is 0 where it did not.
//
// Load: a workspace close to its limit. Harm prevented: entry VMs that fill their own buckets leave nothing for requests
// that wait elsewhere, so that only the upper half of the pool serves to fill them.
func (p *Pool) Take(w Demand, now time.Duration) (granted int, next time.Duration) {
	p.level.fill(now)
	due, kept := p.due(w.EntryID, now)
	granted = p.level.take(max(0, min(w.Waiting, due)))
	if short := w.Waiting - granted; short > 0 {
		next = max(time.Millisecond, min(p.level.until(short, comeBackMost), p.refill()))
		p.claim(w.EntryID, granted, next, now)
		return granted, next
	}
	p.claims = slices.DeleteFunc(p.claims, func(c claim) bool { return c.from == w.EntryID })
	half := int(p.level.bucket.Depth+p.level.bucket.WindowTokens) / 2
	granted += p.level.take(max(0, min(w.Spare, p.level.tokens()-max(half, kept))))
	return granted, 0
}

// due returns how many tokens an entry VM may get for requests that wait, and how many are kept for others.
//
// Load: a workspace beyond its limit at many entry VMs, each of which asks again when it was told to. Harm prevented:
// the tokens go to whoever asks first after they came, in the same order each time, and the callers of the others are
// refused for as long as the load lasts.
func (p *Pool) due(from uint64, now time.Duration) (due, kept int) {
	p.claims = slices.DeleteFunc(p.claims, func(c claim) bool { return now > c.until })
	var own, others, largest float64
	part := p.part()
	for _, c := range p.claims {
		n := part * min(comeBackMost, now-c.since).Seconds()
		switch {
		case c.asks < claimAsks:
		case c.from == from:
			own = n
		default:
			others += n
			largest = max(largest, n)
		}
	}
	tokens := p.level.tokens()
	if own > 0 {
		due = int(float64(tokens) * own / (own + others))
	}
	if own >= largest {
		due = max(due, min(1, tokens))
	}
	return max(due, tokens-int(others)), int(others)
}

// claim notes what an entry VM was granted that wanted more, and when it asks again.
func (p *Pool) claim(from uint64, granted int, next, now time.Duration) {
	if from == 0 {
		return
	}
	i := slices.IndexFunc(p.claims, func(c claim) bool { return c.from == from })
	if i < 0 {
		i = len(p.claims)
		p.claims = append(p.claims, claim{from: from, since: now})
	}
	c := &p.claims[i]
	if part := p.part(); part > 0 {
		used := time.Duration(float64(granted) / part * float64(time.Second))
		c.since = min(now, max(c.since, now-comeBackMost)+used)
	}
	c.until = now + next + claimGrace
	c.asks++
}

// part is how many tokens a second come in for each claim.
func (p *Pool) part() float64 {
	n := 0
	for _, c := range p.claims {
		if c.asks >= claimAsks {
			n++
		}
	}
	return p.level.inflow() / float64(max(1, n))
}

// refill is the time in which the empty pool fills: what comes in later would be lost.
func (p *Pool) refill() time.Duration {
	b := p.level.bucket
	if b.Rate <= 0 {
		return comeBackMost
	}
	return max(refillLeast, min(comeBackMost, time.Duration(b.Depth/b.Rate*float64(time.Second))))
}
