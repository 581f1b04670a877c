package paplatform

import (
	"context"
	"time"
)

// MaxValueSize is the maximum size of a value in the platform's store, in bytes.
const MaxValueSize = 1 << 20

// Key is the name of a value. Its parts are separated by slashes.
type Key string

// Revision identifies one write to the store and increases with each write. 0 is the revision of an absent key.
type Revision uint64

// LeaseID identifies a lease. The empty ID means no lease.
type LeaseID string

// Value is the value of a key, with its metadata.
type Value struct {
	Key      Key
	Data     []byte
	Revision Revision
	// Created is the revision of the write that created the key, after its last deletion if any; 0 if unknown.
	Created Revision
	// Lease is the lease to which the value is bound, if any: the value is deleted when it ends.
	Lease LeaseID
}

// Change is the latest state of a key that has changed since the revision that a watch started from.
type Change struct {
	Value
	// Deleted is set if the key was deleted. Data is empty then.
	Deleted bool
}

// WatchRequest asks for changes after a revision.
type WatchRequest struct {
	Key Key
	// Prefix extends the watch to all keys with the prefix Key.
	Prefix bool
	// After is the revision of the latest known state. 0 asks for all existing values.
	After Revision
	// Wait is how long to wait for a change. 0 returns immediately.
	Wait time.Duration
}

// WatchReply is the result of a watch. Changes is empty if the wait ended without a change.
type WatchReply struct {
	// Changes are in revision order.
	Changes []Change
	// Revision is the store's revision at the time of the reply, to be used as After of the next watch.
	Revision Revision
}

// Store is the platform's key-value store. FaultOf returns the Fault of its errors.
type Store interface {
	// Get returns the value of a key and whether the key exists.
	Get(ctx context.Context, key Key) (Value, bool, error)
	// CompareAndSwap writes data, bound to the lease if there is one, if the key is at the expected revision (0 for an
	// absent key), and returns the new revision. It fails with Conflict, TooLarge, LeaseLapsed, Unavailable (no effect) or
	// Unknown.
	CompareAndSwap(ctx context.Context, key Key, expected Revision, data []byte, lease LeaseID) (Revision, error)
	// Delete deletes the key if it is at the expected revision. It fails like CompareAndSwap.
	Delete(ctx context.Context, key Key, expected Revision) error
	// Watch waits for changes. It counts as one call, however long it waits.
	Watch(ctx context.Context, r WatchRequest) (WatchReply, error)
	// GrantLease starts a lease that expires unless it is renewed within ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the lease's ttl. It fails with LeaseLapsed if the lease has expired.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its values. It is no error if the lease has already expired.
	RevokeLease(ctx context.Context, id LeaseID) error
}
