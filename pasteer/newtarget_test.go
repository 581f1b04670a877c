package pasteer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"papayahead/pafleet"
)

// Guards against every entry VM sending a first request to every new target. News that a target is in use takes seconds to
// reach all entry VMs, and all those requests run cold.
func TestFewFirstRequestsPerNewTarget(t *testing.T) {
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
		b := New(Config{Name: name, Zone: e.Zone, Region: e.Region, Regions: regions, RetryWindow: 10 * time.Second})
		b.Update(v, begin)
		for i := range 100 {
			q := request(fmt.Sprint("object-", i), begin)
			c := b.Choose(q, begin)
			b.Start(c, q, begin)
			b.Finish(Report{Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: time.Second}, begin)
		}
		all = append(all, b)
	}
	joined := begin.Add(5 * time.Second)
	for i := range 10 {
		v.Apply(pafleet.TargetUpdated{Target: pafleet.Target{
			ID: fmt.Sprint("new-", i), Service: "s", Zone: "a1", Slots: 3, Born: 1, Sequence: 1, Revision: pafleet.Revision(2000 + i),
			Address: netip.MustParseAddrPort("10.0.0.2:80"),
		}}, joined)
	}
	sent := map[string]int{}
	for _, b := range all {
		b.Update(v, joined)
	}
	for tick := range 60 {
		now := joined.Add(time.Duration(tick) * 50 * time.Millisecond)
		for k, b := range all {
			q := request(fmt.Sprint("object-", (tick*7+k)%100), now)
			if c := b.Choose(q, now); c.Target != "" {
				b.Start(c, q, now)
				b.Finish(Report{
					Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: 300 * time.Millisecond, Warm: c.Warm,
				}, now)
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
		t.Errorf("only %d of 10 new targets got a request within 3 s", len(sent))
	}
	if total > 3*len(sent) {
		t.Errorf("%d cold runs at %d new targets, want at most 3 each", total, len(sent))
	}
}
