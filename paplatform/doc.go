// Package paplatform defines the two services that the platform provides to a deployment: a small
// key-value Store with compare-and-swap, leases and watches, and a VMList, which lags.
//
// All packages access the platform through these interfaces. MemoryStore is a store on an injected clock
// with fault injection, for tests and demonstrations; package platform has the client of the real store.
// The revision of a value is the fencing token of its writer: revisions increase across the whole store and
// are never reused, so that a write with an outdated revision, by a process that was paused, always fails.
package paplatform
