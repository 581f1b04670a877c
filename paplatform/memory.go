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

// maxWatchWait limits the wait of a watch, as the platform does, so that a client that disappeared without
// closing its connection doesn't occupy one of its watches forever.
const maxWatchWait = 5 * time.Minute

// MemoryStore is an in-memory Store on an injected clock, with counters and fault injection. The zero value
// with a Clock is ready to use. Its own Store methods act for the caller with the empty name.
type MemoryStore struct {
	// Clock is the clock of leases, watches and delays.
	Clock clockwork.Clock

	mutex      sync.Mutex
	values     map[Key]Change
	leases     map[LeaseID]*lease
	revision   Revision
	leaseCount uint64
	changed    chan struct{}
	injections []Injection
	counts     Counts
}

// lease is a granted lease.
type lease struct {
	ttl       time.Duration
	expires   time.Time
	stopTimer func() bool
}

// As returns the store for calls by the named caller.
func (m *MemoryStore) As(c Caller) Store { return memoryCaller{m, c} }

// Counts returns a copy of the counters.
func (m *MemoryStore) Counts() Counts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.counts
	c.Calls = maps.Clone(c.Calls)
	c.ByCaller = maps.Clone(c.ByCaller)
	return c
}

// Injections returns the active injections.
func (m *MemoryStore) Injections() []Injection {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.injections)
}

// read returns the value of a key and whether it exists. The mutex is held.
func (m *MemoryStore) read(key Key) (Value, bool) {
	c, ok := m.values[key]
	if !ok || c.Deleted {
		return Value{}, false
	}
	v := c.Value
	v.Data = slices.Clone(v.Data)
	return v, true
}

// changesAfter returns the changes that a watch reports, in revision order. The mutex is held.
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

// nextChange returns the channel that is closed at the next notification of watches. The mutex is held.
func (m *MemoryStore) nextChange() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

func leaseID(n uint64) LeaseID { return LeaseID("lease-" + strconv.FormatUint(n, 10)) }
