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

// MemoryVMList is a VM list in memory that lags: a change shows after the lag. The zero value with a
// Clock is ready to use.
type MemoryVMList struct {
	// Clock times the lag.
	Clock clockwork.Clock

	mutex   sync.Mutex
	lag     time.Duration
	down    bool
	lists   uint64
	present map[string]VM
	recent  []machineChange
	shown   map[string]VM
}

// machineChange is a change that the list may not show yet.
type machineChange struct {
	at   time.Time
	name string
	// vm is nil where the VM was removed.
	vm *VM
}

var _ VMList = (*MemoryVMList)(nil)

// List returns the VMs as they were one lag ago, in the order of their names.
func (m *MemoryVMList) List(ctx context.Context) ([]VM, error) {
	if ctx.Err() != nil {
		return nil, fail(Unavailable, "Machines", "%v", context.Cause(ctx))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lists++
	if m.down {
		return nil, fail(Unavailable, "Machines", "outage")
	}
	m.settle()
	return sorted(m.shown), nil
}

// Current returns the VMs as they are, without the lag.
func (m *MemoryVMList) Current() []VM {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return sorted(m.present)
}

// ListCalls returns how many times the list was asked for.
func (m *MemoryVMList) ListCalls() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lists
}

func sorted(all map[string]VM) []VM {
	return slices.SortedFunc(maps.Values(all), func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
}

// Put adds a VM or changes it.
func (m *MemoryVMList) Put(v VM) { m.change(v.Name, &v) }

// Remove takes a VM off the list.
func (m *MemoryVMList) Remove(name string) { m.change(name, nil) }

// SetState changes the state of a VM and reports whether the VM is known.
func (m *MemoryVMList) SetState(name string, s VMState) bool {
	m.mutex.Lock()
	v, ok := m.present[name]
	m.mutex.Unlock()
	if !ok {
		return false
	}
	v.State = s
	m.Put(v)
	return true
}

// SetLag sets how late changes show, those of the past included.
func (m *MemoryVMList) SetLag(d time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lag = d
}

// SetOutage starts or ends an outage of the list.
func (m *MemoryVMList) SetOutage(down bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.down = down
}

func (m *MemoryVMList) change(name string, v *VM) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.present == nil {
		m.present = map[string]VM{}
		m.shown = map[string]VM{}
	}
	set(m.present, name, v)
	m.recent = append(m.recent, machineChange{m.Clock.Now(), name, v})
}

// settle shows the changes that are older than the lag; the mutex is held.
func (m *MemoryVMList) settle() {
	until := m.Clock.Now().Add(-m.lag)
	for len(m.recent) > 0 && !m.recent[0].at.After(until) {
		c := m.recent[0]
		set(m.shown, c.name, c.vm)
		m.recent = m.recent[1:]
	}
}

func set(all map[string]VM, name string, v *VM) {
	if v == nil {
		delete(all, name)
		return
	}
	all[name] = *v
}
