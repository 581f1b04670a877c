package paplatform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MemoryVMList is an in-memory VM list with a lag: List shows a change once it is as old as the lag. The zero
// value with a Clock is ready to use.
type MemoryVMList struct {
	// Clock times the lag.
	Clock clockwork.Clock

	mutex     sync.Mutex
	lag       time.Duration
	outage    bool
	listCalls uint64
	current   map[string]VM
	pending   []pendingChange
	listed    map[string]VM
}

// pendingChange is a change that List doesn't show yet.
type pendingChange struct {
	at   time.Time
	name string
	// vm is nil for a removed VM.
	vm *VM
}

var _ VMList = (*MemoryVMList)(nil)

// List returns the VMs as they were one lag ago, sorted by name. During an outage it fails with Unavailable.
func (m *MemoryVMList) List(ctx context.Context) ([]VM, error) {
	if ctx.Err() != nil {
		return nil, errorf(Unavailable, "Machines", "%v", context.Cause(ctx))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.listCalls++
	if m.outage {
		return nil, errorf(Unavailable, "Machines", "outage")
	}
	m.applyPending()
	return sortedByName(m.listed), nil
}

// Current returns the current VMs, sorted by name, without the lag.
func (m *MemoryVMList) Current() []VM {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return sortedByName(m.current)
}

// ListCalls returns the number of calls of List.
func (m *MemoryVMList) ListCalls() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.listCalls
}

func sortedByName(all map[string]VM) []VM {
	return slices.SortedFunc(maps.Values(all), func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
}

// Put adds or replaces a VM.
func (m *MemoryVMList) Put(v VM) { m.record(v.Name, &v) }

// Remove removes a VM.
func (m *MemoryVMList) Remove(name string) { m.record(name, nil) }

// SetState sets the state of a VM. It reports whether the VM exists.
func (m *MemoryVMList) SetState(name string, s VMState) bool {
	m.mutex.Lock()
	v, ok := m.current[name]
	m.mutex.Unlock()
	if !ok {
		return false
	}
	v.State = s
	m.Put(v)
	return true
}

// SetLag sets the lag. It also applies to earlier changes that List doesn't show yet.
func (m *MemoryVMList) SetLag(d time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lag = d
}

// SetOutage starts or ends an outage of List.
func (m *MemoryVMList) SetOutage(down bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outage = down
}

func (m *MemoryVMList) record(name string, v *VM) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.current == nil {
		m.current = map[string]VM{}
		m.listed = map[string]VM{}
	}
	putOrDelete(m.current, name, v)
	m.pending = append(m.pending, pendingChange{m.Clock.Now(), name, v})
}

// applyPending applies the changes that are at least as old as the lag to the listed VMs. The mutex is held.
func (m *MemoryVMList) applyPending() {
	until := m.Clock.Now().Add(-m.lag)
	for len(m.pending) > 0 && !m.pending[0].at.After(until) {
		c := m.pending[0]
		putOrDelete(m.listed, c.name, c.vm)
		m.pending = m.pending[1:]
	}
}

func putOrDelete(all map[string]VM, name string, v *VM) {
	if v == nil {
		delete(all, name)
		return
	}
	all[name] = *v
}
