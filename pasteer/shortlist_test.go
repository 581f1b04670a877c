package pasteer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayahead/pafleet"
)

// A shortlist that misses a target would send an object elsewhere than the whole ranking says, and each entry VM to
// another place.
func TestAShortlistLeadsToTheSameTargetAsTheWholeRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(rapid.IntRange(1, 12).Draw(t, "targets in a zone"))
		s := newBalancer("a1", v)
		s.Config.MaxShift = 0.15
		now := begin
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			q := request(fmt.Sprint("o", rapid.IntRange(0, 20).Draw(t, "object")), now)
			g := s.services["s"]
			var whole Choice
			if l := s.wholeList(g, q, now); l.usable > 0 {
				whole = s.pick(g, l.all, q, now)
			}
			got := s.Choose(q, now)
			if got.Target != whole.Target || got.Shifted != whole.Shifted || got.Held != whole.Held {
				t.Fatalf("chose %+v, by the whole ranking %+v", got, whole)
			}
			if got.Target == "" {
				continue
			}
			s.Start(got, q, now)
			o := rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Failed, Lost, Refused, Shed}).Draw(t, "outcome")
			s.Finish(Report{Target: got.Target, Route: "r", Object: q.Object, Outcome: o, Duration: 300 * time.Millisecond, Warm: got.Warm}, now)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				v.Apply(pafleet.TargetRemoved{ID: got.Target, Revision: v.Revision + 1}, now)
				s.Update(v, now)
			}
		}
	})
}

// large returns the Balancer of an entry VM of a service with a number of targets, each warm for two objects.
func large(targets int) (*Balancer, []string) {
	s := newBalancer("a1", fleet(targets/len(regions)))
	var objects []string
	for i := range 2 * targets {
		o := fmt.Sprint("object-", i)
		objects = append(objects, o)
		c := s.Choose(request(o, begin), begin)
		s.Start(c, request(o, begin), begin)
		s.Finish(Report{Target: c.Target, Route: "r", Object: o, Outcome: Answered, Duration: time.Second}, begin)
	}
	return s, objects
}

// A decision that allocates, or that grows with the targets, holds up all requests behind the lock.
func TestADecisionAllocatesNothing(t *testing.T) {
	s, objects := large(600)
	i := 0
	got := testing.AllocsPerRun(1000, func() {
		s.Choose(request(objects[i%len(objects)], begin), begin)
		i++
	})
	if got > 0 {
		t.Errorf("%.2f allocations for a decision", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 96, 576, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, objects := large(n)
			objects = objects[:min(len(objects), ranksMost)]
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s.Choose(request(objects[i%len(objects)], begin), begin)
				i++
			}
		})
	}
}
