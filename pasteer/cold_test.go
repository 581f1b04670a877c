package pasteer

import (
	"fmt"
	"testing"
	"time"

	"papayahead/pafleet"
	"papayahead/paroute"
)

// A zone comes back cold under full load. In no second may all entry VMs together send a cold target
// more than it bears: its rate with half of it above, and five.
func TestColdTargetsGetNoMoreThanTheyBear(t *testing.T) {
	v := fleet(2)
	for id, m := range v.Targets {
		m.ColdUntil = begin.Add(time.Minute)
		v.Targets[id] = m
	}
	var all []*Balancer
	for zone := range regions {
		all = append(all, newBalancer(zone, v))
	}
	sent := map[string][]time.Time{}
	for tick := range 500 {
		now := begin.Add(time.Duration(tick) * 10 * time.Millisecond)
		for i, s := range all {
			c := s.Choose(request(fmt.Sprint(tick*7+i), now), now)
			if c.Target == "" {
				continue
			}
			s.Start(c, request("", now), now)
			s.Finish(Report{Target: c.Target, Route: "r", Outcome: Answered, Duration: time.Millisecond}, now)
			sent[c.Target] = append(sent[c.Target], now)
		}
	}
	if len(sent) == 0 {
		t.Fatal("cold targets get nothing at all")
	}
	for id, at := range sent {
		for i := range at {
			n := 0
			for _, u := range at[i:] {
				if u.Sub(at[i]) < time.Second {
					n++
				}
			}
			if n > 8 {
				t.Errorf("%s got %d requests within a second", id, n)
			}
		}
	}
}

// A target refuses connections because it starts anew under its ID, cold. It must not get its full share
// at once: a cold target crashes under that.
func TestATargetThatBrokeCountsAsCold(t *testing.T) {
	s := newBalancer("a1", fleet(1))
	id := "a1-0"
	s.Start(Choice{Target: id}, request("", begin), begin)
	s.Finish(Report{Target: id, Route: "r", Outcome: Refused}, begin)
	if !s.targets[id].isCold(begin.Add(time.Second)) {
		t.Error("it counts as warm")
	}
	if !begin.Before(s.targets[id].downUntil) {
		t.Error("it is tried again at once")
	}
}

// The first run of an object takes three times as long as the next ones. Taken for a warm run, it makes all
// waits look three times as long, and requests that could be answered in time are refused or run cold elsewhere.
func TestAFirstRunIsNotLearntAsAWarmOne(t *testing.T) {
	s := newBalancer("a1", fleet(2))
	q, now := request("x", begin), begin
	for _, took := range []time.Duration{900 * time.Millisecond, 270 * time.Millisecond} {
		c := s.Choose(q, now)
		s.Start(c, q, now)
		now = now.Add(took)
		s.Finish(Report{Target: c.Target, Route: "r", Object: "x", Outcome: Answered, Duration: took, Warm: c.Warm}, now)
	}
	if cold, warm := s.expected(q, false), s.expected(q, true); cold != 900*time.Millisecond || warm != 270*time.Millisecond {
		t.Errorf("a cold run is expected to take %s and a warm one %s", cold, warm)
	}
}

// A region comes back from a loss of power with its entry VMs and its targets, which are cold. Its entry VMs
// know of those elsewhere and not yet of each other; those elsewhere do not know that they are back. All of
// them together sent a cold target several times what it bears, and it crashed.
func TestARegionThatComesBackColdGetsNoMoreThanItBears(t *testing.T) {
	coldRegionReturns(t, route)
}

// The same, and only the targets of that region may be used, so that every request wants them. The entry VMs of
// its one availability zone took the other for one without any, and sent to its targets too.
func TestARegionThatMustServeGetsNoMoreThanItBears(t *testing.T) {
	r := *route
	r.AllowedRegions = []string{"c"}
	coldRegionReturns(t, &r)
}

func coldRegionReturns(t *testing.T, r *paroute.Route) {
	t.Helper()
	v := fleet(1)
	for _, m := range v.Targets {
		if m.Zone[0] == 'c' {
			m.ColdUntil = begin.Add(time.Minute)
		}
	}
	revision := pafleet.Revision(1000)
	for zone, region := range regions {
		for i := range 4 {
			name := fmt.Sprintf("entry-%s-%d", zone, i)
			if region != "c" {
				v.Apply(pafleet.EntryUpdated{Entry: pafleet.Entry{Name: name, Zone: zone, Region: region, Revision: revision}}, begin)
			}
			v.Apply(pafleet.EntryRemoved{Name: "entry-" + zone, Revision: revision}, begin)
			revision++
		}
	}
	var all []*Balancer
	for zone, region := range regions {
		for i := range 4 {
			s := New(Config{Name: fmt.Sprintf("entry-%s-%d", zone, i), Zone: zone, Region: region, Regions: regions})
			if region != "c" {
				s.Update(v, begin.Add(-time.Minute))
			}
			s.Update(v, begin)
			all = append(all, s)
		}
	}
	sent := map[string]int{}
	for tick := range 100 {
		now := begin.Add(time.Duration(tick) * 10 * time.Millisecond)
		for i, s := range all {
			q := request(fmt.Sprint(tick*31+i), now)
			q.Route = r
			c := s.Choose(q, now)
			s.Start(c, request("", now), now)
			s.Finish(Report{Target: c.Target, Route: "r", Outcome: Answered, Duration: time.Millisecond}, now)
			sent[c.Target]++
		}
	}
	for _, id := range []string{"c1-0", "c2-0"} {
		if sent[id] > 8 {
			t.Errorf("the cold target %s got %d requests in a second, and bears 8", id, sent[id])
		}
		if sent[id] == 0 {
			t.Errorf("the cold target %s got nothing", id)
		}
	}
}
