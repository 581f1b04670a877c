package paowner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayahead/pabundle"
	"papayahead/paowner"
	"papayahead/paplacement"
	"papayahead/paqueue"
	"papayahead/patarget"
)

const maxRequests = 18

// modelRequest is what the oracle knows of one request.
type modelRequest struct {
	request paowner.Request
	// target or entry is where the request runs; both are empty while it is queued.
	target  pabundle.TargetName
	entry   pabundle.EntryName
	attempt int
	// mayHaveRun means that an attempt may have run.
	mayHaveRun, cancelled bool
}

// oracle is a simple model of an owner that checks each decision against the owner's guarantees.
type oracle struct {
	t          *rapid.T
	owner      *paowner.Owner
	now        time.Time
	ids        paowner.RequestID
	requests   map[paowner.RequestID]*modelRequest
	running    map[pabundle.TargetName]int
	slots      map[pabundle.TargetName]int
	probing    map[pabundle.TargetName]bool
	leaving    map[pabundle.TargetName]bool
	owned      []paowner.OwnedTarget
	candidates []paplacement.Candidate
	// services is how many of the services returned by services() are configured.
	services int
	// lingering holds, per target, until when each attempt may still run there after its end was reported.
	lingering map[pabundle.TargetName][]time.Time
}

func (o *oracle) Candidates(_ time.Time, _ pabundle.ServiceName, into []paplacement.Candidate) []paplacement.Candidate {
	return append(into, o.candidates...)
}

func (o *oracle) check(ds []paowner.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case paowner.Start:
			o.checkStart(d)
		case paowner.Forward:
			h := o.mustBeWaiting(d.Request)
			h.entry, h.attempt = d.Entry, d.Attempt
			if h.request.Origin != paowner.Caller {
				o.t.Fatalf("request %d was forwarded twice", d.Request)
			}
		case paowner.Refuse:
			if h := o.mustBeWaiting(d.Request); h.mayHaveRun && !h.request.Idempotent {
				o.t.Fatalf("request %d was refused as not executed, but it may have run", d.Request)
			}
			if d.RetryAfter <= 0 || d.RetryAfter > 2*paowner.MaxRetryAfter {
				o.t.Fatalf("RetryAfter of request %d is %v, want more than 0 and at most twice MaxRetryAfter", d.Request, d.RetryAfter)
			}
			delete(o.requests, d.Request)
		case paowner.Fail:
			if h := o.mustBeWaiting(d.Request); !h.mayHaveRun {
				o.t.Fatalf("request %d failed without an attempt", d.Request)
			}
			delete(o.requests, d.Request)
		case paowner.Probe:
			if o.probing[d.Target] {
				o.t.Fatalf("second probe of %s before the first one ended", d.Target)
			}
			o.probing[d.Target] = true
			o.checkSlots(d.Target)
		}
	}
}

// mustBeWaiting returns the request and fails the test unless it is active without a running attempt.
func (o *oracle) mustBeWaiting(id paowner.RequestID) *modelRequest {
	h := o.requests[id]
	if h == nil || h.cancelled || h.target != "" || h.entry != "" {
		o.t.Fatalf("decision on request %d, which is not waiting: %+v", id, h)
	}
	return h
}

func (o *oracle) checkStart(d paowner.Start) {
	h := o.mustBeWaiting(d.Request)
	if h.mayHaveRun && !h.request.Idempotent {
		o.t.Fatalf("non-idempotent request %d was started again although it may have run", d.Request)
	}
	if o.leaving[d.Target] {
		o.t.Fatalf("request %d was started on the leaving target %s", d.Request, d.Target)
	}
	if !h.request.Deadline.After(o.now) {
		o.t.Fatalf("request %d was started after its deadline", d.Request)
	}
	if d.Attempt > paowner.MaxAttempts {
		o.t.Fatalf("request %d was started with attempt %d, want at most %d", d.Request, d.Attempt, paowner.MaxAttempts)
	}
	h.target, h.attempt = d.Target, d.Attempt
	o.running[d.Target]++
	o.checkSlots(d.Target)
}

