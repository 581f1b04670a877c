package pasteer

import (
	"fmt"
	"testing"
	"time"

	"papayahead/pafleet"
	"papayahead/pahash"
)

// Guards against holding requests in the wrong region. The entry VMs of a region are stopped, and its callers come to an entry
// VM of another region that has just reached MaxShift. A neighbour's notes say that their objects are warm where they always
// ran. Held in the new entry VM's region they would all run cold.
func TestObjectStaysInRegionWhereItIsWarm(t *testing.T) {
	v := fleet(2)
	b := newBalancer("a1", v)
	b.Config.MaxShift = 0.15
	now := begin.Add(time.Second)
	for range 100 {
		b.shifts.requests[b.shifts.bucketAt(now, shiftWindow)]++
		b.shifts.events[b.shifts.bucketAt(now, shiftWindow)]++
	}
	if b.mayShift(now) {
		t.Fatal("requests may still leave the region")
	}
	b.ApplyNotes([]pafleet.WarmNote{{Target: "c1-1", Object: "x"}}, now)
	if c := b.Choose(request("x", now), now); c.Target != "c1-1" || !c.Warm || c.Shifted {
		t.Errorf("choice %+v, want the target where the object is warm", c)
	}
}

// Guards against another cold run of a displaced object after all entry VMs lost power, because the store's limit on notes was
// spent on objects that are at their home and need no note.
func TestWarmObjectsListsDisplacedFirst(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	displaced := 0
	for i := range 40 {
		q := request(fmt.Sprint(i), begin)
		home := b.Choose(q, begin).Target
		if i < 5 {
			q.Tried = []string{home}
			home = b.Choose(q, begin).Target
			displaced++
		}
		b.Start(Choice{Target: home}, q, begin.Add(time.Duration(i)*time.Millisecond))
	}
	notes, _ := b.WarmObjects(2*displaced, begin.Add(time.Second))
	found := 0
	for _, n := range notes {
		if b.displaced(b.targets[n.Target], pahash.Pair("s", n.Object)) == 1 {
			found++
		}
	}
	all, _ := b.WarmObjects(100, begin.Add(time.Second))
	want := 0
	for _, n := range all {
		want += b.displaced(b.targets[n.Target], pahash.Pair("s", n.Object))
	}
	if found != min(want, 2*displaced) || found < displaced {
		t.Errorf("%d of %d displaced objects are listed", found, want)
	}
}
