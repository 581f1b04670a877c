package pasteer

import (
	"fmt"
	"testing"
	"time"
)

// A target said in a response that it is shutting down, and got requests again when its state began anew or the store called it ready.
func TestWordOfDrainingLastsForALifetimeOfTheTarget(t *testing.T) {
	const id = "a1-0"
	v := fleet(2)
	for name, views := range viewsOfALifetime(v, id) {
		t.Run(name, func(t *testing.T) {
			b := newBalancer("a1", v)
			if !b.NoteDraining(id, 1, begin) || b.NoteDraining(id, 1, begin) {
				t.Error("want news the first time and not the second")
			}
			for _, w := range views {
				b.Update(w, begin.Add(time.Second))
			}
			for i := range 100 {
				if c := b.Choose(request(fmt.Sprint("object-", i), begin), begin.Add(time.Second)); c.Target == id {
					t.Fatalf("chosen for object %d", i)
				}
			}
			if b.MaySend(Choice{Target: id, Born: 1}, begin.Add(time.Second)) {
				t.Error("a request that was chosen before may still be sent")
			}
		})
	}
	t.Run("and no longer", func(t *testing.T) {
		b := newBalancer("a1", v)
		b.NoteDraining(id, 1, begin)
		w := without(v, id)
		restarted := *v.Targets[id]
		restarted.Born = 2
		w.Targets[id] = &restarted
		b.Update(w, begin.Add(time.Second))
		if b.targets[id].excluded || !b.MaySend(Choice{Target: id, Born: 2}, begin) || b.DrainingTargets() != 0 {
			t.Error("a new lifetime under the same ID is taken for one that is shutting down")
		}
	})
}

// Targets that are gone for good must not fill the memory.
func TestWordsOfDrainingOfAbsentTargetsAreBounded(t *testing.T) {
	v := fleet(2)
	b := newBalancer("a1", v)
	for i := range 2 * maxAbsent {
		b.NoteDraining(fmt.Sprint("gone-", i), 1, begin.Add(time.Duration(i)*time.Millisecond))
	}
	b.NoteDraining("a1-0", 1, begin)
	b.Update(v, begin.Add(time.Minute))
	if n := b.DrainingTargets(); n != maxAbsent+1 || !b.targets["a1-0"].excluded {
		t.Errorf("%d are kept, want %d with the one that is there", n, maxAbsent+1)
	}
}
