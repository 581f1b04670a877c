package paroom

import (
	"math"
	"time"
)

// Weight returns the smoothed weight of this entry VM in look-up answers, 0 to 1.
func (r *Controller) Weight() float64 { return r.weight }

// Usage is the load of an entry VM.
type Usage struct {
	Connections, Requests int
	Bytes                 int64
	// CPU is the smoothed CPU use, 0 to 1.
	CPU float64
	// Max is the use of the limit that is closest to being reached, 1 at the limit.
	Max float64
}

// Usage returns the current load.
func (r *Controller) Usage(now time.Time) Usage {
	return Usage{r.connections, r.requests, r.bytes, r.cpu, r.maxUse(now)}
}

// maxUse returns the largest use of any limit, 1 at the limit.
func (r *Controller) maxUse(now time.Time) float64 {
	return max(r.exactUse(0, 0), r.cpuUse(now), fraction(int64(r.connections), int64(r.Limits.Connections)))
}

// exactUse returns the larger use of the limits on requests and bytes with this many more in flight.
func (r *Controller) exactUse(requests int, bytes int64) float64 {
	return max(fraction(int64(r.requests+requests), int64(r.Limits.Requests)), fraction(r.bytes+bytes, r.Limits.Bytes))
}

// cpuUse returns the CPU use relative to cpuLimit, 0 without a recent sample.
func (r *Controller) cpuUse(now time.Time) float64 {
	if r.cpuAt.IsZero() || now.Sub(r.cpuAt) > maxCPUAge {
		return 0
	}
	return r.cpu / cpuLimit
}

// retryAfter returns the delay for a refused request. It grows with the use above the lowest threshold, and
// random scales it by 0.5 to 1.5.
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