func (o *oracle) checkSlots(n pabundle.TargetName) {
	busy := o.running[n]
	if o.probing[n] {
		busy++
	}
	for _, until := range o.lingering[n] {
		if until.After(o.now) {
			busy++
		}
	}
	if busy > o.slots[n] {
		o.t.Fatalf("%s has %d slots and runs %d requests", n, o.slots[n], busy)
	}
}

func (o *oracle) offer(t *rapid.T) {
	o.ids++
	r := paowner.Request{
		ID:         o.ids,
		Service:    rapid.SampledFrom([]pabundle.ServiceName{"deposits", "archive", "none"}).Draw(t, "service"),
		Deadline:   o.now.Add(time.Duration(rapid.IntRange(-10, 9000).Draw(t, "left")) * time.Millisecond),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Attempt:    rapid.IntRange(0, 4).Draw(t, "attempt") / 4,
		Class:      uint8(rapid.IntRange(0, 1).Draw(t, "class")),
		Origin:     paowner.Origin(rapid.IntRange(0, 2).Draw(t, "origin")),
		Block:      uint32(rapid.IntRange(0, 3).Draw(t, "block")),
	}
	o.requests[r.ID] = &modelRequest{request: r}
	o.check(o.owner.Offer(o.now, r, nil))
}

func (o *oracle) finish(t *rapid.T, id paowner.RequestID, out patarget.Outcome) {
	h := o.requests[id]
	res := paowner.Result{
		Attempt: h.attempt, Outcome: out, Run: time.Duration(rapid.IntRange(1, 300).Draw(t, "run")) * time.Millisecond,
	}
	if h.target != "" {
		o.running[h.target]--
		o.addLingering(h, out)
	}
	h.mayHaveRun = h.mayHaveRun || !out.DidNotRun()
	h.target, h.entry = "", ""
	ended := h.cancelled || out == patarget.Answered || out == patarget.Abandoned
	if ended {
		delete(o.requests, id)
	}
	o.check(o.owner.Finish(o.now, id, res, nil))
	// A late end of an earlier attempt must change nothing.
	o.check(o.owner.Finish(o.now, id, paowner.Result{Attempt: h.attempt - 1}, nil))
}

// addLingering counts an attempt whose answer was lost or abandoned: the target may run it until it
// notices that the connection is closed, which takes patarget.DefaultLinger at most.
func (o *oracle) addLingering(h *modelRequest, out patarget.Outcome) {
	if out != patarget.Unknown && out != patarget.Silent && out != patarget.Abandoned {
		return
	}
	until := o.now.Add(patarget.DefaultLinger)
	if h.request.Deadline.Before(until) {
		until = h.request.Deadline
	}
	o.lingering[h.target] = append(o.lingering[h.target], until)
}

func (o *oracle) tick(d time.Duration) {
	o.now = o.now.Add(d)
	o.check(o.owner.Tick(o.now, nil))
	for id, h := range o.requests {
		if h.target == "" && h.entry == "" && !h.request.Deadline.After(o.now) {
			o.t.Fatalf("request %d is still queued after its deadline", id)
		}
	}
}

func (o *oracle) setTargets(owned []paowner.OwnedTarget) {
	had := map[pabundle.TargetName]bool{}
	for _, w := range o.owned {
		had[w.Target.Name] = true
	}
	has := map[pabundle.TargetName]bool{}
	for _, w := range owned {
		n := w.Target.Name
		has[n] = true
		if !had[n] {
			o.leaving[n] = w.Leaving
		}
		if !had[n] && w.Join == patarget.Orphaned {
			// Requests of the former owner may hold all slots for MinTakeover, the shortest time that a new
			// owner waits for them.
			for range w.Target.Slots - o.running[n] {
				o.lingering[n] = append(o.lingering[n], o.now.Add(paowner.MinTakeover-1))
			}
		}
	}
	for n := range o.slots {
		o.leaving[n] = o.leaving[n] || !has[n]
	}
	o.owned = owned
	o.check(o.owner.SetTargets(o.now, owned, nil))
}

