package paquota

import (
	"testing"
	"time"
)

// The limiter handed its place over, and the pools of the next one began empty: requests below the limit were refused.
func TestAPoolHoldsWhatTheFormerLeft(t *testing.T) {
	terms := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	b := Divide(Limit{Rate: 100, Burst: 100}, terms, 34).Pool
	now := 10 * time.Second
	former, next := NewPool(b, terms, 0), NewPool(b, terms, now)
	left := former.Drain(now)
	if left < int(b.Depth) {
		t.Fatalf("a full pool of depth %.1f leaves %d", b.Depth, left)
	}
	next.Add(left)
	if n, _ := next.Take(Demand{Waiting: 1000}, now); n != left {
		t.Errorf("the next pool gives out %d, the former left %d", n, left)
	}
	if again := former.Drain(now); again != 0 {
		t.Errorf("the former leaves %d once more", again)
	}
	next.Add(1000)
	if n, _ := next.Take(Demand{Waiting: 1000}, now); n > int(b.Depth) {
		t.Errorf("a pool of depth %.1f gives out %d", b.Depth, n)
	}
}
