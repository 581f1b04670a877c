// Package palookup answers callers' look-ups: for a service and a caller's address, which entry VMs to use.
//
// Table maps client address blocks to regions. It is immutable: Apply returns a new Table that shares what did not
// change, so that look-ups go on in the old one without a lock while a change is applied.
//
// Plan.Answer decides which entry VMs a caller gets, in which order. It does no I/O.
package palookup
