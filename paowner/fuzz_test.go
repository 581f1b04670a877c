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

const roomForRequests = 18

// held is what the oracle knows of one request.
type held struct {
	request paowner.Request
	// target or entry is where it runs; none while it waits.
	target  pabundle.TargetName
	entry   pabundle.EntryName
	attempt int
	// touched means that an attempt may have run.
	touched, cancelled bool
}

// oracle repeats the promises in the simplest form and checks each decision against them.
type oracle struct {
	t       *rapid.T
	owner   *paowner.Owner
	now     time.Time
	ids     paowner.RequestID
	held    map[paowner.RequestID]*held
	running map[pabundle.TargetName]int
	slots   map[pabundle.TargetName]int
	probing map[pabundle.TargetName]bool
	leaving map[pabundle.TargetName]bool
	owned   []paowner.OwnedTarget
	room    []paplacement.Candidate
	// services is how many of services are configured.
	services int
	// lost are attempts that may still run at a target until a time, although their end was told.
	lost map[pabundle.TargetName][]time.Time
}

func (o *oracle) Candidates(_ time.Time, _ pabundle.ServiceName, into []paplacement.Candidate) []paplacement.Candidate {
	return append(into, o.room...)
}

func (o *oracle) check(ds []paowner.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case paowner.Start:
			o.start(d)
		case paowner.Forward:
			h := o.waiting(d.Request)
			h.entry, h.attempt = d.Entry, d.Attempt
			if h.request.Origin != paowner.Caller {
				o.t.Fatalf("request %d was forwarded twice", d.Request)
			}
		case paowner.Refuse:
			if h := o.waiting(d.Request); h.touched && !h.request.Idempotent {
				o.t.Fatalf("request %d may have run and was refused as not run", d.Request)
			}
			if d.RetryAfter <= 0 || d.RetryAfter > 2*paowner.MaxRetryAfter {
				o.t.Fatalf("time to come back: %v", d.RetryAfter)
			}
			delete(o.held, d.Request)
		case paowner.Fail:
			if h := o.waiting(d.Request); !h.touched {
				o.t.Fatalf("request %d failed without an attempt", d.Request)
			}
			delete(o.held, d.Request)
		case paowner.Probe:
			if o.probing[d.Target] {
				o.t.Fatalf("two probes at %s", d.Target)
			}
			o.probing[d.Target] = true
			o.limit(d.Target)
		}
	}
}

// waiting returns a request that must be without an attempt and without an end.
func (o *oracle) waiting(id paowner.RequestID) *held {
	h := o.held[id]
	if h == nil || h.cancelled || h.target != "" || h.entry != "" {
		o.t.Fatalf("decision on request %d, which is %+v", id, h)
	}
	return h
}

func (o *oracle) start(d paowner.Start) {
	h := o.waiting(d.Request)
	if h.touched && !h.request.Idempotent {
		o.t.Fatalf("request %d runs twice", d.Request)
	}
	if o.leaving[d.Target] {
		o.t.Fatalf("new work on the leaving target %s", d.Target)
	}
	if !h.request.Deadline.After(o.now) {
		o.t.Fatalf("request %d starts after its deadline", d.Request)
	}
	if d.Attempt > paowner.MaxAttempts {
		o.t.Fatalf("request %d has attempt %d", d.Request, d.Attempt)
	}
	h.target, h.attempt = d.Target, d.Attempt
	o.running[d.Target]++
	o.limit(d.Target)
}

