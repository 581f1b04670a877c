package paplatform

import (
	"context"
	"slices"
	"time"
)

// Inject adds a fault to those in force; an outage ends all waiting watches that it matches.
func (m *MemoryStore) Inject(i ...Injection) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.injections = append(m.injections, i...)
	m.wake()
}

// ClearInjections removes all injected faults.
func (m *MemoryStore) ClearInjections() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.injections = nil
	m.wake()
}

// wake lets waiting watches look again; the mutex is held.
func (m *MemoryStore) wake() {
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

// count records a call; the mutex is held.
func (m *MemoryStore) count(c Caller, o Operation) {
	if m.counts.Calls == nil {
		m.counts.Calls = map[Operation]uint64{}
		m.counts.ByCaller = map[Caller]uint64{}
	}
	m.counts.Calls[o]++
	m.counts.ByCaller[c]++
}

// injected returns the fault that a call meets and uses it up; the mutex is held.
func (m *MemoryStore) injected(c Caller, o Operation, key Key) (Injection, bool) {
	for n, i := range m.injections {
		if !i.matches(c, o, key) {
			continue
		}
		if i.Times == 1 {
			m.injections = slices.Delete(m.injections, n, n+1)
		}
		if i.Times > 1 {
			m.injections[n].Times--
		}
		return i, true
	}
	return Injection{}, false
}

// call runs one operation under the injected faults; effect runs with the mutex held.
func (m *MemoryStore) call(ctx context.Context, c Caller, o Operation, key Key, effect func() error) error {
	m.mutex.Lock()
	m.count(c, o)
	i, hit := m.injected(c, o, key)
	m.mutex.Unlock()
	if !hit {
		return m.apply(ctx, o, key, effect)
	}
	lost := Unavailable
	if o.writes() {
		lost = Unknown
	}
	switch i.Effect {
	case Outage:
		return fail(Unavailable, key, "outage")
	case LostBefore:
		return fail(lost, key, "reply lost")
	case LostAfter:
		_ = m.apply(ctx, o, key, effect)
		return fail(lost, key, "reply lost")
	case LostLate:
		m.Clock.AfterFunc(i.Delay.Duration, func() { _ = m.apply(context.WithoutCancel(ctx), o, key, effect) })
		return fail(lost, key, "reply lost")
	case Slow:
		select {
		case <-m.Clock.After(i.Delay.Duration):
		case <-ctx.Done():
			return fail(lost, key, "%v", context.Cause(ctx))
		}
	}
	return m.apply(ctx, o, key, effect)
}

// apply lets an operation take effect unless the caller has given up before.
func (m *MemoryStore) apply(ctx context.Context, _ Operation, key Key, effect func() error) error {
	if ctx.Err() != nil {
		return fail(Unavailable, key, "%v", context.Cause(ctx))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	return effect()
}

// expire ends the leases whose time is over; the mutex is held.
func (m *MemoryStore) expire() {
	now := m.Clock.Now()
	for id, l := range m.leases {
		if !now.Before(l.ends) {
			m.end(id)
		}
	}
}

// end deletes a lease and its values; the mutex is held.
func (m *MemoryStore) end(id LeaseID) {
	l, ok := m.leases[id]
	if !ok {
		return
	}
	l.stop()
	delete(m.leases, id)
	for k, c := range m.values {
		if c.Lease == id && !c.Deleted {
			m.write(k, Change{Deleted: true})
		}
	}
}

// write puts a change under the next revision; the mutex is held.
func (m *MemoryStore) write(key Key, c Change) Revision {
	if m.values == nil {
		m.values = map[Key]Change{}
	}
	m.revision++
	c.Key = key
	c.Revision = m.revision
	if old, ok := m.values[key]; ok && !old.Deleted {
		c.Created = old.Created
	} else {
		c.Created = m.revision
	}
	m.values[key] = c
	m.wake()
	return m.revision
}

// swap is the effect of CompareAndSwap and Delete. The expected revision is the fence: a holder
// that was paused past its lease still writes with the revision it knew, which is never current
// again once the lease's end deleted the value or another holder wrote it.
func (m *MemoryStore) swap(key Key, expected Revision, c Change) (Revision, error) {
	if c.Lease != "" && m.leases[c.Lease] == nil {
		return 0, fail(LeaseLapsed, key, "lease %s has ended", c.Lease)
	}
	v, _ := m.read(key)
	if v.Revision != expected {
		return 0, fail(Conflict, key, "at revision %d, expected %d", v.Revision, expected)
	}
	m.counts.Bytes += uint64(len(c.Data))
	return m.write(key, c), nil
}

// hold starts or restarts the time of a lease; the mutex is held.
func (m *MemoryStore) hold(id LeaseID, ttl time.Duration) {
	if m.leases == nil {
		m.leases = map[LeaseID]*lease{}
	}
	if l := m.leases[id]; l != nil {
		l.stop()
	}
	t := m.Clock.AfterFunc(ttl, m.sweep)
	m.leases[id] = &lease{ttl: ttl, ends: m.Clock.Now().Add(ttl), stop: t.Stop}
}

// sweep ends lapsed leases without a call, so that watches hear of it.
func (m *MemoryStore) sweep() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
}
