package paretry

import (
	"math"
	"testing"
	"time"
)

var (
	testAllowance = Allowance{Ratio: 0.2, Floor: 58, Window: 10 * time.Second}
	begin         = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func after(seconds float64) time.Time {
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

// withdrawAll takes all whole tokens and returns their number.
func withdrawAll(s *Share, now time.Time) (n int) {
	for s.TryWithdraw(now) {
		n++
	}
	return n
}

// accrue accrues all of the floor several times a second.
func accrue(s *Share, from, to float64) {
	for at := from; at <= to; at += 0.25 {
		s.Accrue(testAllowance, 1, after(at))
	}
}

// Guards against a process that counts what its former lifetime used as unused.
func TestNewShareIsEmpty(t *testing.T) {
	var s Share
	if n := withdrawAll(&s, begin); n != 0 {
		t.Errorf("%d retries of a new share, want 0", n)
	}
	s.Accrue(testAllowance, 1, begin)
	if n := withdrawAll(&s, begin); n != 0 {
		t.Errorf("%d retries after the first accrual, want 0", n)
	}
}

// Guards against tokens that pile up: a long quiet time would let a window have more than it is allowed.
func TestTokensLastForAFractionOfTheWindow(t *testing.T) {
	var s Share
	for n := range 1000 {
		s.Deposit(testAllowance, after(float64(n)/100))
	}
	lasting := 1000 * requestLifetime
	if got, want := s.Left(after(10)), lasting*testAllowance.perRequest(); got > want || got < 0.9*want {
		t.Errorf("%.1f left, want nearly %.1f", got, want)
	}
	if got := s.Left(after(10 + 10*requestLifetime)); got != 0 {
		t.Errorf("%.1f left after their lifetime, want 0", got)
	}
	accrue(&s, 20, 60)
	if got, want := s.Left(after(60)), testAllowance.perSecond()*10; got > want+1e-9 || got < 0.9*want {
		t.Errorf("%.1f of the floor left, want nearly %.1f", got, want)
	}
}

// Guards against a process that was suspended: for that time it does not know who shared with it.
func TestSuspendedProcessEarnsNothingForThatTime(t *testing.T) {
	var s Share
	s.Accrue(testAllowance, 1, begin)
	s.Accrue(testAllowance, 1, after(30))
	if got, want := s.Left(after(30)), testAllowance.perSecond()*maxAccrual.Seconds(); math.Abs(got-want) > 1e-9 {
		t.Errorf("%.2f earned in one call, want %.2f", got, want)
	}
}

// Guards against a clock that goes back, which the steady clock of a machine does not, but others may.
func TestClockThatGoesBackGivesNoTokens(t *testing.T) {
	var s Share
	accrue(&s, 0, 10)
	withdrawAll(&s, after(10))
	left := s.Left(after(10))
	s.Accrue(testAllowance, 1, after(5))
	if got := s.Left(after(10)); got > left {
		t.Errorf("%.2f left after a step back, want at most %.2f", got, left)
	}
}

func TestFloorPartsHoldAWholeToken(t *testing.T) {
	for _, floor := range []float64{0, 1, 3, 58, 160} {
		a := Allowance{Ratio: 0.2, Floor: floor, Window: 10 * time.Second}
		if whole := a.perSecond() * 10 / float64(a.FloorParts()); floor > 2.2 && whole < 1 {
			t.Errorf("floor %v in %d parts: %.2f tokens each, want 1", floor, a.FloorParts(), whole)
		}
	}
}
