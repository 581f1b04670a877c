// Package pasubset decides which entry VM of an availability zone sends to a target.
//
// It answers the load of a service whose callers compete for slots, in a zone with many entry VMs: each of them sends to each target a
// few times in a minute. It opens a connection for every second request, knows only an old load of the target, and none of them can
// order what waits there. With one sender for each target and zone, as many entry VMs send to a target as there are zones.
//
// The decision is weighted rendezvous hashing. It needs no message: entry VMs that know the same others decide alike, and if one of n
// joins or leaves, about one of n targets gets another sender. Where they disagree, a target has two senders for a time, which is what it
// has without this package.
package pasubset
