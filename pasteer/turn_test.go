package pasteer

import (
	"fmt"
	"testing"
	"time"

	"papayahead/paroute"
)

// anywhere is a route whose requests have no object.
var anywhere = &paroute.Route{
	Name: "r", Parts: []paroute.WeightedService{{Service: "s", Weight: 1}}, Idempotent: true,
	TargetLatency: 600 * time.Millisecond, Timeout: 3 * time.Second, MaxAttempts: 2,
}

// Guards against targets of the own availability zone that get nothing while one before them in the list has room.
func TestRequestsWithoutObjectUseAllTargetsOfTheZone(t *testing.T) {
	for _, perZone := range []int{2, 4, 8, 12, 40} {
		s := newBalancer("a1", fleet(perZone))
		got := map[string]int{}
		for i := range 20 * perZone {
			now := begin.Add(time.Duration(i) * time.Second)
			q := Request{Route: anywhere, Service: "s", Deadline: now.Add(3 * time.Second)}
			c := s.Choose(q, now)
			s.Start(c, q, now)
			s.Finish(Report{Target: c.Target, Route: "r", Outcome: Answered, Duration: 300 * time.Millisecond}, now.Add(300*time.Millisecond))
			got[c.Target]++
		}
		for i := range perZone {
			if n := got[fmt.Sprintf("a1-%d", i)]; n < 10 || n > 40 {
				t.Errorf("%d targets: number %d got %d of %d requests, want about 20", perZone, i, n, 20*perZone)
			}
		}
	}
}

// Guards against a target that gets the first request of every entry VM.
func TestEntryVMsBeginAtDifferentTargets(t *testing.T) {
	v := fleet(8)
	got := map[string]int{}
	for i := range 80 {
		s := New(Config{Name: fmt.Sprint("entry-", i), Zone: "a1", Region: "a", Regions: regions, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryFloor: 60})
		s.Update(v, begin)
		got[s.Choose(Request{Route: anywhere, Service: "s", Deadline: begin.Add(3 * time.Second)}, begin).Target]++
	}
	for i := range 8 {
		if n := got[fmt.Sprintf("a1-%d", i)]; n < 2 || n > 25 {
			t.Errorf("target %d got the first request of %d of 80 entry VMs, want about 10", i, n)
		}
	}
}
