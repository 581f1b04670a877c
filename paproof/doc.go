// Package paproof keeps the proof that a request has not run. It decides whether a request may be sent to a target, and whether its
// caller may be told that it did not run and never will.
//
// Load: any in which requests are sent more than once, as targets reject them or connections fail. Without a proof a caller that is told so sends
// the request again while it runs, and a request that must run once is sent on while an earlier target runs it.
package paproof
