// Package paquota divides the rate limit of a workspace among entry VMs, so that what all of them let run never exceeds
// it, whichever of them start, end, lose power or are cut off, and without a call for each request.
//
// Each entry VM has a Share of the limit, a bucket of a few tokens. Most of the rate flows into a Pool that one entry VM
// keeps, the limiter; the others refill their buckets from it, mostly before a request has to wait. A process that starts
// anew takes all for used by its former lifetime, but for what Division.Again allows. Over a window at most
//
//	what shares hold, twice where they have something again at once
//	+ the window x the rates of shares and pool, the pool's for the longest call more
//	+ the tokens that come back
//
// requests run, and Divide keeps this sum below the allowance of Terms. Nothing in this package does any I/O.
package paquota
