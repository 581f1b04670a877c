package paquota

import (
	"testing"
	"time"
)

// After a handover the pools of the next limiter started empty, and requests below the limit were refused.
func TestPoolTakesOverTheTokensOfItsPredecessor(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	b := Divide(Limit{Rate: 100, Burst: 100}, tolerance, 34).Pool
	now := 10 * time.Second
	previous, next := NewPool(b, tolerance, 0), NewPool(b, tolerance, now)
	drained := previous.Drain(now)
	if drained < int(b.Depth) {
		t.Fatalf("a full pool of depth %.1f drains %d tokens", b.Depth, drained)
	}
	next.Add(drained)
	if n, _ := next.Take(Demand{Waiting: 1000}, now); n != drained {
		t.Errorf("the next pool grants %d tokens, the previous one drained %d", n, drained)
	}
	if again := previous.Drain(now); again != 0 {
		t.Errorf("the previous pool drains another %d tokens", again)
	}
	next.Add(1000)
	if n, _ := next.Take(Demand{Waiting: 1000}, now); n > int(b.Depth) {
		t.Errorf("a pool of depth %.1f grants %d tokens", b.Depth, n)
	}
}
