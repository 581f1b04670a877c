package paproxy

import (
	"context"
	"net/netip"
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
)

// RequestID identifies a request across all hops and attempts.
type RequestID string

// Request describes a request to the Placer. It is a copy and may be retained.
type Request struct {
	ID RequestID
	// LocalID identifies the request at this entry VM across its attempts. It is unique even if a
	// caller sends two requests with the same ID.
	LocalID uint64
	Service pabundle.ServiceName
	Method  string
	// Key is the caller's idempotency key; "" means none.
	Key string
	// Safe requests change nothing; Idempotent ones may run more than once.
	Safe, Idempotent bool
	// Digest of the method, path, query and length distinguishes different requests with the same key.
	Digest uint64
	// FirstSent is the time at which the caller sent its first copy, zero if unknown. Repeat marks
	// later copies.
	FirstSent time.Time
	Repeat    bool
	// Attempt counts from 1; Previous is the result of the previous attempt.
	Attempt  int
	Previous Result
	Arrived  time.Time
	Deadline time.Time
	// Size is the body's length in bytes; -1 means unknown.
	Size   int64
	Caller netip.Addr
	// Origin is the entry VM that forwarded the request; "" means that it arrived here.
	Origin pabundle.EntryName
	// Credit is the token with which the owner granted capacity to the origin.
	Credit string
	// Target is the origin's choice of target for a forwarded request; "" means any.
	Target pabundle.TargetName
	// MaxQueueWait is the longest wait for a slot that the origin accepts; 0 means no limit.
	MaxQueueWait time.Duration
}

// Placer decides where a request is sent. Place may wait for a slot until the context ends. It is
// called again, with a higher Attempt, after an attempt failed and another is safe; the Placer
// limits such attempts by refusing.
type Placer interface {
	Place(ctx context.Context, r Request) Placement
}

// Placement is a decision: Local, Forward, Refuse or Conclude.
type Placement interface{ placement() }

// Local sends the request to a target of the same zone.
type Local struct {
	Target  pabundle.TargetName
	Address netip.AddrPort
	// MaxConnections is this entry VM's share of the target's connections; 0 means no limit.
	MaxConnections int
	// Done, if set, is called once with the attempt's result.
	Done func(Result)
}

// Forward sends the request to the entry VM that owns a target for it.
type Forward struct {
	Entry   pabundle.EntryName
	Address netip.AddrPort
	// Incarnation identifies the peer's process. If it is 0, a lost call ends as Unknown, because a
	// restarted peer can't tell whether it ran.
	Incarnation uint64
	Credit      string
	// Target is the chosen target; "" lets the peer choose.
	Target pabundle.TargetName
	// MaxQueueWait is sent with the request; 0 means no limit.
	MaxQueueWait time.Duration
	// Done, if set, is called once with the attempt's result.
	Done func(Result)
}

// Refuse rejects the request without sending it.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Conclude ends the request without sending it, with the outcome of an earlier copy with the same
// key.
type Conclude struct {
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status of the response to the earlier copy; 0 means none.
	Status     int
	RetryAfter time.Duration
}

func (Conclude) placement() {}
func (Local) placement()    {}
func (Forward) placement()  {}
func (Refuse) placement()   {}

// Timeouts are a service's request timeouts.
type Timeouts struct {
	// Default is the deadline of a request that sets none; Max limits those that are set.
	Default, Max time.Duration
}

// Services looks up the services of the current bundle.
type Services interface {
	Timeouts(name pabundle.ServiceName) (Timeouts, bool)
}

// Flow is one direction of a request's body bytes at this entry VM.
type Flow struct {
	Request RequestID
	Service pabundle.ServiceName
	// Peer is the entry VM at the other end; "" means a target or caller of this zone.
	Peer pabundle.EntryName
	// Sending reports that this entry VM sends the bytes to Peer.
	Sending bool
}

// Pacer is called before each chunk of a body is passed on, with its size in bytes. It may block to
// keep a link within its rate limit. An error ends the request.
type Pacer interface {
	Pace(ctx context.Context, f Flow, bytes int) error
}

// Events receives the events of requests that went wrong. Successful requests and refusals are
// reported only to the Observer: under load there are thousands per second.
type Events interface {
	Record(e paevent.Event)
}

// record records the event; a nil receiver drops it.
func record(to Events, e paevent.Event) {
	if to != nil {
		to.Record(e)
	}
}

// eventSubject returns the subject of events about the request.
func eventSubject(r Request) paevent.Subject {
	return paevent.Subject{Request: string(r.ID), Service: string(r.Service)}
}

// Observer is told of each request's end, after its last attempt.
type Observer interface {
	Finished(r Request, last Result)
}
