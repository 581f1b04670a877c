package paquota

import (
	"slices"
	"time"
)

// Pool holds the tokens of a limit that don't belong to shares. The limiter holds it.
type Pool struct {
	state bucketState
	// reservations holds one for each entry VM whose last call got fewer tokens than its waiting requests needed, in the
	// order of their first such call.
	reservations []reservation
}

// reservation reserves for an entry VM its part of the tokens that arrive after since. It expires after until.
type reservation struct {
	entryID      uint64
	since, until time.Duration
	// shortAsks is the number of consecutive calls that got too few tokens.
	shortAsks int
}

const (
	// minShortAsks is the number of consecutive calls with too few tokens before the pool reserves any. With a lower number,
	// tokens would be reserved for an entry VM that had only one request, which was refused.
	minShortAsks = 3
	// reservationGrace is how long a reservation lasts after the time at which the entry VM was told to call again. With a
	// longer one, tokens would be reserved for an entry VM whose callers have gone.
	reservationGrace = 500 * time.Millisecond
	// minRefillTime is a lower bound of the refill time that entry VMs are told to wait for.
	minRefillTime = 250 * time.Millisecond
)

// NewPool returns a Pool of which all tokens were used at time from.
func NewPool(b Bucket, t Tolerance, from time.Duration) *Pool {
	return &Pool{state: newBucketState(b, 0, t.Window+MaxCallTime, from)}
}

// Drain removes all refill tokens and returns their number, for a pool that replaces this one to Add. Window tokens aren't
// included: the other pool starts with all of them used.
func (p *Pool) Drain(now time.Duration) int {
	p.state.advance(now)
	left := int(p.state.refillTokens)
	p.state.refillTokens = 0
	return left
}

// Add adds the tokens that Drain returned for the replaced pool, as far as they fit.
func (p *Pool) Add(n int) { p.state.addTokens(n) }

// SetBucket changes the size of the bucket. It keeps the tokens in it as far as they fit.
func (p *Pool) SetBucket(b Bucket, now time.Duration) { p.state.setBucket(b, now) }

// Take grants tokens to an entry VM. If they are fewer than its waiting requests need, next is the time after which to call
// again; otherwise it is 0.
//
// Only the upper half of the pool is used to fill the buckets of entry VMs. Otherwise, close to the limit, this would leave
// no tokens for requests that wait at other entry VMs.
func (p *Pool) Take(d Demand, now time.Duration) (granted int, next time.Duration) {
	p.state.advance(now)
	entitled, reserved := p.entitlement(d.EntryID, now)
	granted = p.state.take(max(0, min(d.Waiting, entitled)))
	if short := d.Waiting - granted; short > 0 {
		next = max(time.Millisecond, min(p.state.timeUntil(short, maxRetryAfter), p.refillTime()))
		p.reserve(d.EntryID, granted, next, now)
		return granted, next
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool { return r.entryID == d.EntryID })
	half := int(p.state.bucket.Depth+p.state.bucket.WindowTokens) / 2
	granted += p.state.take(max(0, min(d.Spare, p.state.available()-max(half, reserved))))
	return granted, 0
}

// entitlement returns how many tokens an entry VM may get for waiting requests, and how many are reserved for others.
//
// When a workspace exceeds its limit at many entry VMs, each calls again at the time it was told. Without reservations the
// tokens would go to whichever calls first after they arrive, in the same order each time, and the callers of the others
// would be refused for as long as the load lasts.
func (p *Pool) entitlement(entryID uint64, now time.Duration) (entitled, reserved int) {
	p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool { return now > r.until })
	var own, others, largest float64
	rate := p.reservedRate()
	for _, r := range p.reservations {
		n := rate * min(maxRetryAfter, now-r.since).Seconds()
		switch {
		case r.shortAsks < minShortAsks:
		case r.entryID == entryID:
			own = n
		default:
			others += n
			largest = max(largest, n)
		}
	}
	tokens := p.state.available()
	if own > 0 {
		entitled = int(float64(tokens) * own / (own + others))
	}
	if own >= largest {
		entitled = max(entitled, min(1, tokens))
	}
	return max(entitled, tokens-int(others)), int(others)
}

// reserve adds or updates the reservation of an entry VM that got fewer tokens than it needs and calls again after next.
func (p *Pool) reserve(entryID uint64, granted int, next, now time.Duration) {
	if entryID == 0 {
		return
	}
	i := slices.IndexFunc(p.reservations, func(r reservation) bool { return r.entryID == entryID })
	if i < 0 {
		i = len(p.reservations)
		p.reservations = append(p.reservations, reservation{entryID: entryID, since: now})
	}
	r := &p.reservations[i]
	if rate := p.reservedRate(); rate > 0 {
		used := time.Duration(float64(granted) / rate * float64(time.Second))
		r.since = min(now, max(r.since, now-maxRetryAfter)+used)
	}
	r.until = now + next + reservationGrace
	r.shortAsks++
}

// reservedRate returns the rate of tokens for each active reservation, per second.
func (p *Pool) reservedRate() float64 {
	n := 0
	for _, r := range p.reservations {
		if r.shortAsks >= minShortAsks {
			n++
		}
	}
	return p.state.maxRate() / float64(max(1, n))
}

// refillTime returns the time in which the empty pool fills. Tokens that arrive later would be lost.
func (p *Pool) refillTime() time.Duration {
	b := p.state.bucket
	if b.Rate <= 0 {
		return maxRetryAfter
	}
	return max(minRefillTime, min(maxRetryAfter, time.Duration(b.Depth/b.Rate*float64(time.Second))))
}
