package paproof

import (
	"testing"

	"pgregory.net/rapid"
)

// fate is what really became of one send.
type fate int

const (
	// rejected was turned away by the target, which says so; silent was not run either, and nobody says so.
	rejected fate = iota
	silent
	// ran was run, whatever the response says; later is run after the caller has its response.
	ran
	later
)

// told is what the process hears of a send.
type told int

const (
	nothing told = iota
	status
	notExecuted
	otherTarget
)

// responseTo is a response that a target may send to a request of a fate: it says that it did not run it only if that is so.
func responseTo(t *rapid.T, f fate) (heard told, r Response) {
	choices := []told{nothing, status}
	if f == rejected {
		choices = append(choices, notExecuted, otherTarget)
	}
	heard = rapid.SampledFrom(choices).Draw(t, "told")
	r = Response{Status: rapid.SampledFrom([]int{200, 400, 408, 421, 429, 500, 502, 503, 504}).Draw(t, "status"), Target: "t"}
	r.Responder = rapid.SampledFrom([]string{"", "t"}).Draw(t, "responder")
	switch heard {
	case notExecuted:
		r.NotExecuted = true
	case otherTarget:
		r.Status, r.Responder = 421, "another"
	}
	return heard, r
}

// Guards against a promise without a proof, and against a second run of a request that must run once, whatever becomes of its sends and
// whoever asks for another one.
func TestNoHistoryOfSendsBreaksAPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Sends{Repeatable: rapid.Bool().Draw(t, "repeatable")}
		runs, promised := 0, false
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "close") == 0 {
				promised = s.Close().Proved() || promised
				continue
			}
			if !s.Begin() {
				continue
			}
			if promised {
				t.Fatal("sent after its caller was told that it never will be")
			}
			f := rapid.SampledFrom([]fate{rejected, silent, ran, later}).Draw(t, "fate")
			if f == ran || f == later {
				runs++
			}
			if rapid.IntRange(0, 9).Draw(t, "under way") == 0 {
				if s.Begin() || s.Close().Proved() {
					t.Fatal("sent again, or told not to have run, while a send is under way")
				}
				continue
			}
			heard, r := responseTo(t, f)
			if heard == nothing {
				s.End(Rejection{})
				continue
			}
			if !s.PassesOn(r.Status) != (IsPromise(r.Status) && !s.Repeatable) {
				t.Fatalf("status %d", r.Status)
			}
			s.End(r.Rejection())
		}
		promised = s.Close().Proved() || promised
		if promised && runs > 0 {
			t.Fatalf("told not to have run, and ran %d times", runs)
		}
		if !s.Repeatable && runs > 1 {
			t.Fatalf("must run once and ran %d times", runs)
		}
	})
}

// Guards against proofs that are too strict: a request that every target turned away may be sent on, and refused with a promise.
func TestRejectionsProveThatARequestHasNotRun(t *testing.T) {
	var s Sends
	for _, r := range []Rejection{
		Response{Status: 503, NotExecuted: true, Target: "t", Responder: "t"}.Rejection(), Unsent(), ByRelay(true),
		Response{Status: 421, Target: "t", Responder: "another"}.Rejection(),
	} {
		if !s.Begin() {
			t.Fatal("it may be sent on")
		}
		s.End(r)
	}
	if !s.Close().Proved() {
		t.Error("no proof")
	}
	if s.Begin() {
		t.Error("sent after the proof")
	}
}

// Guards against a status that counts as a proof by itself.
func TestStatusesAloneProveNothing(t *testing.T) {
	for _, n := range Promises() {
		for _, responder := range []string{"", "t"} {
			if (Response{Status: n, Target: "t", Responder: responder}).Rejection().Proved() {
				t.Errorf("%d by %q", n, responder)
			}
		}
	}
}
