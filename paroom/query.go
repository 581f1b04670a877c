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
	return Usage{r.connections, r.requests, r.bytes, r.busy, r.use(now)}
}

func (r *Controller) use(now time.Time) float64 {
	return max(r.counted(0, 0), r.processor(now), part(int64(r.connections), int64(r.Limits.Connections)))
}

// counted is the use of the exact limits with this much more.
func (r *Controller) counted(requests int, bytes int64) float64 {
	return max(part(int64(r.requests+requests), int64(r.Limits.Requests)), part(r.bytes+bytes, r.Limits.Bytes))
}

func (r *Controller) processor(now time.Time) float64 {
	if r.busyAt.IsZero() || now.Sub(r.busyAt) > busyAge {
		return 0
	}
	return r.busy / busyLimit
}

// comeBack grows with what is beyond the lowest threshold; half of it is jitter.
func (r *Controller) comeBack(use, random float64) time.Duration {
	over := math.Max(0, use-thresholds[Retry]) / (1 - thresholds[Retry])
	wait := minComeBack.Seconds() * (1 + 4*over) * (0.5 + random)
	return min(maxComeBack, max(minComeBack/2, time.Duration(wait*float64(time.Second))))
}

func part(n, limit int64) float64 {
	if limit <= 0 {
		return 0
	}
	return float64(n) / float64(limit)
}
