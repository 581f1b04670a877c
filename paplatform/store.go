package paplatform

import (
	"context"
	"time"
)

// MaxValueSize is the most bytes that the platform's store takes as one value.
const MaxValueSize = 1 << 20

// Key names a value; its parts are separated by slashes.
type Key string

// Revision identifies one write of the store; it rises with each, and 0 means absent.
type Revision uint64

// LeaseID identifies a lease; the empty ID is no lease.
type LeaseID string

// Value is what the store holds under a key.
type Value struct {
	Key      Key
	Data     []byte
	Revision Revision
	// Created is the revision of the write that created the key, which is later than a removal before it; 0 is not known.
	Created Revision
	// Lease is the lease whose end deletes the value, if any.
	Lease LeaseID
}

// Change is the latest state of one key since the revision a watch began from.
type Change struct {
	Value
	// Deleted says that the key is gone; Data is empty then.
	Deleted bool
}

// WatchRequest asks for changes after a revision.
type WatchRequest struct {
	Key Key
	// Prefix widens the watch to all keys that begin with Key.
	Prefix bool
	// After is the revision of the latest known state; 0 asks for everything that exists.
	After Revision
	// Wait bounds how long the call stays open without a change; 0 returns at once.
	Wait time.Duration
}

// WatchReply is the answer to a watch; Changes is empty when the wait ended first.
type WatchReply struct {
	// Changes are in the order of their revisions.
	Changes []Change
	// Revision is the store's revision at the answer: the After of the next watch.
	Revision Revision
}

// Store is the platform's key-value service. Its errors carry a Fault, which FaultOf returns.
type Store interface {
	// Get returns the value of a key and whether it exists.
	Get(ctx context.Context, key Key) (Value, bool, error)
	// CompareAndSwap writes data if the key is at the expected revision, 0 for an absent key.
	// It fails with Conflict, TooLarge, LeaseLapsed, Unavailable (no effect) or Unknown.
	CompareAndSwap(ctx context.Context, key Key, expected Revision, data []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if it is at the expected revision; it fails as CompareAndSwap does.
	Delete(ctx context.Context, key Key, expected Revision) error
	// Watch waits for changes; a waiting watch counts as one call.
	Watch(ctx context.Context, r WatchRequest) (WatchReply, error)
	// GrantLease begins a lease that ends unless it is renewed within ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease starts the lease's time anew, or fails with LeaseLapsed.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its values; a lapsed lease is no error.
	RevokeLease(ctx context.Context, id LeaseID) error
}
