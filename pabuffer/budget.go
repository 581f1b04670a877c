package pabuffer

import "sync/atomic"

const (
	// memoryDivisor is the divisor of the memory limit of the process that yields its budget. Garbage collection lets the heap grow
	// beyond what is live, and a buffer that grows is live twice for a moment; half of the memory is left for all else.
	memoryDivisor = 2
	// partDivisor is the divisor of the memory limit that yields each Part but Connections.
	partDivisor = 8
	// bytesPerMB is a megabyte in bytes.
	bytesPerMB = 1 << 20
)

// Part is what bytes of a Budget are held for. Each but Connections has a bound of its own, so that none of them takes the room of all
// others.
type Part int

const (
	// Connections are the connections of clients with a buffer and a goroutine each, the requests in progress, and the first bytes of
	// heads and bodies: what an ordinary request takes. They may use up all that is left of the budget.
	Connections Part = iota
	// Heads are the heads of requests and responses beyond their first bytes.
	Heads
	// Bodies are bodies that are held, or wait to be read, beyond their first bytes.
	Bodies
	// Messages are messages between entry VMs that have not arrived whole.
	Messages
	// Received is what the system may hold of connections that are not read. It has no bound of its own.
	Received
	parts
)

// fractions are the parts of the room for bodies that may be used up when a body of each priority takes from it; the last counts for all
// less urgent ones. What is more urgent still finds room while less urgent bodies do not.
var fractions = [...]float64{1, 0.85, 0.7}

// Budget is the account of a process's memory: how many bytes it may hold at a time for its clients and their requests. The zero value
// has no bound, nor has a nil one. It is safe for concurrent use.
type Budget struct {
	// OnReceived is called when what is taken for Received has changed by much, with the bytes; it may be nil. It is set before the first
	// use, and may be called on several goroutines at once.
	OnReceived func(bytes int64)

	limit, partLimit int64
	// noted is what OnReceived was last called with.
	noted   atomic.Int64
	held    atomic.Int64
	parts   [parts]atomic.Int64
	refused atomic.Uint64
}

// SetMemory sets the budget by the memory limit of the process in megabytes; 0 is no bound. It is called before the first use.
func (b *Budget) SetMemory(megabytes float64) {
	b.limit = int64(megabytes * bytesPerMB / memoryDivisor)
	b.partLimit = int64(megabytes * bytesPerMB / partDivisor)
}

// IsBounded reports whether the budget has a bound.
func (b *Budget) IsBounded() bool { return b != nil && b.limit > 0 }

// Limit returns the bound in bytes; 0 if there is none.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the bytes that are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// HeldFor returns the bytes that are held for a part.
func (b *Budget) HeldFor(p Part) int64 { return b.parts[p].Load() }

// Refused returns how often there was no room.
func (b *Budget) Refused() uint64 { return b.refused.Load() }

// Take takes bytes for a part, and reports whether there was room. What is taken must be put back.
func (b *Budget) Take(p Part, n int64) bool {
	most := int64(0)
	if b.IsBounded() {
		most = b.partLimit
		if p == Connections || p == Received {
			most = b.limit
		}
	}
	return b.takeUpTo(p, n, most)
}

// noteReceivedDivisor is the divisor of the bound that yields by how much Received changes before OnReceived is called.
const noteReceivedDivisor = 16

func (b *Budget) noteReceived() {
	now, last := b.parts[Received].Load(), b.noted.Load()
	if b.OnReceived != nil && max(now-last, last-now) > b.limit/noteReceivedDivisor && b.noted.CompareAndSwap(last, now) {
		b.OnReceived(now)
	}
}

// takeUpTo is Take with a bound of the part; 0 is none.
func (b *Budget) takeUpTo(p Part, n, most int64) bool {
	if b == nil {
		return true
	}
	if b.parts[p].Add(n) > most && most > 0 {
		b.parts[p].Add(-n)
		b.refused.Add(1)
		return false
	}
	if b.held.Add(n) > b.limit && b.limit > 0 {
		b.PutBack(p, n)
		b.refused.Add(1)
		return false
	}
	if p == Received {
		b.noteReceived()
	}
	return true
}

// PutBack returns bytes that were taken for a part.
func (b *Budget) PutBack(p Part, n int64) {
	if b == nil {
		return
	}
	b.parts[p].Add(-n)
	b.held.Add(-n)
	if p == Received {
		b.noteReceived()
	}
}

// take takes bytes for a body of a priority, 0 the most urgent, and reports whether there were as many.
func (b *Budget) take(n int64, priority int) bool {
	if !b.IsBounded() {
		return b.takeUpTo(Bodies, n, 0)
	}
	return b.takeUpTo(Bodies, n, int64(float64(b.partLimit)*fractions[min(max(0, priority), len(fractions)-1)]))
}
