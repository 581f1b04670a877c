package pabuffer

import "sync/atomic"

const (
	// memoryDivisor is the divisor of the memory limit of the process that yields its budget. Garbage collection lets the heap grow
	// to twice what is live, and a buffer that grows is live twice for a moment; half of the memory is left for all else.
	memoryDivisor = 8
	// bytesPerMB is a megabyte in bytes.
	bytesPerMB = 1 << 20
)

// fractions are the parts of the budget that may be used up when a body of each priority takes from it; the last counts for all less
// urgent ones. What is more urgent still finds room while less urgent bodies do not.
var fractions = [...]float64{1, 0.85, 0.7}

// Budget is a number of bytes that may be held at a time. The zero value has no bound. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// SetMemory sets the budget by the memory limit of the process in megabytes; 0 is no bound. It is called before the first use.
func (b *Budget) SetMemory(megabytes float64) {
	b.limit = int64(megabytes * bytesPerMB / memoryDivisor)
}

// IsBounded reports whether the budget has a bound.
func (b *Budget) IsBounded() bool { return b.limit > 0 }

// Limit returns the bound in bytes; 0 if there is none.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the bytes that are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// take takes bytes for a body of a priority, 0 the most urgent, and reports whether there were as many.
func (b *Budget) take(n int64, priority int) bool {
	most := int64(float64(b.limit) * fractions[min(max(0, priority), len(fractions)-1)])
	for {
		held := b.held.Load()
		if b.limit > 0 && held+n > most {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}
