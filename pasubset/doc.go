// Package pasubset decides which entry VM of an availability zone sends to a target.
//
// It answers the load of a service whose callers compete for slots, in a zone with many entry VMs: each of them speaks to each target a
// few times in a minute, so that its connections are never warm, its knowledge of the target's load is old, and nobody can order what
// waits there. With one sender for each target and zone, a target hears from as many entry VMs as there are zones.
//
// The decision is weighted rendezvous hashing. It needs no message: entry VMs that know the same others decide alike, and if one of n
// joins or leaves, about one of n targets gets another sender. Where they disagree, a target has two senders for a time, which is what it
// has without this package.
package pasubset
