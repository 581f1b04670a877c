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

// flight is one request between its first Place and its end.
type flight struct {
	id paowner.RequestID
	// placements has room for the answer to one attempt; the control goroutine fills it.
	placements chan paproxy.Placement
}

// maxPlacements is how many placements may wait for a request: one, and the final one after it.
const maxPlacements = 4

func (d *Daemon) newFront() *paproxy.Front {
	return &paproxy.Front{
		Placer:   d,
		Services: d,
		Targets:  d.targets,
		Peers: &paproxy.Peers{
			Self: d.config.Settings.Name, Dial: d.config.Network.Dial, Clock: d.config.Clock, Events: d.config.Recorder, Stamps: &d.config.Recorder.Stamps,
			NewCall: func() string { return string(d.newRequestID()) },
		},
		Register: &paproxy.Register{Incarnation: uint64(d.config.Incarnation), Clock: d.config.Clock},
		Observer: d,
		Events:   d.config.Recorder,
		Stamps:   &d.config.Recorder.Stamps,
		Pacer:    d.links,
		Clock:    d.config.Clock,
		NewID:    d.newRequestID,
	}
}

// newRequestID returns an identity that no other process uses: the name and start of this one, and
// a number.
func (d *Daemon) newRequestID() paproxy.RequestID {
	n := d.ids.Add(1)
	return paproxy.RequestID(string(d.config.Settings.Name) + "-" +
		strconv.FormatUint(uint64(d.config.Incarnation), 36) + "-" + strconv.FormatUint(n, 36))
}

// Terms implements paproxy.Services.
func (d *Daemon) Terms(name pabundle.ServiceName) (paproxy.Terms, bool) {
	s, ok := d.snapshot.Load().Services[name]
	if !ok {
		return paproxy.Terms{}, false
	}
	return paproxy.Terms{Timeout: s.Timeout.Duration, MaxTimeout: s.MaxTimeout.Duration}, true
}

// Place implements paproxy.Placer. The first attempt offers the request to the control state; later
// ones wait for what the control state made of the end of the one before.
func (d *Daemon) Place(ctx context.Context, r paproxy.Request) paproxy.Placement {
	f := d.flight(ctx, r)
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

func (d *Daemon) flight(ctx context.Context, r paproxy.Request) *flight {
	if f, ok := d.flights.Load(r.Exchange); ok {
		return f.(*flight)
	}
	f := &flight{id: paowner.RequestID(r.Exchange), placements: make(chan paproxy.Placement, maxPlacements)}
	d.flights.Store(r.Exchange, f)
	d.inFlight.Add(1)
	context.AfterFunc(ctx, func() {
		d.links.forget(r.ID)
		d.land(r.Exchange, f)
	})
	d.send(step{flight: f, event: d.offer(f.id, r)})
	return f
}

func (d *Daemon) offer(id paowner.RequestID, r paproxy.Request) pacontrol.Offered {
	o := pacontrol.Offered{
		Request: paowner.Request{
			ID: id, Service: r.Service, Deadline: r.Deadline, Idempotent: r.Idempotent,
			Bytes: max(0, r.Size), MaxWait: r.Patience, Class: classOf(r), Block: blockOf(r.Caller),
		},
		// The caller's own identity may come twice; this one names this copy alone.
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

// The classes by which run times are learned apart: reading and changing cost differently.
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

// blockBits is the length of the prefix by which callers are told apart where fairness asks for it.
const blockBits = 24

// blockOf identifies the block of addresses that a caller is in.
func blockOf(a netip.Addr) uint32 {
	p, err := a.Unmap().Prefix(min(blockBits, a.Unmap().BitLen()))
	if err != nil {
		return 0
	}
	return uint32(xxhash.Sum64(p.Addr().AsSlice()))
}

func (d *Daemon) copyID(id paowner.RequestID) string {
	return string(d.config.Settings.Name) + "-" + strconv.FormatUint(uint64(d.config.Incarnation), 36) +
		"-c" + strconv.FormatUint(uint64(id), 36)
}

// land ends a request at this entry VM. A placement that nobody took was never acted on, so that
// its slot is given back as not run.
func (d *Daemon) land(exchange uint64, f *flight) {
	d.flights.Delete(exchange)
	d.send(step{event: pacontrol.RequestDone{Request: f.id}, then: func([]pacontrol.Effect) {
		delete(d.waiting, f.id)
		for {
			select {
			case p := <-f.placements:
				d.giveBack(p)
			default:
				d.inFlight.Add(-1)
				return
			}
		}
	}})
}

// giveBack ends an attempt that was never made. It runs on the control goroutine, which must not
// wait for itself.
func (d *Daemon) giveBack(p paproxy.Placement) {
	notMade := paproxy.Result{Outcome: paproxy.NotRun, Reason: paproxy.ReasonCallerGone, Fault: paproxy.FaultCaller}
	switch v := p.(type) {
	case paproxy.Local:
		go v.Done(notMade)
	case paproxy.Forward:
		go v.Done(notMade)
	}
}

func (d *Daemon) local(v pacontrol.Start) paproxy.Placement {
	return paproxy.Local{
		Target: v.Target, Address: v.Address, MaxConnections: v.Connections,
		Done: func(r paproxy.Result) {
			if r.Draining {
				d.post(pacontrol.Draining{Target: v.Target})
			}
			d.post(pacontrol.Ended{Request: v.Request, Result: ended(v.Attempt, r), Status: r.Status})
		},
	}
}

func (d *Daemon) forward(v pacontrol.Forward) paproxy.Placement {
	return paproxy.Forward{
		Entry: v.Entry, Address: v.Address, Incarnation: v.Incarnation, Credit: v.Credit, Patience: v.MaxWait,
		Done: func(r paproxy.Result) {
			d.post(pacontrol.Ended{Request: v.Request, Result: ended(v.Attempt, r), Status: r.Status})
		},
	}
}

// ended tells the control state how an attempt ended.
func ended(attempt int, r paproxy.Result) paowner.Result {
	return paowner.Result{Attempt: attempt, Outcome: outcomeOf(r), Run: r.Total, RetryAfter: r.ComeBack}
}

// firstServerError is the least HTTP status by which a target says that it failed.
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
	case r.Fault == paproxy.FaultConnection, r.Fault == paproxy.FaultDeadline && r.ToHead == 0:
		return patarget.Silent
	default:
		return patarget.Unknown
	}
}

// Finished implements paproxy.Observer.
func (d *Daemon) Finished(r paproxy.Request, last paproxy.Result) {
	d.metrics.finished(r, last, d.config.Clock.Since(r.Arrived))
}

// probeTimeout bounds a probe. A target answers one in about 6 ms at Kartuli.
const probeTimeout = 500 * time.Millisecond
