package paquota

import (
	"math"
	"time"
)

// Limit is the rate limit of a workspace over all entry VMs: Rate requests per second, after a burst of Burst requests.
type Limit struct{ Rate, Burst float64 }

// Tolerance defines how far a limit may be exceeded: over any Window, (Rate x Window + Burst) x (1 + Overage) + Slack requests
// may be admitted.
type Tolerance struct {
	Window         time.Duration
	Overage, Slack float64
}

// Allowance returns the number of requests that may be admitted over a window.
func (t Tolerance) Allowance(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Overage) + t.Slack
}

// Division holds the buckets into which a limit is divided: Share for each entry VM and Pool for the limiter.
type Division struct {
	Share, Pool Bucket
	// RestartTokens is the number of tokens that a share has right after its entry VM restarted, if the previous start was
	// longer ago than the window.
	RestartTokens float64
}

const (
	// allocatedFraction is the part of the allowance that is divided. The rest covers an entry VM that some others don't know
	// of yet.
	allocatedFraction = 0.97
	// shareDepthTime is the time for which all shares' depths together last at the rate of the limit: some calls to the limiter.
	shareDepthTime = 400 * time.Millisecond
	// maxDepthFraction is the maximum part of the divided tokens that may be depths of shares.
	maxDepthFraction = 0.7
	// maxRestartFraction is the maximum part of the divided tokens that may be depths of shares and restart tokens.
	maxRestartFraction = 0.4
	// refillFraction is the part of the remaining tokens that are refill tokens, which are available after a restart.
	refillFraction = 0.8
	// shareRateFraction is the part of the refill rate that goes to the shares. It serves entry VMs that can't reach the
	// limiter; the rate of the pool serves the entry VMs that have callers.
	shareRateFraction = 0.1
	// shareWindowFraction is the part of the window tokens that goes to the shares.
	shareWindowFraction = 0.5
	// MaxCallTime is the maximum duration of a call to the limiter. The tokens of a later answer are discarded.
	MaxCallTime = 400 * time.Millisecond
)

// divideSmall gives all tokens of a limit to the pool, which holds at most one at a time.
//
// If a very low limit without slack were divided, no bucket would ever hold a whole token and all requests would be refused.
func divideSmall(tokens float64, t Tolerance) Division {
	depth := min(1, tokens)
	return Division{Pool: Bucket{Depth: depth, Rate: (tokens - depth) / (t.Window + MaxCallTime).Seconds()}}
}

// Divide divides a limit among a number of entry VMs.
//
// Each caller uses few entry VMs, so a workspace of a dozen callers sends requests to some of them only, and to each of these
// now and then. Equal parts for all would refuse requests at those entry VMs while most of the limit is unused elsewhere. An
// undivided limit would make each request wait for a call to another region.
func Divide(l Limit, t Tolerance, entries int) Division {
	n := float64(max(1, entries))
	left := allocatedFraction * t.Allowance(l)
	var share, pool Bucket
	share.Depth = math.Ceil(l.Rate / n * shareDepthTime.Seconds())
	if n*share.Depth > maxDepthFraction*left {
		share.Depth = math.Floor(maxDepthFraction * left / n)
	}
	restart := 0.0
	if 2*n*share.Depth <= maxRestartFraction*left {
		restart = share.Depth
	}
	left -= n * (share.Depth + restart)
	rate := refillFraction * left / (t.Window + MaxCallTime).Seconds()
	if share.Depth > 0 {
		// A share with no depth never holds a whole token, so that a rate would be wasted.
		share.Rate = shareRateFraction * rate / n
	}
	pool.Rate = rate - n*share.Rate
	if (1-refillFraction)*left/2 < 1 {
		return divideSmall(allocatedFraction*t.Allowance(l), t)
	}
	left *= 1 - refillFraction
	share.WindowTokens = math.Floor(shareWindowFraction * left / n)
	left -= n * share.WindowTokens
	pool.Depth, pool.WindowTokens = left/2, left/2
	return Division{Share: share, Pool: pool, RestartTokens: restart}
}
