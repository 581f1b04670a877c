// Package paquota divides the rate limit of a workspace among entry VMs, so that all of them together never admit more than
// it allows, whichever of them start, stop, lose power or are partitioned, and without a call per request.
//
// Each entry VM has a Share of the limit, a bucket of a few tokens. Most of the rate flows into a Pool, which one entry VM,
// the limiter, holds. The others refill their buckets from it, mostly before a request has to wait. A process that restarts
// assumes that its former lifetime used all tokens, except for Division.RestartTokens. Over a window at most
//
//	the depths of all shares, twice for shares with restart tokens
//	+ the window x the rates of shares and pool; for the pool, the window is longer by the maximum call time
//	+ the window tokens, which come back a window after their use
//
// requests are admitted. Divide keeps this sum below the allowance of Tolerance. The package does no I/O.
package paquota
