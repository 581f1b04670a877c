package paplatform

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxWatchWait bounds a waiting watch, as the platform does, so that a caller that went away
// without a word does not hold one of its watches for good.
const maxWatchWait = 5 * time.Minute

// MemoryStore is a store in memory on an injected clock, with counts and injected faults. The zero
// value with a Clock is ready to use. Its own methods act for the caller with the empty name.
type MemoryStore struct {
	// Clock times leases, waits and delays.
	Clock clockwork.Clock

	mutex      sync.Mutex
	values     map[Key]Change
	leases     map[LeaseID]*lease
	revision   Revision
	granted    uint64
	changed    chan struct{}
	injections []Injection
	counts     Counts
}

// lease is the time a holder has left.
type lease struct {
	ttl  time.Duration
	ends time.Time
	stop func() bool
}

// As returns the store as the named caller sees it.
func (m *MemoryStore) As(c Caller) Store { return memoryCaller{m, c} }

// Counts returns what was counted so far.
func (m *MemoryStore) Counts() Counts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.counts
	c.Calls = maps.Clone(c.Calls)
	c.ByCaller = maps.Clone(c.ByCaller)
	return c
}

// Injections returns the faults that are in force.
func (m *MemoryStore) Injections() []Injection {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.injections)
}

// read returns the live value of a key; the mutex is held.
func (m *MemoryStore) read(key Key) (Value, bool) {
	c, ok := m.values[key]
	if !ok || c.Deleted {
		return Value{}, false
	}
	v := c.Value
	v.Data = slices.Clone(v.Data)
	return v, true
}

// changesAfter returns what a watch has to hear; the mutex is held.
func (m *MemoryStore) changesAfter(r WatchRequest) []Change {
	var found []Change
	for k, c := range m.values {
		match := k == r.Key || r.Prefix && strings.HasPrefix(string(k), string(r.Key))
		if !match || c.Revision <= r.After || c.Deleted && r.After == 0 {
			continue
		}
		c.Data = slices.Clone(c.Data)
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b Change) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	return found
}

// next returns the channel that closes at the next change; the mutex is held.
func (m *MemoryStore) next() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

func leaseID(n uint64) LeaseID { return LeaseID("lease-" + strconv.FormatUint(n, 10)) }
