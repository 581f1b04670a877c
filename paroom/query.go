package paroom

import (
	"math"
	"time"
)

// Weight returns the room for look-ups' weights, 0 to 1; it is damped.
func (r *Controller) Weight() float64 { return r.weight }

// Usage is how much of its limits an entry VM uses.
type Usage struct {
	Connections, Requests int
	Bytes                 int64
	// CPU is the smoothed busy share of the processors.
	CPU float64
	// Max is the largest use of a limit, 1 at the limit.
	Max float64
}

// Usage returns the present use.
func (r *Controller) Usage(now time.Time) Usage {
	return Usage{r.connections, r.requests, r.bytes, r.cpu, r.maxUse(now)}
}

func (r *Controller) maxUse(now time.Time) float64 {
	return max(r.exactUse(0, 0), r.cpuUse(now), fraction(int64(r.connections), int64(r.Limits.Connections)))
}

// exactUse is the use of the exact limits with this much more.
func (r *Controller) exactUse(requests int, bytes int64) float64 {
	return max(fraction(int64(r.requests+requests), int64(r.Limits.Requests)), fraction(r.bytes+bytes, r.Limits.Bytes))
}

func (r *Controller) cpuUse(now time.Time) float64 {
	if r.cpuAt.IsZero() || now.Sub(r.cpuAt) > maxCPUAge {
		return 0
	}
	return r.cpu / cpuLimit
}

// retryAfter grows with what is beyond the lowest threshold; half of it is jitter.
func (r *Controller) retryAfter(use, random float64) time.Duration {
	over := math.Max(0, use-thresholds[Retry]) / (1 - thresholds[Retry])
	wait := minRetryAfter.Seconds() * (1 + 4*over) * (0.5 + random)
	return min(maxRetryAfter, max(minRetryAfter/2, time.Duration(wait*float64(time.Second))))
}

func fraction(n, limit int64) float64 {
	if limit <= 0 {
		return 0
	}
	return float64(n) / float64(limit)
}
