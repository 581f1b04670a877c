package paplatform

import (
	"context"
	"slices"
	"time"
)

// Inject adds injections to the active ones. An outage ends the waiting watches that it matches.
func (m *MemoryStore) Inject(i ...Injection) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.injections = append(m.injections, i...)
	m.notifyWatches()
}

// ClearInjections removes all injections.
func (m *MemoryStore) ClearInjections() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.injections = nil
	m.notifyWatches()
}

// notifyWatches makes waiting watches check for changes and outages. The mutex is held.
func (m *MemoryStore) notifyWatches() {
	if m.changed != nil {
		close(m.changed)
	}
	m.changed = make(chan struct{})
}

// countCall counts a call. The mutex is held.
func (m *MemoryStore) countCall(c Caller, o Operation) {
	if m.counts.Calls == nil {
		m.counts.Calls = map[Operation]uint64{}
		m.counts.ByCaller = map[Caller]uint64{}
	}
	m.counts.Calls[o]++
	m.counts.ByCaller[c]++
}

// takeInjection returns the first injection that matches a call and counts it as used once. The mutex is held.
func (m *MemoryStore) takeInjection(c Caller, o Operation, key Key) (Injection, bool) {
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

// call runs one operation subject to the injections. effect runs with the mutex held.
func (m *MemoryStore) call(ctx context.Context, c Caller, o Operation, key Key, effect func() error) error {
	m.mutex.Lock()
	m.countCall(c, o)
	i, hit := m.takeInjection(c, o, key)
	m.mutex.Unlock()
	if !hit {
		return m.apply(ctx, o, key, effect)
	}
	lostFault := Unavailable
	if o.isWrite() {
		lostFault = Unknown
	}
	switch i.Effect {
	case Outage:
		return errorf(Unavailable, key, "outage")
	case LostBefore:
		return errorf(lostFault, key, "reply lost")
	case LostAfter:
		_ = m.apply(ctx, o, key, effect)
		return errorf(lostFault, key, "reply lost")
	case LostLate:
		m.Clock.AfterFunc(i.Delay.Duration, func() { _ = m.apply(context.WithoutCancel(ctx), o, key, effect) })
		return errorf(lostFault, key, "reply lost")
	case Slow:
		select {
		case <-m.Clock.After(i.Delay.Duration):
		case <-ctx.Done():
			return errorf(lostFault, key, "%v", context.Cause(ctx))
		}
	}
	return m.apply(ctx, o, key, effect)
}

// apply runs effect with the mutex held, after ending expired leases. It fails with Unavailable if ctx has ended.
func (m *MemoryStore) apply(ctx context.Context, _ Operation, key Key, effect func() error) error {
	if ctx.Err() != nil {
		return errorf(Unavailable, key, "%v", context.Cause(ctx))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeases()
	return effect()
}

// expireLeases ends the expired leases. The mutex is held.
func (m *MemoryStore) expireLeases() {
	now := m.Clock.Now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.endLease(id)
		}
	}
}

// endLease deletes a lease and its values. The mutex is held.
func (m *MemoryStore) endLease(id LeaseID) {
	l, ok := m.leases[id]
	if !ok {
		return
	}
	l.stopTimer()
	delete(m.leases, id)
	for k, c := range m.values {
		if c.Lease == id && !c.Deleted {
			m.write(k, Change{Deleted: true})
		}
	}
}

// write stores a change under the next revision and notifies watches. The mutex is held.
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
	m.notifyWatches()
	return m.revision
}

// swap is the effect of CompareAndSwap and Delete. The expected revision is the fencing token: a lease holder
// that was paused past its lease still writes with the revision it knows, which is never current again once
// the end of the lease has deleted the value or another holder has written it. The mutex is held.
func (m *MemoryStore) swap(key Key, expected Revision, c Change) (Revision, error) {
	if c.Lease != "" && m.leases[c.Lease] == nil {
		return 0, errorf(LeaseLapsed, key, "lease %s has ended", c.Lease)
	}
	v, _ := m.read(key)
	if v.Revision != expected {
		return 0, errorf(Conflict, key, "at revision %d, expected %d", v.Revision, expected)
	}
	m.counts.Bytes += uint64(len(c.Data))
	return m.write(key, c), nil
}

// startLease starts or renews a lease. The mutex is held.
func (m *MemoryStore) startLease(id LeaseID, ttl time.Duration) {
	if m.leases == nil {
		m.leases = map[LeaseID]*lease{}
	}
	if l := m.leases[id]; l != nil {
		l.stopTimer()
	}
	t := m.Clock.AfterFunc(ttl, m.expireOnTimer)
	m.leases[id] = &lease{ttl: ttl, expires: m.Clock.Now().Add(ttl), stopTimer: t.Stop}
}

// expireOnTimer ends expired leases at the end of a lease's ttl, so that watches are notified without a further call.
func (m *MemoryStore) expireOnTimer() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeases()
}
