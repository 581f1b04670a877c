// Package paquota divides the rate limit of a workspace among entry VMs, so that what all of them let run never exceeds
// it, whichever of them start, end, lose power or are cut off, and without a call for each request.
//
// Each entry VM has a Share of the limit, a bucket that fills by itself. What shares leave is in a Pool that one entry
// VM keeps, the limiter; the others take from it when their own bucket runs low. Every bucket is empty at first, so
// that a process that starts anew cannot let run again what its former lifetime did. Over a time T at most
//
//	the depths of all buckets + T x the rates of all buckets + the pool's rate x the longest call
//
// requests run, and Divide keeps this sum below the allowance of Terms. Nothing in this package does any I/O.
package paquota