func (o *oracle) pick(t *rapid.T, fits func(*modelRequest) bool) (paowner.RequestID, bool) {
	var ids []paowner.RequestID
	for id := paowner.RequestID(1); id <= o.ids; id++ {
		if h := o.requests[id]; h != nil && fits(h) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "request"), true
}

func inAttempt(h *modelRequest) bool { return h.target != "" || h.entry != "" }

func ownedTarget(service pabundle.ServiceName, n int, j patarget.Join) paowner.OwnedTarget {
	t := pabundle.Target{Name: pabundle.TargetName(fmt.Sprintf("%s-%d", service, n)), Slots: 1 + n%3}
	return paowner.OwnedTarget{Target: t, Service: service, Connections: 40, Join: j}
}

func services() []pabundle.Service {
	return []pabundle.Service{
		{Name: "deposits", TypicalRun: pabundle.Duration{Duration: 20 * time.Millisecond}},
		{Name: "archive", TypicalRun: pabundle.Duration{Duration: 200 * time.Millisecond}},
	}
}

// TestOwnerInvariants runs random sequences of all commands with all outcomes. It guards against requests
// that are executed twice, never end, are refused although they ran or are started on a leaving target,
// and against targets that run more requests than they have slots.
func TestOwnerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			t: t, now: time.Unix(1_000_000, 0), requests: map[paowner.RequestID]*modelRequest{},
			running: map[pabundle.TargetName]int{}, slots: map[pabundle.TargetName]int{},
			probing: map[pabundle.TargetName]bool{}, leaving: map[pabundle.TargetName]bool{},
			lingering: map[pabundle.TargetName][]time.Time{}, services: 2,
		}
		o.owner = paowner.New(paowner.Config{
			Services: services(), Others: o, QueueLimit: 4, Rand: rand.New(rand.NewPCG(1, 2)),
			Order: paqueue.Order(rapid.IntRange(0, 1).Draw(t, "order")),
			Policy: pabundle.Policy{
				First: rapid.SampledFrom(
					[]pabundle.Preference{pabundle.HeadroomFirst, pabundle.LatencyFirst},
				).Draw(t, "first"),
				Reserve: 0.1,
			},
		})
		o.owner.SetLimits(paowner.Limits{Requests: maxRequests})
		var all []paowner.OwnedTarget
		for n := range 3 {
			for _, s := range []pabundle.ServiceName{"deposits", "archive"} {
				w := ownedTarget(s, n, patarget.Join(n))
				o.slots[w.Target.Name] = w.Target.Slots
				all = append(all, w)
			}
		}
		o.setTargets(all)
		t.Repeat(o.actions(all))
		o.finishAll(t)
	})
}

