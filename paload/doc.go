// Package paload estimates how many requests a target has and how slow work is there, from the responses to this entry VM and from
// what neighbours had in theirs.
//
// It answers the load of many entry VMs that send to many targets: each hears of a given target every few seconds, while the queue
// there changes within a run. An entry VM that counts only its own requests in between takes a full target for a free one, as all
// others do at the same time.
//
// The package does no I/O and reads no clock. Callers serialize all calls.
package paload
