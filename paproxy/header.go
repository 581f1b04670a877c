package paproxy

import (
	"net/http"

	"papayahead/paheader"
)

// Header names of the protocol towards callers and targets.
const (
	// RequestIDHeader carries the request's identity; an answer repeats it.
	RequestIDHeader = "Papaya-Request-Id"
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
	// FirstSentHeader carries the time in milliseconds since 1970 at which the caller sent its first copy
	// of a keyed request; RepeatHeader is "true" on later copies.
	FirstSentHeader = "Papaya-First-Sent"
	RepeatHeader    = "Papaya-Repeat"
	// DeadlineHeader carries the milliseconds left to the deadline.
	DeadlineHeader = "Papaya-Deadline"
	// OutcomeHeader carries the Outcome of an answer or refusal; a target sets it to NotRun on a 503
	// for work that it shed.
	OutcomeHeader = "Papaya-Outcome"
	// ComeBackHeader carries the milliseconds after which a refused caller should come back.
	ComeBackHeader = "Papaya-Come-Back"
	// DrainingHeader is "true" on answers of a target that leaves.
	DrainingHeader = "Papaya-Draining"
	// StampHeader carries the sender's hybrid logical time to targets and back, for the time line.
	StampHeader = "Papaya-Stamp"
	// AttemptHeader counts the attempts at a request towards a target, from 1.
	AttemptHeader = "Papaya-Attempt"
)

// reservedHeaders are the fields that only this system sets, so that no caller or target speaks in its name.
var reservedHeaders = []string{OutcomeHeader, ComeBackHeader, DrainingHeader, AttemptHeader, DeadlineHeader, RequestIDHeader, StampHeader}

// endToEnd returns a copy of the header without the fields of the connection and of this system.
func endToEnd(h http.Header) http.Header {
	c := paheader.EndToEnd(h)
	for _, name := range reservedHeaders {
		c.Del(name)
	}
	return c
}

// addAll adds the fields of the source to the destination.
func addAll(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}
