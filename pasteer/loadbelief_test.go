package pasteer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"papayahead/pafleet"
	"papayahead/paload"
)

// newContended returns a balancer of a deployment whose callers compete for slots.
func newContendedIn(zone string, v *pafleet.View) *Balancer {
	b := New(Config{
		Name: "entry-" + zone, Zone: zone, Region: regions[zone], Regions: regions,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryFloor: 60, Contended: true,
	})
	b.Update(v, begin)
	return b
}

// answer has a request run at a target, which reports a load with its response.
func answer(b *Balancer, id string, running, waiting int, slowness float64, now time.Time) {
	b.Start(Choice{Target: id, Born: 1}, request("object", now), now)
	b.Finish(Report{
		Target: id, Route: "r", Outcome: Answered, Duration: 300 * time.Millisecond,
		LoadKnown: true, Running: running, Waiting: waiting, Slowness: slowness,
	}, now)
}

// pass hands all notes of one entry VM to another.
func pass(from, to *Balancer, now time.Time) int {
	notes, _ := from.LoadNotes(0, 1000, true, now)
	to.ApplyLoadNotes(notes, now)
	return len(notes)
}

const busy = "a1-0"

// A deployment whose callers do not compete for slots plays as before: a report counts for half a second, and no note is told or taken.
func TestServiceThatIsNotContendedDecidesAsBefore(t *testing.T) {
	b, hard := newBalancer("a1", fleet(2)), newContendedIn("a1", fleet(2))
	answer(b, busy, 3, 6, 0, begin)
	answer(hard, busy, 3, 6, 0, begin)
	if notes, last := b.LoadNotes(0, 100, true, begin); len(notes) > 0 || last > 0 || b.AnyContended() {
		t.Errorf("notes %+v up to %d, want none", notes, last)
	}
	other := newBalancer("a1", fleet(2))
	if told := pass(hard, other, begin); told != 1 || other.targets[busy].load(begin) != 0 {
		t.Errorf("load %v after %d notes, want 0: they do not count here", other.targets[busy].load(begin), told)
	}
	x := b.targets[busy]
	for age, want := range map[time.Duration]float64{0: 8, otherLoadTTL: 8, otherLoadTTL + 1: 0, time.Hour: 0} {
		if got := x.load(begin.Add(age)); got != want {
			t.Errorf("load %v after %v, want %v", got, age, want)
		}
		if got, want := x.isLoadFresh(begin.Add(age)), age <= otherLoadTTL; got != want {
			t.Errorf("fresh %v after %v, want %v", got, age, want)
		}
	}
	if got := x.queuedOtherLoad(begin.Add(standingLoadTTL/2), false); got != 4 {
		t.Errorf("%v requests at a standing queue after half of its time, want 4", got)
	}
	if x.slowness(begin) != 1 {
		t.Errorf("slowness %v", x.slowness(begin))
	}
}

// A neighbour's response tells that a target is full, and this entry VM sends elsewhere though it heard nothing itself.
func TestNeighboursLoadKeepsRequestsFromFullTarget(t *testing.T) {
	v := fleet(2)
	one, two := newContendedIn("a1", v), newContendedIn("a1", v)
	sendsToBusy := func(now time.Time) bool {
		for range 4 * len(two.targets) {
			if two.Choose(Request{Route: noAffinityRoute, Service: "s", Deadline: now.Add(3 * time.Second)}, now).Target == busy {
				return true
			}
		}
		return false
	}
	if !sendsToBusy(begin) {
		t.Fatal("no request goes to the target before it is full")
	}
	answer(one, busy, 3, 6, 0, begin)
	if told := pass(one, two, begin.Add(100*time.Millisecond)); told != 1 {
		t.Fatalf("%d notes, want one", told)
	}
	now := begin.Add(150 * time.Millisecond)
	if sendsToBusy(now) {
		t.Error("a request goes to a target that a neighbour knows to be full")
	}
	// It passes the note on, and takes it for new once.
	if again := pass(two, one, now); again != 1 || one.loadLog.Received != 0 {
		t.Errorf("%d notes passed on, %d of them new to the one that told it", again, one.loadLog.Received)
	}
}

// Guards against requests that wait for a target which is slow at the moment, and against one that is left out long after.
func TestSlownessCountsWhileItIsFresh(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	q := request("object", begin)
	usual := b.estimate(b.targets[busy], q, false, begin)
	answer(b, busy, 1, 0, 2.5, begin)
	if !b.AnyContended() {
		t.Fatal("a service whose targets tell how slow work is does not count as contended")
	}
	usual.finish = b.estimate(b.targets["a1-1"], q, false, begin).finish
	slow := b.estimate(b.targets[busy], q, false, begin)
	if got := float64(slow.finish) / float64(usual.finish); got < 2.4 || got > 2.6 {
		t.Errorf("a run at a target that is slow by 2.5 is expected to take %.2f times as long", got)
	}
	later := b.estimate(b.targets[busy], q, false, begin.Add(10*time.Second))
	if got := float64(later.finish) / float64(usual.finish); got > 1.05 {
		t.Errorf("ten seconds later a run is still expected to take %.2f times as long", got)
	}
}

