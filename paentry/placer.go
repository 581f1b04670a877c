package paentry

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pabundle"
	"papayahead/pacontrol"
	"papayahead/paowner"
	"papayahead/paproxy"
	"papayahead/patarget"
)

// pendingRequest is a request between its first Place and its end.
type pendingRequest struct {
	id paowner.RequestID
	// placements is filled by the control goroutine, which must not block: its capacity is maxPlacements.
	placements chan paproxy.Placement
}

// maxPlacements bounds the placements that wait for a request. Two are expected: that of one attempt and the
// final one after it.
const maxPlacements = 4

func (d *Daemon) newFront() *paproxy.Proxy {
	return &paproxy.Proxy{
		Placer:   d,
		Services: d,
		Targets:  d.targets,
		Peers: &paproxy.PeerClient{
			Self: d.config.Settings.Name, Dial: d.config.Network.Dial, Clock: d.config.Clock,
			Events: d.config.Recorder, Stamps: &d.config.Recorder.Stamps,
			NewCallID: func() string { return string(d.newRequestID()) },
		},
		Calls:    &paproxy.CallRegistry{Incarnation: uint64(d.config.Incarnation), Clock: d.config.Clock},
		Observer: d,
		Events:   d.config.Recorder,
		Stamps:   &d.config.Recorder.Stamps,
		Pacer:    d.links,
		Clock:    d.config.Clock,
		NewID:    d.newRequestID,
	}
}

// newRequestID returns a request ID that is unique among all processes: this one's name and incarnation,
// and a counter.
func (d *Daemon) newRequestID() paproxy.RequestID {
	n := d.lastID.Add(1)
	return paproxy.RequestID(string(d.config.Settings.Name) + "-" +
		strconv.FormatUint(uint64(d.config.Incarnation), 36) + "-" + strconv.FormatUint(n, 36))
}

// Timeouts implements paproxy.Services.
func (d *Daemon) Timeouts(name pabundle.ServiceName) (paproxy.Timeouts, bool) {
	s, ok := d.snapshot.Load().Services[name]
	if !ok {
		return paproxy.Timeouts{}, false
	}
	return paproxy.Timeouts{Default: s.Timeout.Duration, Max: s.MaxTimeout.Duration}, true
}

// Place implements paproxy.Placer. The first call for a request offers it to the control state; later
// calls wait for the placement that the control state chooses after the previous attempt has ended.
func (d *Daemon) Place(ctx context.Context, r paproxy.Request) paproxy.Placement {
	f := d.pendingRequest(ctx, r)
	for {
		select {
		case p := <-f.placements:
			if admitted := d.links.admit(p, r.Size); admitted {
				return p
			}
		case <-ctx.Done():
			return paproxy.Refuse{Reason: paproxy.ReasonDeadline}
		}
	}
}

// pendingRequest returns the state of a request. On the first call it offers the request to the control
// state; the request ends with ctx.
func (d *Daemon) pendingRequest(ctx context.Context, r paproxy.Request) *pendingRequest {
	if f, ok := d.requests.Load(r.LocalID); ok {
		return f.(*pendingRequest)
	}
	f := &pendingRequest{id: paowner.RequestID(r.LocalID), placements: make(chan paproxy.Placement, maxPlacements)}
	d.requests.Store(r.LocalID, f)
	d.inFlight.Add(1)
	context.AfterFunc(ctx, func() {
		d.links.forget(r.ID)
		d.endRequest(r.LocalID, f)
	})
	d.send(step{request: f, event: d.offeredEvent(f.id, r)})
	return f
}

func (d *Daemon) offeredEvent(id paowner.RequestID, r paproxy.Request) pacontrol.Offered {
	o := pacontrol.Offered{
		Request: paowner.Request{
			ID: id, Service: r.Service, Deadline: r.Deadline, Idempotent: r.Idempotent,
			Bytes: max(0, r.Size), MaxWait: r.MaxQueueWait, Class: classOf(r), Block: blockOf(r.Caller),
		},
		// Unlike the caller's request ID, which a repeat may carry too, this one names a single copy.
		Identity:   d.copyID(id),
		Origin:     r.Origin,
		Credit:     r.Credit,
		FirstSent:  r.FirstSent,
		Repeat:     r.Repeat,
		BodyDigest: r.Digest,
	}
	if r.Origin != "" {
		return o
	}
	if r.Repeat {
		o.Request.Attempt = 1
	}
	if r.Key != "" && !r.Idempotent {
		o.Key = r.Key
	}
	o.From = d.regionOf(d.snapshot.Load(), r.Caller)
	return o
}

