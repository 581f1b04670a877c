package pareturn

import (
	"fmt"
	"testing"
	"time"
)

const testLeft = 3 * time.Second

func refused(rate float64) Refused {
	return Refused{Workspace: "w", Rate: rate, Earliest: 100 * time.Millisecond, Left: testLeft, To: 900 * time.Millisecond}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against two callers with the same reservation, or one beyond what callers wait for.
func TestPlacesFollowOneAfterTheOther(t *testing.T) {
	var s Schedule
	for i := range 9 {
		if got, want := s.Reserve(refused(20), 0), (Return{ms(100 + 100*i), true}); got != want {
			t.Fatalf("caller %d is told %v, want %v", i, got, want)
		}
	}
	if got := s.Reserve(refused(20), 0); got.Reserved || got.After != testLeft/honouredDivisor {
		t.Errorf("the caller after the last reservation is told %v", got)
	}
	short := refused(20)
	short.Left = ms(500)
	if got := s.Reserve(short, 0); got.Reserved || got.After != short.Left {
		t.Errorf("a caller whose deadline is before any free token is told %v", got)
	}
}

// Guards against callers that return long after a burst ended, and against reservations that are never dropped.
func TestABurstThatEndsLeavesNothingBooked(t *testing.T) {
	var s Schedule
	for range 100 {
		s.Reserve(refused(20), 0)
	}
	if got, _ := s.due("w", 0, ms(450)); got != 3 {
		t.Errorf("%d reservations are due, want 3: one is over", got)
	}
	now := ms(1000) + reservationTTL
	if got, _ := s.due("w", 0, now+ms(1)); got != 0 {
		t.Errorf("%d reservations are still due after all of them were over", got)
	}
	if got := s.Reserve(refused(20), now); got != (Return{ms(100), true}) {
		t.Errorf("the next caller is told %v", got)
	}
}

// Guards against a caller that returns early, twice or never and costs others more than its reservation.
func TestACallerCostsNoMoreThanItsPlace(t *testing.T) {
	var s Schedule
	k := "w"
	for range 3 {
		s.Reserve(refused(20), 0)
	}
	s.Claim(k, 0, 0, ms(50)) // Early: nothing is due.
	if got, _ := s.due(k, 0, ms(300)); got != 3 {
		t.Errorf("%d reservations are due, want 3", got)
	}
	s.Claim(k, 0, 0, ms(300))
	if got, _ := s.due(k, 0, ms(300)); got != 2 {
		t.Errorf("%d reservations are due after one was claimed, want 2", got)
	}
}

// Guards against tokens that stay reserved after the clock stood or was set back, and against a division by no time.
func TestClockThatStandsOrIsSetBack(t *testing.T) {
	var s Schedule
	for range 1000 {
		if got := s.Reserve(refused(500), time.Hour); got.After > testLeft {
			t.Fatalf("a caller is told %v", got)
		}
	}
	if got := s.Reserve(refused(500), 0); got != (Return{ms(100), true}) {
		t.Errorf("after the clock was set back a caller is told %v", got)
	}
	var d Deadlines
	d.NoteRefused("r", time.Hour)
	for range minSamples {
		d.Note("r", testLeft, 0)
	}
	if !d.HasReservation("r", testLeft-ms(1)) {
		t.Error("after the clock was set back nothing is learned")
	}
}

// Guards against callers that return at the times of a rate which the configuration has lowered or raised since.
func TestRateThatChangesWhilePlacesAreBooked(t *testing.T) {
	var s Schedule
	for range 4 {
		s.Reserve(refused(40), 0) // Until 250 ms.
	}
	if got := s.Reserve(refused(10), 0); got != (Return{ms(800), true}) {
		t.Errorf("at the lower rate the next caller is told %v: four reservations take 800 ms", got)
	}
	if got := s.Reserve(refused(200), 0); got != (Return{ms(110), true}) {
		t.Errorf("at the higher rate the next caller is told %v", got)
	}
	if got := s.Reserve(refused(0), 0); got != (Return{After: ms(100)}) {
		t.Errorf("at an unknown rate a caller is told %v", got)
	}
}

// Guards against less urgent callers that return before more urgent ones, and against those that never return for them.
func TestUrgentCallersReturnFirst(t *testing.T) {
	var s Schedule
	reserved := [2]int{}
	var last [2]time.Duration
	for range 60 {
		for class := range reserved {
			r := refused(40)
			r.Priority = 2 * class
			if got := s.Reserve(r, 0); got.Reserved {
				reserved[class]++
				last[class] = got.After
			}
		}
	}
	if reserved[0] < 4*reserved[1] || reserved[1] == 0 {
		t.Errorf("%d urgent and %d other callers have a reservation", reserved[0], reserved[1])
	}
}

// Guards against memory that grows with the names that callers send.
func TestStateIsBounded(t *testing.T) {
	var s Schedule
	var d Deadlines
	for i := range 3 * maxWorkspaces {
		r := refused(1e6)
		r.Workspace = fmt.Sprint(i)
		for range 2 {
			s.Reserve(r, time.Duration(i))
		}
		s.CountToken(r.Workspace, time.Duration(i))
		d.Note(r.Workspace, testLeft, time.Duration(i))
	}
	if len(s.byWorkspace) > maxWorkspaces || len(s.rates) > maxWorkspaces || len(d.byRoute) > maxRoutes {
		t.Errorf("%d workspaces, %d rates, %d routes", len(s.byWorkspace), len(s.rates), len(d.byRoute))
	}
	if s.byWorkspace[fmt.Sprint(3*maxWorkspaces-1)] == nil {
		t.Error("the workspace that was used last is gone")
	}
	for range 2 * maxReservations {
		s.Reserve(refused(1e6), time.Second)
	}
	if n := len(s.byWorkspace["w"][0].times); n > maxReservations {
		t.Errorf("a class has %d reservations", n)
	}
}

// Guards against a first attempt, or a return without a reservation, that takes the reservation of another caller.
func TestReturnsAreToldByTheTimeLeft(t *testing.T) {
	var d Deadlines
	mistaken := 0
	for i := range 1000 {
		told := testLeft - ms(i*37%500)
		d.Note("r", told, 0)
		if d.HasReservation("r", told) {
			mistaken++
		}
	}
	if mistaken > 30 {
		t.Errorf("%d of 1000 first attempts count as returns", mistaken)
	}
	d.NoteRefused("r", 0)
	for range 100 {
		d.Note("r", ms(100), testLeft-ms(100))
	}
	for _, left := range []time.Duration{testLeft, testLeft - ms(490), testLeft - ms(600)} {
		from, to := d.Window("r", left)
		if from > to || !d.HasReservation("r", left-from-ms(1)) || !d.HasReservation("r", left-to+ms(1)) || d.HasReservation("r", left*2/3-ms(1)) {
			t.Errorf("a caller with %v left may have one from %v to %v", left, from, to)
		}
	}
	if from, to := d.Window("other", testLeft); from != 0 || to != ms(900) {
		t.Errorf("of unknown deadlines, a reservation may lie from %v to %v", from, to)
	}
	for _, c := range []struct {
		told time.Duration
		want bool
	}{{testLeft, false}, {testLeft - ms(400), false}, {testLeft - ms(510), true}, {testLeft - ms(910), true}, {testLeft * 2 / 3, false}} {
		if got := d.HasReservation("r", c.told); got != c.want {
			t.Errorf("a caller with %v left returns: %v", c.told, got)
		}
	}
}
