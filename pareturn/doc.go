// Package pareturn decides when callers that were refused return, so that they do not return together and are refused again.
//
// Under an overload of some seconds an entry VM refuses hundreds of callers a second. If all of them are told about the same time,
// they return together, take what came free in a moment, and most are refused again. So each caller gets a reservation: the next
// time at which a token of its workspace's rate limit is expected and that no other caller has reserved.
//
// A Schedule holds the reservations in order of time, by workspace. Only a part of the tokens is reserved, as callers that
// come for the first time can still be answered within their target latency. Each attempt of a caller has an ID of its own and may
// reach any entry VM, so that nothing names one that returns; Deadlines recognizes it by the time that it still has.
//
// The package does no I/O. Times are since any fixed moment on a clock that is never set.
package pareturn