// Run times are learned per class, since safe and other HTTP methods differ in cost.
const (
	classSafe uint8 = iota
	classChanging
)

func classOf(r paproxy.Request) uint8 {
	if r.Safe {
		return classSafe
	}
	return classChanging
}

// blockBits is the prefix length of the address blocks between which callers are treated fairly.
const blockBits = 24

// blockOf returns a hash of the address block of a caller, 0 for an invalid address.
func blockOf(a netip.Addr) uint32 {
	p, err := a.Unmap().Prefix(min(blockBits, a.Unmap().BitLen()))
	if err != nil {
		return 0
	}
	return uint32(xxhash.Sum64(p.Addr().AsSlice()))
}

// copyID returns a unique ID for one copy of a request that was offered to this daemon.
func (d *Daemon) copyID(id paowner.RequestID) string {
	return string(d.config.Settings.Name) + "-" + strconv.FormatUint(uint64(d.config.Incarnation), 36) +
		"-c" + strconv.FormatUint(uint64(id), 36)
}

// endRequest ends a request at this entry VM. Placements that were not used are cancelled, which frees
// their slots.
func (d *Daemon) endRequest(exchange uint64, f *pendingRequest) {
	d.requests.Delete(exchange)
	d.send(step{event: pacontrol.RequestDone{Request: f.id}, then: func([]pacontrol.Effect) {
		delete(d.waiting, f.id)
		for {
			select {
			case p := <-f.placements:
				d.cancelPlacement(p)
			default:
				d.inFlight.Add(-1)
				return
			}
		}
	}})
}

// cancelPlacement ends an unused placement as NotRun. It runs on the control goroutine and calls Done on
// another one: Done posts an event, which could block the control goroutine on its own channel.
func (d *Daemon) cancelPlacement(p paproxy.Placement) {
	notSent := paproxy.Result{Outcome: paproxy.NotRun, Reason: paproxy.ReasonCallerGone, Fault: paproxy.FaultCaller}
	switch v := p.(type) {
	case paproxy.Local:
		go v.Done(notSent)
	case paproxy.Forward:
		go v.Done(notSent)
	}
}

func (d *Daemon) localPlacement(v pacontrol.Start) paproxy.Placement {
	return paproxy.Local{
		Target: v.Target, Address: v.Address, MaxConnections: v.Connections,
		Done: func(r paproxy.Result) {
			if r.Draining {
				d.post(pacontrol.Draining{Target: v.Target})
			}
			d.post(pacontrol.Ended{Request: v.Request, Result: attemptResult(v.Attempt, r), Status: r.Status})
		},
	}
}

func (d *Daemon) forwardPlacement(v pacontrol.Forward) paproxy.Placement {
	return paproxy.Forward{
		Entry: v.Entry, Address: v.Address, Incarnation: v.Incarnation, Credit: v.Credit, MaxQueueWait: v.MaxWait,
		Done: func(r paproxy.Result) {
			d.post(pacontrol.Ended{Request: v.Request, Result: attemptResult(v.Attempt, r), Status: r.Status})
		},
	}
}

// attemptResult converts the result of an attempt for the control state.
func attemptResult(attempt int, r paproxy.Result) paowner.Result {
	return paowner.Result{Attempt: attempt, Outcome: outcomeOf(r), Run: r.Duration, RetryAfter: r.RetryAfter}
}

// firstServerError is the lowest HTTP status that counts as a failure of the target.
const firstServerError = 500

func outcomeOf(r paproxy.Result) patarget.Outcome {
	switch {
	case r.Outcome == paproxy.Answered && r.Status >= firstServerError:
		return patarget.Failed
	case r.Outcome == paproxy.Answered:
		return patarget.Answered
	case r.Outcome == paproxy.NotRun && r.Fault == paproxy.FaultShed:
		return patarget.Shed
	case r.Outcome == paproxy.NotRun:
		return patarget.NotRun
	case r.Fault == paproxy.FaultCaller:
		return patarget.Abandoned
	case r.Fault == paproxy.FaultConnection, r.Fault == paproxy.FaultDeadline && r.TimeToHeader == 0:
		return patarget.Silent
	default:
		return patarget.Unknown
	}
}

// Finished implements paproxy.Observer.
func (d *Daemon) Finished(r paproxy.Request, last paproxy.Result) {
	d.metrics.finished(r, last, d.config.Clock.Since(r.Arrived))
}

// probeTimeout bounds a health probe. Targets of the Kartuli deployment answer one in about 6 ms.
const probeTimeout = 500 * time.Millisecond