func (o *oracle) actions(all []paowner.OwnedTarget) map[string]func(*rapid.T) {
	name := func(t *rapid.T) pabundle.TargetName {
		return all[rapid.IntRange(0, len(all)-1).Draw(t, "target")].Target.Name
	}
	return map[string]func(*rapid.T){
		"Offer": o.offer,
		"Burst": func(t *rapid.T) {
			for range rapid.IntRange(5, 30).Draw(t, "burst") {
				o.offer(t)
			}
		},
		"Finish": func(t *rapid.T) {
			if id, ok := o.pick(t, inAttempt); ok {
				o.finish(t, id, patarget.Outcome(rapid.IntRange(0, 6).Draw(t, "outcome")))
			}
		},
		"Answer": func(t *rapid.T) {
			if id, ok := o.pick(t, inAttempt); ok {
				o.finish(t, id, patarget.Answered)
			}
		},
		"Cancel": func(t *rapid.T) {
			id, ok := o.pick(t, func(h *modelRequest) bool { return !h.cancelled })
			if !ok {
				return
			}
			if h := o.requests[id]; inAttempt(h) {
				h.cancelled = true
			} else {
				delete(o.requests, id)
			}
			o.check(o.owner.Cancel(o.now, id, nil))
		},
		"Tick": func(t *rapid.T) {
			o.tick(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"Idle": func(*rapid.T) { o.tick(patarget.ProbeIdle) },
		"Silent": func(t *rapid.T) {
			if id, ok := o.pick(t, func(h *modelRequest) bool { return h.target != "" }); ok {
				o.finish(t, id, patarget.Silent)
			}
		},
		"Again": func(t *rapid.T) {
			for id, ok := o.pick(t, inAttempt); ok; id, ok = o.pick(t, func(h *modelRequest) bool {
				return inAttempt(h) && h.attempt > 1
			}) {
				o.finish(t, id, patarget.NotRun)
			}
		},
		"NotRun": func(t *rapid.T) {
			if id, ok := o.pick(t, inAttempt); ok {
				o.finish(t, id, patarget.NotRun)
			}
		},
		"Probed": func(t *rapid.T) {
			n := name(t)
			o.probing[n] = false
			o.check(o.owner.Probed(o.now, n, rapid.Bool().Draw(t, "ok"), nil))
		},
		"Leaving": func(t *rapid.T) {
			n := name(t)
			o.leaving[n] = true
			o.check(o.owner.MarkLeaving(o.now, n, nil))
		},
		"Report": func(t *rapid.T) {
			n := name(t)
			l := patarget.Load{
				Measured: o.now, Running: rapid.IntRange(0, 4).Draw(t, "running"),
				Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
			}
			o.leaving[n] = o.leaving[n] || l.Leaving
			o.check(o.owner.Report(o.now, n, l, nil))
		},
		"Configure": func(t *rapid.T) {
			o.services = rapid.IntRange(1, 2).Draw(t, "services")
			o.check(o.owner.Configure(o.now, pabundle.Policy{First: pabundle.LatencyFirst}, services()[:o.services], nil))
			o.setTargets(nil)
		},
		"Own": func(t *rapid.T) {
			var some []paowner.OwnedTarget
			for _, w := range all {
				if rapid.IntRange(0, 3).Draw(t, "keep") > 0 && (o.services == 2 || w.Service == services()[0].Name) {
					w.Leaving = o.leaving[w.Target.Name] && rapid.Bool().Draw(t, "left")
					some = append(some, w)
				}
			}
			o.setTargets(some)
		},
		"Elsewhere": func(t *rapid.T) {
			o.candidates = []paplacement.Candidate{{
				Distance: paplacement.Distance(rapid.IntRange(1, 2).Draw(t, "distance")), Entry: "other", Slots: 3,
				Free: rapid.IntRange(0, 3).Draw(t, "free"), Allowed: rapid.Bool().Draw(t, "allowed"),
				Credits: rapid.IntRange(0, 1).Draw(t, "credits"), LinkRoom: 1000,
			}}
		},
		"": func(t *rapid.T) {
			if len(o.requests) != o.owner.ActiveRequests() {
				t.Fatalf("the oracle has %d active requests, the owner %d", len(o.requests), o.owner.ActiveRequests())
			}
			o.checkNoStranded()
			if o.owner.ActiveRequests() > maxRequests {
				t.Fatalf("%d requests are active, want at most %d", o.owner.ActiveRequests(), maxRequests)
			}
		},
	}
}

// checkNoStranded checks that no request stays queued for a service whose last target left.
func (o *oracle) checkNoStranded() {
	serving := map[pabundle.ServiceName]bool{}
	for _, w := range o.owned {
		if !o.leaving[w.Target.Name] {
			serving[w.Service] = true
		}
	}
	for id, h := range o.requests {
		if !h.cancelled && !inAttempt(h) && !serving[h.request.Service] {
			o.t.Fatalf("request %d is queued although its service has no target left", id)
		}
	}
}

// finishAll ends every attempt and checks that no request is left after the last deadline.
func (o *oracle) finishAll(t *rapid.T) {
	for range 4 {
		for id := paowner.RequestID(1); id <= o.ids; id++ {
			if h := o.requests[id]; h != nil && inAttempt(h) {
				o.finish(t, id, patarget.Answered)
			}
		}
		o.tick(10 * time.Second)
	}
	if o.owner.ActiveRequests() != 0 {
		t.Fatalf("%d requests did not end", o.owner.ActiveRequests())
	}
}
