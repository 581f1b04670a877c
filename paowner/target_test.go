package paowner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"papayahead/paowner"
	"papayahead/patarget"
)

// fixture holds an owner of one target and a clock.
type fixture struct {
	t     *testing.T
	now   time.Time
	owner *paowner.Owner
	ids   paowner.RequestID
}

func newFixture(t *testing.T, w paowner.OwnedTarget) *fixture {
	s := &fixture{t: t, now: time.Unix(1_000_000, 0)}
	s.owner = paowner.New(paowner.Config{Services: services(), Rand: rand.New(rand.NewPCG(1, 2))})
	s.owner.SetTargets(s.now, []paowner.OwnedTarget{w}, nil)
	return s
}

func (s *fixture) offer() []paowner.Decision {
	s.ids++
	r := paowner.Request{ID: s.ids, Service: "deposits", Deadline: s.now.Add(10 * time.Second)}
	return s.owner.Offer(s.now, r, nil)
}

func (s *fixture) countStarts(ds []paowner.Decision) int {
	n := 0
	for _, d := range ds {
		if _, ok := d.(paowner.Start); ok {
			n++
		}
	}
	return n
}

// Guards against ejecting a healthy target because a middlebox dropped the state of a connection, so that
// a request got no answer. The owner has to close the idle connections, hold requests back until a probe
// over a new connection succeeds, and then use the target as before.
func TestSilentConnectionDoesNotEjectTarget(t *testing.T) {
	s := newFixture(t, ownedTarget("deposits", 2, patarget.Warm))
	for range 2 * patarget.EjectSamples {
		if s.countStarts(s.offer()) != 1 {
			t.Fatal("the request was not started")
		}
		s.now = s.now.Add(time.Second)
		ds := s.owner.Finish(s.now, s.ids, paowner.Result{Attempt: 1, Outcome: patarget.Silent}, nil)
		_, closes := ds[0].(paowner.CloseConnections)
		_, probes := ds[1].(paowner.Probe)
		if !closes || !probes {
			t.Fatalf("decisions after a silent connection: %+v, want CloseConnections and Probe", ds)
		}
		if s.countStarts(s.offer()) != 0 {
			t.Fatal("a request was started on a target before its probe succeeded")
		}
		ds = s.owner.Probed(s.now, "deposits-2", true, nil)
		if s.countStarts(ds) != 1 {
			t.Fatalf("decisions after the probe: %+v, want one Start", ds)
		}
		s.owner.Finish(s.now, s.ids, paowner.Result{Attempt: 1, Run: time.Millisecond}, nil)
		s.now = s.now.Add(time.Second)
	}
	if p, _ := s.owner.Phase("deposits-2"); p != patarget.Serving {
		t.Fatalf("the target's phase is %v, want Serving", p)
	}
}

// Guards against ejecting an owner's only target of a service when all its answers are failures, such as
// after a fault in the service's data. Ejection would also stop the requests that it could still answer.
func TestOnlyTargetIsNotEjected(t *testing.T) {
	s := newFixture(t, ownedTarget("deposits", 2, patarget.Warm))
	for range 4 * patarget.EjectSamples {
		if s.countStarts(s.offer()) != 1 {
			t.Fatal("the only target got no request")
		}
		s.owner.Finish(s.now, s.ids, paowner.Result{Attempt: 1, Outcome: patarget.Failed}, nil)
	}
}

// An entry VM that stops hands over a target with two of three slots in use. Guards against more requests
// than slots: the new owner may use one slot at once, and each other one when the former owner reports the
// end of its request, or at the latest after patarget.DefaultTakeover.
func TestHandoverCountsRunningRequests(t *testing.T) {
	w := ownedTarget("deposits", 2, patarget.Warm)
	w.Running = 2
	s := newFixture(t, w)
	if n := s.countStarts(s.offer()) + s.countStarts(s.offer()) + s.countStarts(s.offer()); n != 1 {
		t.Fatalf("%d of three requests were started with two of the former owner still running, want 1", n)
	}
	if n := s.countStarts(s.owner.Release(s.now, "deposits-2", 1, nil)); n != 1 {
		t.Fatalf("%d requests were started after one of the former owner ended, want 1", n)
	}
	s.now = s.now.Add(patarget.DefaultTakeover)
	if n := s.countStarts(s.owner.Tick(s.now, nil)); n != 1 {
		t.Fatalf("%d requests were started after DefaultTakeover, want 1", n)
	}
}