func (o *oracle) limit(n pabundle.TargetName) {
	busy := o.running[n]
	if o.probing[n] {
		busy++
	}
	for _, until := range o.lost[n] {
		if until.After(o.now) {
			busy++
		}
	}
	if busy > o.slots[n] {
		o.t.Fatalf("%s has %d slots and runs %d", n, o.slots[n], busy)
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
	o.held[r.ID] = &held{request: r}
	o.check(o.owner.Offer(o.now, r, nil))
}

func (o *oracle) finish(t *rapid.T, id paowner.RequestID, out patarget.Outcome) {
	h := o.held[id]
	res := paowner.Result{Attempt: h.attempt, Outcome: out, Run: time.Duration(rapid.IntRange(1, 300).Draw(t, "run")) * time.Millisecond}
	if h.target != "" {
		o.running[h.target]--
		o.lose(h, out)
	}
	h.touched = h.touched || !out.DidNotRun()
	h.target, h.entry = "", ""
	ended := h.cancelled || out == patarget.Answered || out == patarget.Abandoned
	if ended {
		delete(o.held, id)
	}
	o.check(o.owner.Finish(o.now, id, res, nil))
	// The end of an attempt that is over must change nothing.
	o.check(o.owner.Finish(o.now, id, paowner.Result{Attempt: h.attempt - 1}, nil))
}

// lose counts an attempt whose answer was lost: the target runs it until it notices.
func (o *oracle) lose(h *held, out patarget.Outcome) {
	if out != patarget.Unknown && out != patarget.Silent && out != patarget.Abandoned {
		return
	}
	until := o.now.Add(patarget.DefaultLinger)
	if h.request.Deadline.Before(until) {
		until = h.request.Deadline
	}
	o.lost[h.target] = append(o.lost[h.target], until)
}

func (o *oracle) tick(d time.Duration) {
	o.now = o.now.Add(d)
	o.check(o.owner.Tick(o.now, nil))
	for id, h := range o.held {
		if h.target == "" && h.entry == "" && !h.request.Deadline.After(o.now) {
			o.t.Fatalf("request %d waits past its deadline", id)
		}
	}
}

func (o *oracle) set(owned []paowner.OwnedTarget) {
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
			// The former owner's work: all slots, for the least time that a new owner waits.
			for range w.Target.Slots - o.running[n] {
				o.lost[n] = append(o.lost[n], o.now.Add(paowner.MinTakeover-1))
			}
		}
	}
	for n := range o.slots {
		o.leaving[n] = o.leaving[n] || !has[n]
	}
	o.owned = owned
	o.check(o.owner.SetTargets(o.now, owned, nil))
}

func (o *oracle) any(t *rapid.T, fits func(*held) bool) (paowner.RequestID, bool) {
	var ids []paowner.RequestID
	for id := paowner.RequestID(1); id <= o.ids; id++ {
		if h := o.held[id]; h != nil && fits(h) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "request"), true
}

func flying(h *held) bool { return h.target != "" || h.entry != "" }

func owned(service pabundle.ServiceName, n int, j patarget.Join) paowner.OwnedTarget {
	t := pabundle.Target{Name: pabundle.TargetName(fmt.Sprintf("%s-%d", service, n)), Slots: 1 + n%3}
	return paowner.OwnedTarget{Target: t, Service: service, Connections: 40, Join: j}
}

func services() []pabundle.Service {
	return []pabundle.Service{
		{Name: "deposits", TypicalRun: pabundle.Duration{Duration: 20 * time.Millisecond}},
		{Name: "archive", TypicalRun: pabundle.Duration{Duration: 200 * time.Millisecond}},
	}
}

