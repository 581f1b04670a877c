package pasteer

import (
	"fmt"
	"testing"
	"time"

	"papayahead/paroute"
)

// noAffinityRoute is a route whose requests have no object.
var noAffinityRoute = &paroute.Route{
	Name: "r", Parts: []paroute.WeightedService{{Service: "s", Weight: 1}}, Idempotent: true,
	TargetLatency: 600 * time.Millisecond, Timeout: 3 * time.Second, MaxAttempts: 2,
}

// Guards against targets of the entry VM's availability zone that get no requests while one before them in the list has a free
// slot.
func TestRequestsWithoutObjectUseAllTargetsOfZone(t *testing.T) {
	for _, perZone := range []int{2, 4, 8, 12, 40} {
		b := newBalancer("a1", fleet(perZone))
		got := map[string]int{}
		for i := range 20 * perZone {
			now := begin.Add(time.Duration(i) * time.Second)
			q := Request{Route: noAffinityRoute, Service: "s", Deadline: now.Add(3 * time.Second)}
			c := b.Choose(q, now)
			b.Start(c, q, now)
			b.Finish(
				Report{Target: c.Target, Route: "r", Outcome: Answered, Duration: 300 * time.Millisecond},
				now.Add(300*time.Millisecond),
			)
			got[c.Target]++
		}
		for i := range perZone {
			if n := got[fmt.Sprintf("a1-%d", i)]; n < 10 || n > 40 {
				t.Errorf("with %d targets, target %d got %d of %d requests, want about 20", perZone, i, n, 20*perZone)
			}
		}
	}
}

// Guards against one target that gets the first request of every entry VM.
func TestEntryVMsStartRotationAtDifferentTargets(t *testing.T) {
	v := fleet(8)
	got := map[string]int{}
	for i := range 80 {
		b := New(Config{
			Name: fmt.Sprint("entry-", i), Zone: "a1", Region: "a", Regions: regions,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryFloor: 60,
		})
		b.Update(v, begin)
		got[b.Choose(Request{Route: noAffinityRoute, Service: "s", Deadline: begin.Add(3 * time.Second)}, begin).Target]++
	}
	for i := range 8 {
		if n := got[fmt.Sprintf("a1-%d", i)]; n < 2 || n > 25 {
			t.Errorf("target %d got the first request of %d of 80 entry VMs, want about 10", i, n)
		}
	}
}
