package paroom

import (
	"math"
	"time"
)

// Class is the kind of a request as far as refusals go.
type Class int

// The classes in the order in which they are refused.
const (
	// Retry is a repeat: the caller has had an answer or can wait, and repeats grow with load.
	Retry Class = iota
	// Long is work that holds its place for long, such as a restore.
	Long
	// Short is an ordinary first attempt.
	Short
	// Settled is work that another entry VM has already placed here by a credit.
	Settled
)

// String returns the class's name.
func (c Class) String() string {
	return [...]string{"Retry", "Long", "Short", "Settled"}[c]
}

// thresholds are the uses of a limit from which on a class is refused.
//
// The load is an entry VM of seven whose neighbour died at 80 % load, and then full saturation. The
// harm is that everything slows down together. Retries go first, then long work, then ordinary first
// attempts; work that was granted goes only at the limit itself. The first threshold leaves the load
// of a dead neighbour in, which takes 80 % to 93 %: at 80 % for retries, half of them were refused
// for nothing.
var thresholds = [...]float64{Retry: 0.95, Long: 0.97, Short: 0.99, Settled: 1}

const (
	// cpuLimit is the busy share of the processors at which an entry VM counts as full. Harm: above
	// it the run queue, and with it every latency, grows without bound. Value: with Poisson arrivals
	// waiting at 85 % is under six times the service time, which is tens of microseconds here.
	cpuLimit = 0.85
	// maxCPUAge is the age from which on a measured share says nothing; the counted limits still hold.
	maxCPUAge = 5 * time.Second
	// cpuSmoothing is the time over which the busy share is averaged. Harm: one collection of
	// garbage would refuse callers. Value: a few samples at one a second.
	cpuSmoothing = 2 * time.Second
	// defaultCacheTTL is the life of cached answers if none is set.
	defaultCacheTTL = 5 * time.Second
	// minWeight keeps a full entry VM in a few answers, or no caller would find out that it has room.
	minWeight = 0.02
	// minRetryAfter and maxComeBack bound the time to come back.
	minRetryAfter = time.Second
	maxRetryAfter = 20 * time.Second
)

// Limits are what an entry VM can carry; a limit of 0 is not applied.
type Limits struct {
	Connections, Requests int
	Bytes                 int64
}

// Controller is the account of one entry VM. Set the exported fields before use; it is used by one
// goroutine at a time.
type Controller struct {
	Limits Limits
	// CacheTTL is how long callers use a look-up's answer.
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
	// RetryAfter is when to come back after a refusal, jittered.
	RetryAfter time.Duration
}

// Admit decides on a request that would hold bytes in memory, and counts it if it is let in; random
// is in [0, 1). Call End with the same bytes when it is over.
//
// A refusal is final and at once: the caller keeps the time to go to the next entry VM of its list.
func (r *Controller) Admit(now time.Time, c Class, bytes int64, random float64) Decision {
	use := max(r.exactUse(1, bytes), r.cpuUse(now))
	if use > thresholds[c] {
		return Decision{Refused: true, RetryAfter: r.retryAfter(use, random)}
	}
	r.requests++
	r.bytes += bytes
	return Decision{}
}

// Release gives back what a request held.
func (r *Controller) Release(bytes int64) {
	r.requests = max(0, r.requests-1)
	r.bytes = max(0, r.bytes-bytes)
}

// Grow counts bytes that a running request holds beyond what it was admitted with; negative bytes
// give back. It returns false, and counts nothing, when the limit forbids it: read no further then.
func (r *Controller) Grow(bytes int64) bool {
	if bytes > 0 && r.Limits.Bytes > 0 && r.bytes+bytes > r.Limits.Bytes {
		return false
	}
	r.bytes = max(0, r.bytes+bytes)
	return true
}

// Connect counts a caller's connection, or returns false when there is no room for it.
func (r *Controller) Connect() bool {
	if r.Limits.Connections > 0 && r.connections >= r.Limits.Connections {
		return false
	}
	r.connections++
	return true
}

// Disconnect gives a connection back.
func (r *Controller) Disconnect() { r.connections = max(0, r.connections-1) }

// SetCPU takes the busy share of the processors, 0 to 1.
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

// UpdateWeight moves the weight for look-ups; call it about once a second.
//
// The load is callers that act on a cached answer until it has expired. Moved at once, the weight
// would send all callers to the emptiest entry VM for a whole life of the answers, and then all to
// the next. It goes down over one life of the answers and up over three.
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
