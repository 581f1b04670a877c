package paplatform

import (
	"context"
	"slices"
	"time"
)

// memoryCaller is a MemoryStore for calls by one caller.
type memoryCaller struct {
	memory *MemoryStore
	caller Caller
}

var _ Store = (*MemoryStore)(nil)

func (c memoryCaller) Get(ctx context.Context, key Key) (v Value, found bool, err error) {
	m := c.memory
	err = m.call(ctx, c.caller, OperationGet, key, func() error {
		v, found = m.read(key)
		m.counts.Bytes += uint64(len(v.Data))
		return nil
	})
	if err != nil {
		return Value{}, false, err
	}
	return v, found, nil
}

func (c memoryCaller) CompareAndSwap(ctx context.Context, key Key, expected Revision, data []byte, l LeaseID) (Revision, error) {
	if len(data) > MaxValueSize {
		return 0, errorf(TooLarge, key, "value has %d bytes, at most %d are allowed", len(data), MaxValueSize)
	}
	m := c.memory
	var r Revision
	owned := slices.Clone(data)
	err := m.call(ctx, c.caller, OperationCompareAndSwap, key, func() (err error) {
		r, err = m.swap(key, expected, Change{Value: Value{Data: owned, Lease: l}})
		return err
	})
	if err != nil {
		return 0, err
	}
	return r, nil
}

func (c memoryCaller) Delete(ctx context.Context, key Key, expected Revision) error {
	m := c.memory
	return m.call(ctx, c.caller, OperationDelete, key, func() error {
		if expected == 0 {
			return errorf(Invalid, key, "expected revision is 0, must be the revision of the value to delete")
		}
		_, err := m.swap(key, expected, Change{Deleted: true})
		return err
	})
}

func (c memoryCaller) Watch(ctx context.Context, r WatchRequest) (WatchReply, error) {
	m := c.memory
	var reply WatchReply
	var changed <-chan struct{}
	collect := func() error {
		reply = WatchReply{Changes: m.changesAfter(r), Revision: m.revision}
		changed = m.nextChange()
		return nil
	}
	if err := m.call(ctx, c.caller, OperationWatch, r.Key, collect); err != nil {
		return WatchReply{}, err
	}
	if len(reply.Changes) > 0 || r.Wait <= 0 {
		return reply, nil
	}
	m.addWaiting(1)
	defer m.addWaiting(-1)
	end := m.Clock.After(min(r.Wait, maxWatchWait))
	for len(reply.Changes) == 0 {
		select {
		case <-ctx.Done():
			return WatchReply{}, errorf(Unavailable, r.Key, "%v", context.Cause(ctx))
		case <-end:
			return reply, nil
		case <-changed:
		}
		if m.inOutage(c.caller, r.Key) {
			return WatchReply{}, errorf(Unavailable, r.Key, "outage")
		}
		if err := m.apply(ctx, OperationWatch, r.Key, collect); err != nil {
			return WatchReply{}, err
		}
	}
	return reply, nil
}

func (c memoryCaller) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if ttl <= 0 {
		return "", errorf(Invalid, "", "lease ttl is %s, must be positive", ttl)
	}
	m := c.memory
	var id LeaseID
	err := m.call(ctx, c.caller, OperationGrantLease, "", func() error {
		m.leaseCount++
		id = leaseID(m.leaseCount)
		m.startLease(id, ttl)
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

func (c memoryCaller) RenewLease(ctx context.Context, id LeaseID) error {
	m := c.memory
	return m.call(ctx, c.caller, OperationRenewLease, "", func() error {
		l := m.leases[id]
		if l == nil {
			return errorf(LeaseLapsed, "", "lease %s has ended", id)
		}
		m.startLease(id, l.ttl)
		return nil
	})
}

func (c memoryCaller) RevokeLease(ctx context.Context, id LeaseID) error {
	m := c.memory
	return m.call(ctx, c.caller, OperationRevokeLease, "", func() error {
		m.endLease(id)
		return nil
	})
}

// addWaiting adjusts the number of waiting watches.
func (m *MemoryStore) addWaiting(by int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counts.Waiting += by
	m.counts.MostWaiting = max(m.counts.MostWaiting, m.counts.Waiting)
}

// inOutage reports whether an injected outage matches a watch of the caller.
func (m *MemoryStore) inOutage(c Caller, key Key) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.ContainsFunc(m.injections, func(i Injection) bool {
		return i.Effect == Outage && i.matches(c, OperationWatch, key)
	})
}

// Get implements Store.
func (m *MemoryStore) Get(ctx context.Context, key Key) (Value, bool, error) {
	return m.As("").Get(ctx, key)
}

// CompareAndSwap implements Store.
func (m *MemoryStore) CompareAndSwap(ctx context.Context, key Key, expected Revision, data []byte, l LeaseID) (Revision, error) {
	return m.As("").CompareAndSwap(ctx, key, expected, data, l)
}

// Delete implements Store.
func (m *MemoryStore) Delete(ctx context.Context, key Key, expected Revision) error {
	return m.As("").Delete(ctx, key, expected)
}

// Watch implements Store.
func (m *MemoryStore) Watch(ctx context.Context, r WatchRequest) (WatchReply, error) {
	return m.As("").Watch(ctx, r)
}

// GrantLease implements Store.
func (m *MemoryStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return m.As("").GrantLease(ctx, ttl)
}

// RenewLease implements Store.
func (m *MemoryStore) RenewLease(ctx context.Context, id LeaseID) error {
	return m.As("").RenewLease(ctx, id)
}

// RevokeLease implements Store.
func (m *MemoryStore) RevokeLease(ctx context.Context, id LeaseID) error {
	return m.As("").RevokeLease(ctx, id)
}