// TestOwnerKeepsItsPromises drives an owner with every command in any order and any outcome. A user
// would see a broken promise as a request that runs twice, never ends, is refused although it ran,
// or cuts into a target that leaves; an operator as a target over its slots.
func TestOwnerKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			t: t, now: time.Unix(1_000_000, 0), held: map[paowner.RequestID]*held{},
			running: map[pabundle.TargetName]int{}, slots: map[pabundle.TargetName]int{},
			probing: map[pabundle.TargetName]bool{}, leaving: map[pabundle.TargetName]bool{},
			lost: map[pabundle.TargetName][]time.Time{}, services: 2,
		}
		o.owner = paowner.New(paowner.Config{
			Services: services(), Candidates: o, QueueLimit: 4, Rand: rand.New(rand.NewPCG(1, 2)),
			Order:  paqueue.Order(rapid.IntRange(0, 1).Draw(t, "order")),
			Policy: pabundle.Policy{First: rapid.SampledFrom([]pabundle.Preference{pabundle.HeadroomFirst, pabundle.LatencyFirst}).Draw(t, "first"), Reserve: 0.1},
		})
		o.owner.SetLimits(paowner.Limits{Requests: roomForRequests})
		var all []paowner.OwnedTarget
		for n := range 3 {
			for _, s := range []pabundle.ServiceName{"deposits", "archive"} {
				w := owned(s, n, patarget.Join(n))
				o.slots[w.Target.Name] = w.Target.Slots
				all = append(all, w)
			}
		}
		o.set(all)
		t.Repeat(o.actions(all))
		o.drain(t)
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
			if id, ok := o.any(t, flying); ok {
				o.finish(t, id, patarget.Outcome(rapid.IntRange(0, 6).Draw(t, "outcome")))
			}
		},
		"Answer": func(t *rapid.T) {
			if id, ok := o.any(t, flying); ok {
				o.finish(t, id, patarget.Answered)
			}
		},
		"Cancel": func(t *rapid.T) {
			id, ok := o.any(t, func(h *held) bool { return !h.cancelled })
			if !ok {
				return
			}
			if h := o.held[id]; flying(h) {
				h.cancelled = true
			} else {
				delete(o.held, id)
			}
			o.check(o.owner.Cancel(o.now, id, nil))
		},
		"Tick": func(t *rapid.T) {
			o.tick(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"Idle": func(*rapid.T) { o.tick(patarget.ProbeIdle) },
		"Silent": func(t *rapid.T) {
			if id, ok := o.any(t, func(h *held) bool { return h.target != "" }); ok {
				o.finish(t, id, patarget.Silent)
			}
		},
		"Again": func(t *rapid.T) {
			for id, ok := o.any(t, flying); ok; id, ok = o.any(t, func(h *held) bool { return flying(h) && h.attempt > 1 }) {
				o.finish(t, id, patarget.NotRun)
			}
		},
		"NotRun": func(t *rapid.T) {
			if id, ok := o.any(t, flying); ok {
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
			l := patarget.Load{Measured: o.now, Running: rapid.IntRange(0, 4).Draw(t, "running"), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0}
			o.leaving[n] = o.leaving[n] || l.Leaving
			o.check(o.owner.Report(o.now, n, l, nil))
		},
		"Configure": func(t *rapid.T) {
			o.services = rapid.IntRange(1, 2).Draw(t, "services")
			o.check(o.owner.Configure(o.now, pabundle.Policy{First: pabundle.LatencyFirst}, services()[:o.services], nil))
			o.set(nil)
		},
		"Own": func(t *rapid.T) {
			var some []paowner.OwnedTarget
			for _, w := range all {
				if rapid.IntRange(0, 3).Draw(t, "keep") > 0 && (o.services == 2 || w.Service == services()[0].Name) {
					w.Leaving = o.leaving[w.Target.Name] && rapid.Bool().Draw(t, "left")
					some = append(some, w)
				}
			}
			o.set(some)
		},
		"Elsewhere": func(t *rapid.T) {
			o.room = []paplacement.Candidate{{
				Distance: paplacement.Distance(rapid.IntRange(1, 2).Draw(t, "distance")), Entry: "other", Slots: 3,
				Free: rapid.IntRange(0, 3).Draw(t, "free"), Allowed: rapid.Bool().Draw(t, "allowed"),
				Credits: rapid.IntRange(0, 1).Draw(t, "credits"), LinkRoom: 1000,
			}}
		},
		"": func(t *rapid.T) {
			if len(o.held) != o.owner.ActiveRequests() {
				t.Fatalf("the oracle holds %d requests, the owner %d", len(o.held), o.owner.ActiveRequests())
			}
			o.noneWaitsForNothing()
			if o.owner.ActiveRequests() > roomForRequests {
				t.Fatalf("%d requests are held with room for %d", o.owner.ActiveRequests(), roomForRequests)
			}
		},
	}
}

// noneWaitsForNothing: what waits for a service whose last target left is placed anew or refused.
func (o *oracle) noneWaitsForNothing() {
	serving := map[pabundle.ServiceName]bool{}
	for _, w := range o.owned {
		if !o.leaving[w.Target.Name] {
			serving[w.Service] = true
		}
	}
	for id, h := range o.held {
		if !h.cancelled && !flying(h) && !serving[h.request.Service] {
			o.t.Fatalf("request %d waits and no target is left", id)
		}
	}
}

// drain ends every attempt; after the last deadline nothing may be left.
func (o *oracle) drain(t *rapid.T) {
	for range 4 {
		for id := paowner.RequestID(1); id <= o.ids; id++ {
			if h := o.held[id]; h != nil && flying(h) {
				o.finish(t, id, patarget.Answered)
			}
		}
		o.tick(10 * time.Second)
	}
	if o.owner.ActiveRequests() != 0 {
		t.Fatalf("%d requests never ended", o.owner.ActiveRequests())
	}
}
