package paproxy

import (
	"context"
	"net/netip"
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
)

// RequestID identifies a request over all hops and attempts.
type RequestID string

// Request is what a Placer knows of a request; it is a copy, safe to keep.
type Request struct {
	ID RequestID
	// LocalID identifies the request at this entry VM over its attempts; no two share one, even if
	// a caller sends two requests under one ID.
	LocalID uint64
	Service pabundle.ServiceName
	Method  string
	// Key is the caller's idempotency key; "" is none.
	Key string
	// Safe requests change nothing; Idempotent ones may run more than once.
	Safe, Idempotent bool
	// Digest tells two requests under one key apart: of method, path, query and length.
	Digest uint64
	// FirstSent is when the caller sent its first copy, zero if it did not say; Repeat marks later ones.
	FirstSent time.Time
	Repeat    bool
	// Attempt counts from 1; Previous is the result of the attempt before.
	Attempt  int
	Previous Result
	Arrived  time.Time
	Deadline time.Time
	// Size is the body's length in bytes; -1 is not known.
	Size   int64
	Caller netip.Addr
	// Origin is the entry VM that forwarded the request; "" is this one.
	Origin pabundle.EntryName
	// Credit is the token under which the owner granted room to the origin.
	Credit string
	// Target is the target that the origin has in mind for a forwarded request; "" is any.
	Target pabundle.TargetName
	// MaxQueueWait is the longest wait for a slot that is of use to the origin; 0 is no bound.
	MaxQueueWait time.Duration
}

// Placer decides where a request goes. Place may wait for a slot, until the context ends; it is
// called anew, with a higher Attempt, when an attempt failed and another can do no harm. The Placer
// bounds such attempts by refusing.
type Placer interface {
	Place(ctx context.Context, r Request) Placement
}

// Placement is a decision: Local, Forward, Refuse or Conclude.
type Placement interface{ placement() }

// Local sends the request to a target of the own zone.
type Local struct {
	Target  pabundle.TargetName
	Address netip.AddrPort
	// MaxConnections is this entry VM's part of the target's connections; 0 is no limit.
	MaxConnections int
	// Done, if set, is called once with the end of the attempt.
	Done func(Result)
}

// Forward hands the request to the entry VM that owns a target for it.
type Forward struct {
	Entry   pabundle.EntryName
	Address netip.AddrPort
	// Incarnation is the peer's; with 0 a lost call is Unknown, because a restarted peer has forgotten.
	Incarnation uint64
	Credit      string
	// Target is the target in mind; "" leaves the choice to the peer.
	Target pabundle.TargetName
	// MaxQueueWait goes with the request; 0 is no bound.
	MaxQueueWait time.Duration
	// Done, if set, is called once with the end of the attempt.
	Done func(Result)
}

// Refuse turns the request away; it has not run.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Conclude ends the request without sending it, with an outcome that is known from elsewhere: what
// became of an earlier copy under the same key.
type Conclude struct {
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status that the earlier copy was answered with; 0 is none.
	Status     int
	RetryAfter time.Duration
}

func (Conclude) placement() {}
func (Local) placement()    {}
func (Forward) placement()  {}
func (Refuse) placement()   {}

// Timeouts are what a service allows its callers.
type Timeouts struct {
	// Default is the deadline of a request that names none; Max bounds those named.
	Default, Max time.Duration
}

// Services knows the services of the bundle in force.
type Services interface {
	Timeouts(name pabundle.ServiceName) (Timeouts, bool)
}

// Flow is one direction of a request's body bytes at this entry VM.
type Flow struct {
	Request RequestID
	Service pabundle.ServiceName
	// Peer is the entry VM at the other end; "" is a target or caller of the own zone.
	Peer pabundle.EntryName
	// Sending is true where this entry VM sends the bytes to Peer.
	Sending bool
}

// Pacer is asked before each piece of a body is passed on, with its size in bytes. It may wait, to
// keep a link within its limit; an error ends the request.
type Pacer interface {
	Pace(ctx context.Context, f Flow, bytes int) error
}

// Events takes the events of the path, which are those of requests that went wrong. Ordinary ends and
// refusals are the Observer's: under load there are thousands a second.
type Events interface {
	Record(e paevent.Event)
}

// record records the event where anyone wants it.
func record(to Events, e paevent.Event) {
	if to != nil {
		to.Record(e)
	}
}

// eventSubject returns the subject of the request's events.
func eventSubject(r Request) paevent.Subject {
	return paevent.Subject{Request: string(r.ID), Service: string(r.Service)}
}

// Observer hears of each request's end, after its last attempt.
type Observer interface {
	Finished(r Request, last Result)
}
