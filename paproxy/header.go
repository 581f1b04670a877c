package paproxy

import (
	"net/http"

	"papayahead/paheader"
)

// Header fields of the protocol with callers and targets.
const (
	// RequestIDHeader carries the request's ID; the response repeats it.
	RequestIDHeader = "Papaya-Request-Id"
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
	// FirstSentHeader carries the time in milliseconds since 1970 at which the caller first sent a
	// request with an idempotency key; RepeatHeader is "true" on later copies.
	FirstSentHeader = "Papaya-First-Sent"
	RepeatHeader    = "Papaya-Repeat"
	// DeadlineHeader carries the milliseconds left until the deadline.
	DeadlineHeader = "Papaya-Deadline"
	// OutcomeHeader carries the Outcome of a response or refusal. A target sets it to NotRun on a 503
	// for work that it shed.
	OutcomeHeader = "Papaya-Outcome"
	// ComeBackHeader carries the milliseconds after which a refused caller should retry.
	ComeBackHeader = "Papaya-Come-Back"
	// DrainingHeader is "true" on responses of a target that is shutting down.
	DrainingHeader = "Papaya-Draining"
	// StampHeader carries the sender's hybrid logical timestamp to targets and back, for ordering
	// events.
	StampHeader = "Papaya-Stamp"
	// AttemptHeader carries the number of the attempt sent to a target, from 1.
	AttemptHeader = "Papaya-Attempt"
)

// reservedHeaders are the fields that only this system sets; those of callers and targets are
// removed.
var reservedHeaders = []string{
	OutcomeHeader, ComeBackHeader, DrainingHeader, AttemptHeader, DeadlineHeader, RequestIDHeader, StampHeader,
}

// endToEnd returns a copy of the header without hop-by-hop and reserved fields.
func endToEnd(h http.Header) http.Header {
	c := paheader.EndToEnd(h)
	for _, name := range reservedHeaders {
		c.Del(name)
	}
	return c
}

// addAll appends all values of one header to another.
func addAll(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}
