package paroom

import (
	"math"
	"time"
)

// Class is the priority of a request for admission.
type Class int

// The classes, from the first to the last to be refused as load rises.
const (
	// Retry is a repeated request: its caller has had a response or can wait, and retries multiply under load.
	Retry Class = iota
	// Long is a long-running request, such as a restore.
	Long
	// Short is an ordinary first attempt.
	Short
	// Settled is a request that another entry VM forwarded here with a credit.
	Settled
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"Retry", "Long", "Short", "Settled"}[c]
}

// thresholds are the uses of a limit above which a class is refused, so that an overloaded entry VM does
// not slow down for all requests alike. Retries are refused first, then long requests, then ordinary
// first attempts; requests with a credit are refused only at the limit itself.
//
// The lowest threshold must allow the load after one of seven entry VMs has died, which raises 80 % to
// 93 % on the others: with 80 % for retries, half of them were refused needlessly.
var thresholds = [...]float64{Retry: 0.95, Long: 0.97, Short: 0.99, Settled: 1}

const (
	// cpuLimit is the CPU use at which an entry VM counts as full. Above it the run queue, and with it every
	// latency, grows without bound. At 85 %, with Poisson arrivals, the wait is under six times the service
	// time, which is tens of microseconds here.
	cpuLimit = 0.85
	// maxCPUAge is the age above which the CPU sample is ignored; the exact limits still apply.
	maxCPUAge = 5 * time.Second
	// cpuSmoothing is the time constant of the moving average of CPU use: a few samples, at one a second.
	// Without it, a single garbage collection would cause refusals.
	cpuSmoothing = 2 * time.Second
	// defaultCacheTTL is used if CacheTTL is not set.
	defaultCacheTTL = 5 * time.Second
	// minWeight keeps a full entry VM in a few answers, so that callers find out when it has capacity again.
	minWeight = 0.02
	// minRetryAfter and maxRetryAfter bound the retry delay; jitter may halve the minimum.
	minRetryAfter = time.Second
	maxRetryAfter = 20 * time.Second
)

// Limits are the capacity of an entry VM; a limit of 0 is not applied.
type Limits struct {
	Connections, Requests int
	Bytes                 int64
}

// Controller is the account of one entry VM. Set the exported fields before use; it is used by one
// goroutine at a time.
type Controller struct {
	Limits Limits
	// CacheTTL is how long callers cache a look-up answer.
	CacheTTL time.Duration

	connections, requests int
	bytes                 int64
	cpu                   float64
	cpuAt                 time.Time
	weight                float64
	weightAt              time.Time
}

// Decision is the outcome of admission.
type Decision struct {
	Refused bool
	// RetryAfter is the delay, with jitter, after which a refused request may be retried.
	RetryAfter time.Duration
}

// Admit decides whether to admit a request that would hold bytes in memory, and counts it if so; random
// is in [0, 1) and sets the jitter. Call Release with the same bytes when an admitted request has ended.
//
// A refusal is immediate and final, which leaves the caller time to try the next entry VM of its list.
func (r *Controller) Admit(now time.Time, c Class, bytes int64, random float64) Decision {
	use := max(r.exactUse(1, bytes), r.cpuUse(now))
	if use > thresholds[c] {
		return Decision{Refused: true, RetryAfter: r.retryAfter(use, random)}
	}
	r.requests++
	r.bytes += bytes
	return Decision{}
}

// Release ends the accounting of an admitted request.
func (r *Controller) Release(bytes int64) {
	r.requests = max(0, r.requests-1)
	r.bytes = max(0, r.bytes-bytes)
}

// Grow counts bytes that a running request holds beyond what it was admitted with; negative bytes release
// some. It returns false, and counts nothing, if the limit would be exceeded; the caller must then stop
// reading.
func (r *Controller) Grow(bytes int64) bool {
	if bytes > 0 && r.Limits.Bytes > 0 && r.bytes+bytes > r.Limits.Bytes {
		return false
	}
	r.bytes = max(0, r.bytes+bytes)
	return true
}

// Connect counts a caller's connection, or returns false if the limit is reached.
func (r *Controller) Connect() bool {
	if r.Limits.Connections > 0 && r.connections >= r.Limits.Connections {
		return false
	}
	r.connections++
	return true
}

// Disconnect counts the end of a connection.
func (r *Controller) Disconnect() { r.connections = max(0, r.connections-1) }

// SetCPU adds a sample of the CPU use, 0 to 1; NaN is ignored.
func (r *Controller) SetCPU(now time.Time, share float64) {
	if math.IsNaN(share) {
		return
	}
	share = math.Min(1, math.Max(0, share))
	alpha := 1.0
	if elapsed := now.Sub(r.cpuAt); !r.cpuAt.IsZero() && elapsed < maxCPUAge {
		alpha = 1 - math.Exp(-elapsed.Seconds()/cpuSmoothing.Seconds())
	}
	r.cpu += alpha * (share - r.cpu)
	r.cpuAt = now
}

// UpdateWeight moves the weight for look-ups towards the free capacity; call it about once a second.
//
// Callers use a cached answer until it expires. If the weight followed the load at once, all callers would
// go to the least loaded entry VM for one CacheTTL, and then all to the next. Its time constant is one
// CacheTTL when it falls and three when it rises.
func (r *Controller) UpdateWeight(now time.Time) {
	want := math.Max(minWeight, 1-r.maxUse(now))
	if r.weightAt.IsZero() {
		r.weight, r.weightAt = want, now
		return
	}
	ttl := r.CacheTTL
	if ttl <= 0 {
		ttl = defaultCacheTTL
	}
	if want > r.weight {
		ttl *= 3
	}
	elapsed := max(0, now.Sub(r.weightAt))
	r.weight += (1 - math.Exp(-elapsed.Seconds()/ttl.Seconds())) * (want - r.weight)
	r.weightAt = now
}
