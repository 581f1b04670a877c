// Package paspread distributes the configuration in force to every daemon.
//
// A few daemons of each zone (Watchers) watch the platform's store; the others learn of changes from peers. What is
// distributed is the head, a small record whose sequence only rises, and then the pieces of the bundle that the head
// names, each identified and verified by its digest. Only missing pieces are fetched, from peers known to have the head
// or from the store. A daemon that has all pieces of a new head offers it to some peers at once; the others notice the
// higher sequence in the next membership message (pamember.NewerConfigSeen) and ask for it.
//
// A Replicator is a pure state machine, like pamember.Member: it takes events, returns commands, does no I/O and is
// used by one goroutine.
//
// A booting daemon asks several peers and waits for their answers before it adopts the highest head, so that a stale
// peer that answers first is not trusted. From then on the sequence only rises.
package paspread
