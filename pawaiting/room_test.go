package pawaiting

import (
	"fmt"
	"testing"
	"time"
)

func itemOf(priority int, workspace string, bytes int64) *Item {
	return &Item{
		Target: "t", Priority: priority, Workspace: workspace, Arrived: begin, Due: begin.Add(400 * time.Millisecond),
		Deadline: begin.Add(3 * time.Second), Run: 100 * time.Millisecond, Bytes: bytes,
	}
}

// Guards against a full room of the least urgent that refuses the most urgent, and against one that grows without bound.
func TestFullRoomEvictsLeastUrgentNewest(t *testing.T) {
	r := &Room{Config: Config{Requests: 3}}
	old, young, middle := itemOf(2, "a", 0), itemOf(2, "a", 0), itemOf(1, "a", 0)
	for _, i := range []*Item{old, young, middle} {
		if _, ok := r.Add(i, begin); !ok {
			t.Fatal("refused before the room is full")
		}
	}
	if _, ok := r.Add(itemOf(2, "a", 0), begin); ok {
		t.Error("a full room took another of the least urgent")
	}
	evicted, ok := r.Add(itemOf(0, "a", 0), begin)
	if !ok || len(evicted) != 1 || evicted[0] != young || young.Waits() || !old.Waits() || r.Len() != 3 {
		t.Errorf("evicted %v, %v, want the least urgent newest", evicted, ok)
	}
}

// Guards against bodies that take more memory than the room allows, and against requests that are evicted for one that does not fit.
func TestRoomBoundsBytes(t *testing.T) {
	r := &Room{Config: Config{Bytes: 100}}
	small := itemOf(2, "a", 60)
	r.Add(small, begin)
	if _, ok := r.Add(itemOf(0, "a", 101), begin); ok || !small.Waits() {
		t.Error("a body beyond the bound was taken, or others gave way to it")
	}
	if evicted, ok := r.Add(itemOf(0, "a", 50), begin); !ok || len(evicted) != 1 || r.Bytes() != 50 {
		t.Errorf("evicted %d, %v, %d bytes left", len(evicted), ok, r.Bytes())
	}
}

// Guards against counts that keep requests which left, or moved to another target, or got another priority.
func TestCountsFollowItems(t *testing.T) {
	var r Room
	a, b := itemOf(1, "a", 5), itemOf(2, "b", 5)
	r.Add(a, begin)
	r.Add(b, begin)
	r.Move(a, "u", a.Run)
	r.SetPriority(b, 0)
	if r.Ahead("t", 0) != 1 || r.Ahead("u", 1) != 1 || r.Ahead("u", 0) != 0 || r.Waiting(0) != 1 || r.Waiting(2) != 0 {
		t.Error("counts do not follow a move or a change of priority")
	}
	r.Remove(a)
	r.Remove(a)
	r.Send(b, begin)
	if r.Len() != 0 || r.Bytes() != 0 || r.Ahead("t", 7) != 0 || r.Next("t", begin) != nil {
		t.Error("counts remain after all left")
	}
}

// Guards against shares that overflow or are lost on an entry VM that runs for days.
func TestSharesLastForDays(t *testing.T) {
	var r Room
	for s := range 2 * 86400 {
		r.CountArrival("a", begin.Add(time.Duration(s)*time.Second))
		r.CountSent("a", begin.Add(time.Duration(s)*time.Second))
	}
	now := begin.Add(48 * time.Hour)
	if used := r.shares.of("a", now).used / r.shares.scale(now); !(used > 1 && used < 10) {
		t.Errorf("used %v after two days", used)
	}
	r.CountArrival("b", now.Add(time.Hour))
	if len(r.shares.byWorkspace) != 1 {
		t.Errorf("%d workspaces are remembered, want only the one that sends", len(r.shares.byWorkspace))
	}
}

// A thousand wait, by turns for one target and for many.
func BenchmarkNext(b *testing.B) {
	for _, targets := range []int{1, 576} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := &Room{}
			for n := range 1000 {
				i := itemOf(n%3, fmt.Sprint(n%20), 0)
				i.Target = fmt.Sprint(n % targets)
				r.Add(i, begin)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Next("0", begin)
			}
		})
	}
}
