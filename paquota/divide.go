package paquota

import (
	"math"
	"time"
)

// Limit is the rate limit of a workspace over all entry VMs: Rate requests a second after Burst at once.
type Limit struct{ Rate, Burst float64 }

// Terms say how far a limit may be passed: over any Window, (Rate x Window + Burst) x (1 + Overage) + Slack requests.
type Terms struct {
	Window         time.Duration
	Overage, Slack float64
}

// Allowance returns how many requests may run over a window.
func (t Terms) Allowance(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Overage) + t.Slack
}

// Division is how a limit is divided: what each entry VM has, and what the pool has.
type Division struct{ Share, Pool Bucket }

// Bucket is the rate, in requests a second, and the depth of a token bucket.
type Bucket struct{ Rate, Depth float64 }

const (
	// used is the part of the allowance that is given out. The rest covers an entry VM that some do not know of yet.
	used = 0.97
	// sharesRate is the part of the rate that shares have. They serve where the limiter is not reached; the pool
	// serves where callers are.
	sharesRate = 0.5
	// sharesDepth is the part of the depth that shares have.
	sharesDepth = 0.6
	// poolLeast is the least depth of a pool: the limiter is asked for a few at once.
	poolLeast = 4
	// CallTime is the longest that tokens of the pool are on their way; an answer that comes later is void.
	CallTime = 400 * time.Millisecond
)

// Divide divides a limit among a number of entry VMs.
//
// Load: each caller uses few entry VMs, so that a workspace of a dozen callers meets some of them only. Harm prevented:
// equal parts for all refuse requests where the callers are while most of the limit is unused elsewhere.
func Divide(l Limit, t Terms, entries int) Division {
	n := float64(max(1, entries))
	all := whole(l, t, 1-sharesRate)
	each := math.Floor(sharesDepth * all.Depth / n)
	if each == 0 && all.Depth-poolLeast >= n {
		each = 1
	}
	if each == 0 {
		// A bucket that holds no whole request lets none run.
		return Division{Pool: whole(l, t, 1)}
	}
	share := Bucket{Rate: sharesRate * all.Rate / n, Depth: each}
	return Division{Share: share, Pool: Bucket{Rate: all.Rate - n*share.Rate, Depth: all.Depth - n*share.Depth}}
}

// whole returns the rate and the depth of all buckets together, where the pool has a part of the rate.
func whole(l Limit, t Terms, pooled float64) Bucket {
	allowance := used * t.Allowance(l)
	lasting := t.Window.Seconds() + pooled*CallTime.Seconds()
	rate := used * l.Rate * (1 + t.Overage)
	if depth := allowance - rate*lasting; depth >= poolLeast {
		return Bucket{Rate: rate, Depth: depth}
	}
	depth := min(poolLeast, allowance)
	return Bucket{Rate: (allowance - depth) / lasting, Depth: depth}
}
