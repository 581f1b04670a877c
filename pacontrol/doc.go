// Package pacontrol holds the control state of an entry VM's daemon: one deterministic state machine
// that combines gossip membership, target ownership, admission, traffic shares between regions,
// credits and the ledger of idempotency keys.
//
// Step takes one Event and the current time and returns Effects, plain values that the daemon carries
// out: decisions on waiting requests, messages to send, probes to make, events to record. Step does no
// I/O and is called by one goroutine, so that a fuzz test can drive the code that runs in production.
// The request path never reads this state; it reads the immutable Snapshot that Step publishes.
package pacontrol
