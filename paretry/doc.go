// Package paretry implements a retry budget for retries and hedged requests, which shrinks as load grows.
//
// A Budget is a token bucket: first attempts add tokens and further attempts spend them, so that further attempts
// stay at most a given ratio of first attempts, whatever fails.
package paretry
