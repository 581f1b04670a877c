package paowner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"papayahead/paowner"
	"papayahead/patarget"
)

// scene is an owner of one target with three slots.
type scene struct {
	t     *testing.T
	now   time.Time
	owner *paowner.Owner
	ids   paowner.RequestID
}

func newScene(t *testing.T, w paowner.OwnedTarget) *scene {
	s := &scene{t: t, now: time.Unix(1_000_000, 0)}
	s.owner = paowner.New(paowner.Config{Services: services(), Rand: rand.New(rand.NewPCG(1, 2))})
	s.owner.SetTargets(s.now, []paowner.OwnedTarget{w}, nil)
	return s
}

func (s *scene) offer() []paowner.Decision {
	s.ids++
	r := paowner.Request{ID: s.ids, Service: "deposits", Deadline: s.now.Add(10 * time.Second)}
	return s.owner.Offer(s.now, r, nil)
}

func (s *scene) starts(ds []paowner.Decision) int {
	n := 0
	for _, d := range ds {
		if _, ok := d.(paowner.Start); ok {
			n++
		}
	}
	return n
}

// A deposit gets no answer because a middlebox forgot its connection; the target is well. Whoever
// blames the target takes it out of service. The owner closes the idle connections, sends nothing
// until a probe over a new connection has come back, and then goes on as before.
func TestSilentConnectionIsNotBlamedOnTarget(t *testing.T) {
	s := newScene(t, owned("deposits", 2, patarget.Warm))
	for range 2 * patarget.EjectSamples {
		if s.starts(s.offer()) != 1 {
			t.Fatal("the request does not start")
		}
		s.now = s.now.Add(time.Second)
		ds := s.owner.Finish(s.now, s.ids, paowner.Result{Attempt: 1, Outcome: patarget.Silent}, nil)
		_, closes := ds[0].(paowner.CloseConnections)
		_, probes := ds[1].(paowner.Probe)
		if !closes || !probes {
			t.Fatalf("decisions on silence: %+v", ds)
		}
		if s.starts(s.offer()) != 0 {
			t.Fatal("a request starts on a target in doubt")
		}
		ds = s.owner.Probed(s.now, "deposits-2", true, nil)
		if s.starts(ds) != 1 {
			t.Fatalf("after the probe: %+v", ds)
		}
		s.owner.Finish(s.now, s.ids, paowner.Result{Attempt: 1, Run: time.Millisecond}, nil)
		s.now = s.now.Add(time.Second)
	}
	if p, _ := s.owner.Phase("deposits-2"); p != patarget.Serving {
		t.Fatalf("the target is %v", p)
	}
}

// Every answer of a service is a failure, because of a fault in its data, and the owner has one
// target of it. Ejected, it would answer nobody at all although other requests may be served.
func TestOnlyTargetStays(t *testing.T) {
	s := newScene(t, owned("deposits", 2, patarget.Warm))
	for range 4 * patarget.EjectSamples {
		if s.starts(s.offer()) != 1 {
			t.Fatal("the only target gets no work")
		}
		s.owner.Finish(s.now, s.ids, paowner.Result{Attempt: 1, Outcome: patarget.Failed}, nil)
	}
}

// An entry VM stops and hands a target over with two of three slots taken. The new owner may use one
// slot at once, and each other one when the former owner says that its request has ended, or at
// the latest when the wait is over.
func TestHandoverTellsWhatRuns(t *testing.T) {
	w := owned("deposits", 2, patarget.Warm)
	w.Running = 2
	s := newScene(t, w)
	if n := s.starts(s.offer()) + s.starts(s.offer()) + s.starts(s.offer()); n != 1 {
		t.Fatalf("%d of three requests start beside two of the former owner", n)
	}
	if n := s.starts(s.owner.Release(s.now, "deposits-2", 1, nil)); n != 1 {
		t.Fatalf("%d start after one ended", n)
	}
	s.now = s.now.Add(patarget.DefaultTakeover)
	if n := s.starts(s.owner.Tick(s.now, nil)); n != 1 {
		t.Fatalf("%d start after the wait", n)
	}
}