// Guards against a target that restarts under its ID and inherits the load and slowness of the process before.
func TestRestartUnderTheSameIDStartsAnew(t *testing.T) {
	v := fleet(2)
	one, two := newContendedIn("a1", v), newContendedIn("a2", v)
	answer(one, busy, 3, 9, 2.5, begin)
	old, _ := one.LoadNotes(0, 10, true, begin)
	moved := v.Targets[busy].Target
	moved.Born, moved.Sequence, moved.Revision = 2, moved.Sequence+1, moved.Revision+1000
	v.Apply(pafleet.TargetUpdated{Target: moved}, begin)
	one.Update(v, begin)
	two.Update(v, begin)
	two.ApplyLoadNotes(old, begin)
	for name, b := range map[string]*Balancer{"that heard it": one, "that has a note": two} {
		if x := b.targets[busy]; x.load(begin) != 0 || x.slowness(begin) != 1 {
			t.Errorf("the entry VM %s believes in load %v and slowness %v", name, x.load(begin), x.slowness(begin))
		}
	}
	if left, _ := one.LoadNotes(0, 10, true, begin); len(left) > 0 {
		t.Errorf("tells of the process before: %+v", left)
	}
}

// Guards against a neighbour whose notes cannot be true: none ends the process or takes a target out of use.
func TestNonsenseOnLoadsChangesNothing(t *testing.T) {
	b := newContendedIn("a1", fleet(2))
	key := loadKeyOf(busy, 1)
	b.ApplyLoadNotes([]paload.Note{
		{}, {Key: key, Load: 1 << 32}, {Key: key, Load: -1}, {Key: key, Load: 1, Slowness: 1e9}, {Key: key, Load: 9, Age: time.Hour},
		{Key: key, Load: 9, Age: -time.Second}, {Key: key + 1, Load: 9}, {Key: loadKeyOf(busy, 2), Load: 9},
	}, begin)
	for id, x := range b.targets {
		if x.load(begin) != 0 || x.slowness(begin) != 1 {
			t.Errorf("%s: load %v, slowness %v", id, x.load(begin), x.slowness(begin))
		}
	}
	if notes, _ := b.LoadNotes(0, 100, true, begin); len(notes) > 0 {
		t.Errorf("passes on %+v", notes)
	}
}

// Two lifetimes with one key would have each other's loads: notes count for neither.
func TestSharedKeyCountsForNeither(t *testing.T) {
	b := newContendedIn("a1", fleet(2))
	x, y := b.targets[busy], b.targets["a1-1"]
	b.removeLoad(y)
	y.loadKey = x.loadKey
	b.loadKeys[x.loadKey] = nil
	answer(b, busy, 3, 9, 0, begin)
	b.ApplyLoadNotes([]paload.Note{{Key: x.loadKey, Load: 7}}, begin.Add(time.Second))
	if notes, _ := b.LoadNotes(0, 10, true, begin); len(notes) > 0 || y.load(begin.Add(time.Second)) != 0 {
		t.Errorf("notes %+v, load %v of the other one", notes, y.load(begin.Add(time.Second)))
	}
}

// newLargeContended returns a balancer that believes in loads and slowness at all of n targets.
func newLargeContended(n int) (*Balancer, []string) {
	b, objects := newLargeBalancer(n)
	b.Config.Contended = true
	for _, svc := range b.services {
		b.updateLoads(svc)
	}
	for i, id := range sortedIDs(b) {
		answer(b, id, 3, i%5, 1+float64(i%3)/2, begin)
	}
	return b, objects[:min(len(objects), maxRankings)]
}

// Guards against allocations in a decision on believed loads, which all requests of the entry VM wait for.
func TestContendedChooseDoesNotAllocate(t *testing.T) {
	b, objects := newLargeContended(576)
	i := 0
	if got := testing.AllocsPerRun(1000, func() {
		b.Choose(request(objects[i%len(objects)], begin), begin.Add(time.Second))
		i++
	}); got > 0 {
		t.Errorf("%.2f allocations per decision, want 0", got)
	}
}

func BenchmarkContendedChoose(b *testing.B) {
	for _, n := range []int{96, 576} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, objects := newLargeContended(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				balancer.Choose(request(objects[i%len(objects)], begin), begin.Add(time.Second))
				i++
			}
		})
	}
}

// sortedIDs returns the IDs of all targets in order.
func sortedIDs(b *Balancer) []string {
	var all []string
	for id := range b.targets {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}
