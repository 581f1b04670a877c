package pasubset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const targets = 6000

func entries(n int, linkMbps func(i int) float64) (all []Entry) {
	for i := range n {
		all = append(all, Entry{Hash: xxhash.Sum64String(fmt.Sprint("entry-", i)), Weight: Weight(linkMbps(i))})
	}
	return all
}

func target(i int) uint64 { return xxhash.Sum64String(fmt.Sprint("target-", i)) }

// Guards against connections that go cold and senders that lose what they know whenever any entry VM of the zone joins or leaves.
func TestFewTargetsMoveWhenAnEntryVMLeavesOrJoins(t *testing.T) {
	for _, n := range []int{2, 4, 12, 50} {
		all := entries(n, func(i int) float64 { return []float64{0, 10, 200}[i%3] })
		total := 0.0
		for _, e := range all {
			total += e.Weight
		}
		for gone, e := range all {
			moved := 0
			rest := slices.Delete(slices.Clone(all), gone, gone+1)
			for i := range targets {
				before, after := Sender(all, target(i)), Sender(rest, target(i))
				if before == e.Hash {
					moved++
				} else if before != after {
					t.Fatalf("of %d: target %d moved between entry VMs that stay", n, i)
				}
			}
			if want := targets * e.Weight / total; float64(moved) > 1.3*want+30 || float64(moved) < 0.7*want-30 {
				t.Errorf("of %d: %d targets moved with entry VM %d, want about %.0f", n, moved, gone, want)
			}
		}
	}
}

// Guards against an entry VM with a narrow link that is to carry as much as those beside it.
func TestTargetsAreDividedByBandwidth(t *testing.T) {
	all := entries(4, func(i int) float64 { return []float64{10, 200, 200, 200}[i] })
	count := map[uint64]int{}
	for i := range targets {
		count[Sender(all, target(i))]++
	}
	if n := count[all[0].Hash]; n < 50 || n > 150 {
		t.Errorf("10 of 610 Mbit/s send to %d of %d targets, want about 98", n, targets)
	}
	for _, e := range all[1:] {
		if n := count[e.Hash]; n < 1800 || n > 2140 {
			t.Errorf("200 of 610 Mbit/s send to %d of %d targets, want about 1967", n, targets)
		}
	}
}

// Guards against entry VMs that list the same others in another order and choose another sender.
func TestOrderDoesNotMatter(t *testing.T) {
	all := entries(7, func(int) float64 { return 0 })
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	for i := range targets {
		if Sender(all, target(i)) != Sender(reversed, target(i)) {
			t.Fatal("two orders give two senders")
		}
	}
	if Sender(nil, target(0)) != 0 {
		t.Error("nobody sends, and there is a sender")
	}
}
