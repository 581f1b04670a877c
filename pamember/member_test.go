package pamember_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"papayahead/pacapacity"
	"papayahead/pamember"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newFleet(t *testing.T, seed uint64, s pacapacity.Shape) *pacapacity.Fleet {
	t.Helper()
	f := &pacapacity.Fleet{Random: rand.New(rand.NewPCG(seed, 7)), Now: epoch, Keep: true, Encode: true}
	if err := f.Build(s); err != nil {
		t.Fatal(err)
	}
	return f
}

// converged reports whether every running node sees exactly the running nodes as live.
func converged(f *pacapacity.Fleet) bool {
	for _, n := range f.Nodes {
		if n.Down || n.Frozen {
			continue
		}
		v := n.View(f.Now)
		for _, o := range f.Nodes {
			m, ok := v.Find(o.Identity.Name)
			if live := ok && m.Live(); live == o.Down {
				return false
			}
		}
	}
	return true
}

func TestSevenDaemonsDiscoverEachOther(t *testing.T) {
	f := newFleet(t, 1, pacapacity.Shape{Regions: 3, ZonesPerRegion: 2, PerZone: 1})
	if _, err := f.Add("region-00", "region-00-a", "entry-extra"); err != nil {
		t.Fatal(err)
	}
	f.Do(f.Nodes[6], pamember.Seeds{List: f.Seeds()})
	f.Run(20 * time.Second)
	if !converged(f) {
		t.Fatalf("views differ after 20 s")
	}
	f.Nodes[6].Down = true
	f.Run(20 * time.Second)
	if !converged(f) {
		t.Fatalf("a dead daemon is still live after 20 s")
	}
	for _, n := range f.Nodes {
		t.Log(n.Identity.Name, n.Sent/40, n.Received/40, n.Messages/40)
	}
}
