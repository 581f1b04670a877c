package pasteer

import (
	"fmt"
	"testing"
	"time"

	"papayahead/pafleet"
)

// The entry VMs of a region are stopped, and its callers come to an entry VM of another region that has just let
// enough requests leave its own. Their objects are warm where they always ran, as a neighbour tells; kept in
// the new entry VM's region they all run cold, and none of them had changed its region.
func TestAnObjectThatIsWarmElsewhereStaysThere(t *testing.T) {
	v := fleet(2)
	s := newBalancer("a1", v)
	s.Config.MaxShift = 0.15
	now := begin.Add(time.Second)
	for range 100 {
		s.shifts.first[s.shifts.slot(now, shiftWindow)]++
		s.shifts.further[s.shifts.slot(now, shiftWindow)]++
	}
	if s.mayShift(now) {
		t.Fatal("the entry VM may still let requests leave its region")
	}
	s.ApplyNotes([]pafleet.WarmNote{{Target: "c1-1", Object: "x"}}, now)
	if c := s.Choose(request("x", now), now); c.Target != "c1-1" || !c.Warm || c.Shifted {
		t.Errorf("choice %+v, want the target where the object is warm", c)
	}
}

// All entry VMs lose power, and more is warm than the store keeps: an object that had moved runs cold again, while
// others that had not are kept for nothing.
func TestObjectsThatMovedAreKeptFirst(t *testing.T) {
	s := newBalancer("a1", fleet(2))
	moved := 0
	for i := range 40 {
		q := request(fmt.Sprint(i), begin)
		home := s.Choose(q, begin).Target
		if i < 5 {
			q.Tried = []string{home}
			home = s.Choose(q, begin).Target
			moved++
		}
		s.Start(Choice{Target: home}, q, begin.Add(time.Duration(i)*time.Millisecond))
	}
	notes, _ := s.WarmObjects(2*moved, begin.Add(time.Second))
	found := 0
	for _, n := range notes {
		if s.moved(s.targets[n.Target], hashOf("s", n.Object)) == 1 {
			found++
		}
	}
	all, _ := s.WarmObjects(100, begin.Add(time.Second))
	want := 0
	for _, n := range all {
		want += s.moved(s.targets[n.Target], hashOf("s", n.Object))
	}
	if found != min(want, 2*moved) || found < moved {
		t.Errorf("%d of %d objects that moved are kept", found, want)
	}
}
