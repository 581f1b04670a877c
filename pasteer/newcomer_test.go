package pasteer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"papayahead/pafleet"
)

// Targets join under load, and word that one of them is in use takes seconds to all entry VMs. Each entry VM began the
// use of each target by itself, and all that they sent ran cold.
func TestFewEntryVMsBeginTheUseOfATarget(t *testing.T) {
	v := fleet(2)
	for i := range 12 {
		e := pafleet.Entry{Name: fmt.Sprint("more-", i), Zone: "a1", Region: "a", Revision: pafleet.Revision(1000 + i)}
		v.Apply(pafleet.EntryUpdated{Entry: e}, begin)
	}
	var all []*Balancer
	for name, e := range v.Entries {
		if e.Region != "a" {
			continue
		}
		s := New(Config{Name: name, Zone: e.Zone, Region: e.Region, Regions: regions, RetryWindow: 10 * time.Second})
		s.Update(v, begin)
		for i := range 100 {
			q := request(fmt.Sprint("object-", i), begin)
			c := s.Choose(q, begin)
			s.Start(c, q, begin)
			s.Finish(Report{Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: time.Second}, begin)
		}
		all = append(all, s)
	}
	joined := begin.Add(5 * time.Second)
	for i := range 10 {
		v.Apply(pafleet.TargetUpdated{Target: pafleet.Target{
			ID: fmt.Sprint("new-", i), Service: "s", Zone: "a1", Slots: 3, Born: 1, Sequence: 1, Revision: pafleet.Revision(2000 + i),
			Address: netip.MustParseAddrPort("10.0.0.2:80"),
		}}, joined)
	}
	sent := map[string]int{}
	for _, s := range all {
		s.Update(v, joined)
	}
	for tick := range 60 {
		now := joined.Add(time.Duration(tick) * 50 * time.Millisecond)
		for k, s := range all {
			q := request(fmt.Sprint("object-", (tick*7+k)%100), now)
			if c := s.Choose(q, now); c.Target != "" {
				s.Start(c, q, now)
				s.Finish(Report{Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: 300 * time.Millisecond, Warm: c.Warm}, now)
				if !c.Warm && len(c.Target) > 3 && c.Target[:3] == "new" {
					sent[c.Target]++
				}
			}
		}
	}
	total := 0
	for _, n := range sent {
		total += n
	}
	t.Logf("%d targets got %d cold runs in 3 s", len(sent), total)
	if len(sent) < 10 {
		t.Errorf("only %d of 10 targets were used within 3 s", len(sent))
	}
	if total > 3*len(sent) {
		t.Errorf("%d cold runs at %d targets that joined", total, len(sent))
	}
}
