package paquota

import (
	"math"
	"time"
)

// Limit is the rate limit of a workspace over all entry VMs: Rate requests a second after Burst at once.
type Limit struct{ Rate, Burst float64 }

// Tolerance say how far a limit may be passed: over any Window, (Rate x Window + Burst) x (1 + Overage) + Slack requests.
type Tolerance struct {
	Window         time.Duration
	Overage, Slack float64
}

// Allowance returns how many requests may run over a window.
func (t Tolerance) Allowance(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Overage) + t.Slack
}

// Division is how a limit is divided: what each entry VM has, and what the pool has.
type Division struct {
	Share, Pool Bucket
	// RestartTokens is how many tokens a share has at once after its entry VM started again, if the former start was longer ago
	// than the window.
	RestartTokens float64
}

const (
	// used is the part of the allowance that is given out. The rest covers an entry VM that some do not know of yet.
	used = 0.97
	// depthTime is the time for which a share's depth lasts at the rate of the limit: some calls to the limiter.
	depthTime = 400 * time.Millisecond
	// depthMost is the most of what is given out that may be the shares' depths.
	depthMost = 0.7
	// againMost is the most of what is given out that may be depths and what is had again after a start.
	againMost = 0.4
	// flowing is the part of the rest that flows in again at a rate, so that it is there after a start.
	flowing = 0.8
	// sharedRate is the part of that which flows to the shares. They serve where the limiter is not reached; the pool
	// serves where callers are.
	sharedRate = 0.1
	// sharedWindow is the part of the tokens that come back which shares have.
	sharedWindow = 0.5
	// MaxCallTime is the longest that tokens of the pool are on their way; an answer that comes later is void.
	MaxCallTime = 400 * time.Millisecond
)

// divideSmall gives all tokens of a limit to the pool, which holds one at once.
//
// Load: a workspace that may send a request now and then, and terms without slack. Harm prevented: no bucket ever holds
// a whole request, and all are refused.
func divideSmall(tokens float64, t Tolerance) Division {
	depth := min(1, tokens)
	return Division{Pool: Bucket{Depth: depth, Rate: (tokens - depth) / (t.Window + MaxCallTime).Seconds()}}
}

// Divide divides a limit among a number of entry VMs.
//
// Load: each caller uses few entry VMs, so that a workspace of a dozen callers meets some of them only, and each of these
// now and then. Harm prevented: equal parts for all refuse requests where the callers are while most of the limit is
// unused elsewhere; and a limit without parts makes each request wait for a call to another region.
func Divide(l Limit, t Tolerance, entries int) Division {
	n := float64(max(1, entries))
	left := used * t.Allowance(l)
	var share, pool Bucket
	share.Depth = math.Ceil(l.Rate / n * depthTime.Seconds())
	if n*share.Depth > depthMost*left {
		share.Depth = math.Floor(depthMost * left / n)
	}
	again := 0.0
	if 2*n*share.Depth <= againMost*left {
		again = share.Depth
	}
	left -= n * (share.Depth + again)
	rate := flowing * left / (t.Window + MaxCallTime).Seconds()
	if share.Depth > 0 {
		// A bucket that holds no whole request lets none run.
		share.Rate = sharedRate * rate / n
	}
	pool.Rate = rate - n*share.Rate
	if (1-flowing)*left/2 < 1 {
		return divideSmall(used*t.Allowance(l), t)
	}
	left *= 1 - flowing
	share.WindowTokens = math.Floor(sharedWindow * left / n)
	left -= n * share.WindowTokens
	pool.Depth, pool.WindowTokens = left/2, left/2
	return Division{Share: share, Pool: pool, RestartTokens: again}
}
