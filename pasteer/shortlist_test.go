package pasteer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayahead/pafleet"
)

// Guards against a shortlist that misses a target, so that an object runs elsewhere than its full ranking says, and at a
// different target for each entry VM.
func TestShortlistChoosesSameTargetAsFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(rapid.IntRange(1, 12).Draw(t, "targets in a zone"))
		b := newBalancer("a1", v)
		b.Config.MaxShift = 0.15
		now := begin
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			q := request(fmt.Sprint("o", rapid.IntRange(0, 20).Draw(t, "object")), now)
			svc := b.services["s"]
			var whole Choice
			if l := b.fullList(svc, q, now); l.usable > 0 {
				whole = b.pick(svc, l.all, q, now)
			}
			got := b.Choose(q, now)
			if got.Target != whole.Target || got.Shifted != whole.Shifted || got.Held != whole.Held {
				t.Fatalf("chose %+v, want %+v as from the full list", got, whole)
			}
			if got.Target == "" {
				continue
			}
			b.Start(got, q, now)
			o := rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Failed, Lost, Refused, Shed}).Draw(t, "outcome")
			b.Finish(Report{
				Target: got.Target, Route: "r", Object: q.Object, Outcome: o, Duration: 300 * time.Millisecond, Warm: got.Warm,
			}, now)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				v.Apply(pafleet.TargetRemoved{ID: got.Target, Revision: v.Revision + 1}, now)
				b.Update(v, now)
			}
		}
	})
}

// newLargeBalancer returns a Balancer for a service with the given number of targets, each warm for two objects on average, and
// the objects.
func newLargeBalancer(targets int) (*Balancer, []string) {
	b := newBalancer("a1", fleet(targets/len(regions)))
	var objects []string
	for i := range 2 * targets {
		o := fmt.Sprint("object-", i)
		objects = append(objects, o)
		c := b.Choose(request(o, begin), begin)
		b.Start(c, request(o, begin), begin)
		b.Finish(Report{Target: c.Target, Route: "r", Object: o, Outcome: Answered, Duration: time.Second}, begin)
	}
	return b, objects
}

// Guards against allocations in a decision. All requests wait for the lock that a decision holds, so it must neither allocate
// nor take longer with more targets; BenchmarkChoose shows the latter.
func TestChooseDoesNotAllocate(t *testing.T) {
	b, objects := newLargeBalancer(600)
	i := 0
	got := testing.AllocsPerRun(1000, func() {
		b.Choose(request(objects[i%len(objects)], begin), begin)
		i++
	})
	if got > 0 {
		t.Errorf("%.2f allocations per decision, want 0", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 96, 576, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, objects := newLargeBalancer(n)
			objects = objects[:min(len(objects), maxRankings)]
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				balancer.Choose(request(objects[i%len(objects)], begin), begin)
				i++
			}
		})
	}
}
