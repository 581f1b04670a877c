package pasteer

import (
	"fmt"
	"testing"
	"time"

	"papayahead/pafleet"
	"papayahead/paroute"
)

// Guards against all entry VMs together sending a cold target more than it bears when a zone comes back cold under full
// load. A target bears 1.5 times its rate plus 5 requests in any second.
func TestColdTargetRateLimit(t *testing.T) {
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
		for i, b := range all {
			c := b.Choose(request(fmt.Sprint(tick*7+i), now), now)
			if c.Target == "" {
				continue
			}
			b.Start(c, request("", now), now)
			b.Finish(Report{Target: c.Target, Route: "r", Outcome: Answered, Duration: time.Millisecond}, now)
			sent[c.Target] = append(sent[c.Target], now)
		}
	}
	if len(sent) == 0 {
		t.Fatal("cold targets got no requests")
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
				t.Errorf("cold target %s got %d requests within a second, want at most 8", id, n)
			}
		}
	}
}

// Guards against sending a full share of the traffic to a target that refused connections because it restarts under its ID.
// It is cold then and would crash.
func TestRefusedConnectionMarksTargetCold(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	id := "a1-0"
	b.Start(Choice{Target: id}, request("", begin), begin)
	b.Finish(Report{Target: id, Route: "r", Outcome: Refused}, begin)
	if !b.targets[id].isCold(begin.Add(time.Second)) {
		t.Error("the target does not count as cold")
	}
	if !begin.Before(b.targets[id].backoffUntil) {
		t.Error("the target is tried again at once")
	}
}

// Guards against counting the first run of an object, which takes three times as long as the next ones, as a warm run. All
// expected waits would be three times too long, and requests would be refused or run cold elsewhere.
func TestColdRunDoesNotCountAsWarm(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	q, now := request("x", begin), begin
	for _, took := range []time.Duration{900 * time.Millisecond, 270 * time.Millisecond} {
		c := b.Choose(q, now)
		b.Start(c, q, now)
		now = now.Add(took)
		b.Finish(Report{Target: c.Target, Route: "r", Object: "x", Outcome: Answered, Duration: took, Warm: c.Warm}, now)
	}
	if cold, warm := b.expectedRun(q, false), b.expectedRun(q, true); cold != 900*time.Millisecond || warm != 270*time.Millisecond {
		t.Errorf("expected times are %s for a cold run and %s for a warm one, want 900ms and 270ms", cold, warm)
	}
}

// Guards against overloading the cold targets of a region that comes back from a power failure together with its entry VMs.
// These know the entry VMs elsewhere but not yet each other, and those elsewhere do not know yet that they are back. All
// together once sent a cold target several times what it bears, and it crashed.
func TestColdRateAfterRegionRestart(t *testing.T) {
	testRegionRestart(t, route)
}

// Guards against the same when only the targets of that region are allowed, so that every request competes for them. The
// entry VMs in one of its availability zones once took the other zone for one without entry VMs and sent to its targets too.
func TestColdRateAfterRestartOfOnlyAllowedRegion(t *testing.T) {
	r := *route
	r.AllowedRegions = []string{"c"}
	testRegionRestart(t, &r)
}

// testRegionRestart checks how many requests the cold targets of region c get in the first second after its restart.
func testRegionRestart(t *testing.T, r *paroute.Route) {
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
			b := New(Config{Name: fmt.Sprintf("entry-%s-%d", zone, i), Zone: zone, Region: region, Regions: regions})
			if region != "c" {
				b.Update(v, begin.Add(-time.Minute))
			}
			b.Update(v, begin)
			all = append(all, b)
		}
	}
	sent := map[string]int{}
	for tick := range 100 {
		now := begin.Add(time.Duration(tick) * 10 * time.Millisecond)
		for i, b := range all {
			q := request(fmt.Sprint(tick*31+i), now)
			q.Route = r
			c := b.Choose(q, now)
			b.Start(c, request("", now), now)
			b.Finish(Report{Target: c.Target, Route: "r", Outcome: Answered, Duration: time.Millisecond}, now)
			sent[c.Target]++
		}
	}
	for _, id := range []string{"c1-0", "c2-0"} {
		if sent[id] > 8 {
			t.Errorf("cold target %s got %d requests in a second, want at most 8", id, sent[id])
		}
		if sent[id] == 0 {
			t.Errorf("cold target %s got no requests", id)
		}
	}
}

// Guards against an entry VM that stops and goes on sending to the cold targets of its zone while others take its share over. In the
// second after the stop, targets got more than 1.5 times their rate plus 5.
func TestColdRateWhileEntryVMsStop(t *testing.T) {
	v := fleet(1)
	for _, m := range v.Targets {
		m.ColdUntil = begin.Add(time.Minute)
	}
	stays := []*Balancer{}
	for i := range 4 {
		name := fmt.Sprint("entry-a2-", i)
		v.Apply(pafleet.EntryUpdated{Entry: pafleet.Entry{Name: name, Zone: "a2", Region: "a", Revision: pafleet.Revision(1000 + i)}}, begin)
		stays = append(stays, New(Config{Name: name, Zone: "a2", Region: "a", Regions: regions}))
	}
	stops := newBalancer("a1", v)
	for _, b := range stays {
		b.Update(v, begin.Add(-time.Minute))
	}
	v.Apply(pafleet.EntryRemoved{Name: "entry-a1", Revision: 2000}, begin)
	stops.Leave()
	for _, b := range append(stays, stops) {
		b.Update(v, begin)
	}
	sent := map[*Balancer]int{}
	for tick := range 100 {
		now := begin.Add(time.Duration(tick) * 10 * time.Millisecond)
		for i, b := range append(stays, stops) {
			c := b.Choose(request(fmt.Sprint(tick*31+i), now), now)
			if c.Target == "a1-0" {
				b.Start(c, request("", now), now)
				b.Finish(Report{Target: c.Target, Route: "r", Outcome: Answered, Duration: time.Millisecond}, now)
				sent[b]++
			}
		}
	}
	if sent[stops] > 0 {
		t.Errorf("%d requests to a cold target by the entry VM that stops, want none", sent[stops])
	}
	if sent[stays[0]]+sent[stays[1]]+sent[stays[2]]+sent[stays[3]] == 0 {
		t.Error("nobody else sends to it")
	}
}

// Guards against leases that lapse while the store is away: when it answers again nobody is registered for a moment, and each entry VM
// took itself for the only one and sent cold targets the whole rate.
func TestColdRateWhileNobodyIsRegistered(t *testing.T) {
	v := fleet(1)
	for _, m := range v.Targets {
		m.ColdUntil = begin.Add(time.Minute)
	}
	var all []*Balancer
	for zone, region := range regions {
		b := New(Config{Name: "entry-" + zone, Zone: zone, Region: region, Regions: regions})
		b.Update(v, begin.Add(-time.Minute))
		all = append(all, b)
	}
	for _, b := range all {
		v.Apply(pafleet.EntryRemoved{Name: b.Config.Name, Revision: 2000}, begin)
	}
	for _, b := range all {
		b.Update(v, begin)
	}
	sent := map[string]int{}
	for tick := range 100 {
		now := begin.Add(time.Duration(tick) * 10 * time.Millisecond)
		for i, b := range all {
			if c := b.Choose(request(fmt.Sprint(tick*31+i), now), now); c.Target != "" {
				b.Start(c, request("", now), now)
				b.Finish(Report{Target: c.Target, Route: "r", Outcome: Answered, Duration: time.Millisecond}, now)
				sent[c.Target]++
			}
		}
	}
	for id, n := range sent {
		if n > 8 {
			t.Errorf("cold target %s got %d requests in a second, want at most 8", id, n)
		}
	}
	if len(sent) == 0 {
		t.Error("cold targets got no requests")
	}
}

// A target that turns cold says so in its responses at once, and the store a heartbeat and a reading later; until then it got full traffic.
func TestColdWordOfAResponseCounts(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	m := b.targets["a1-0"]
	now := begin.Add(time.Minute)
	answer := func(r Report, now time.Time) {
		b.Start(Choice{Target: "a1-0", Born: 1}, request("object", now), now)
		r.Target, r.Route, r.Duration = "a1-0", "r", 10*time.Millisecond
		b.Finish(r, now)
	}
	answer(Report{Outcome: Moved, ColdFor: 2 * time.Second}, now)
	if m.isCold(now) {
		t.Error("cold by the response of another target at its address")
	}
	answer(Report{Outcome: Answered, ColdFor: 2 * time.Second}, now)
	if !m.isCold(now.Add(1900*time.Millisecond)) || m.isCold(now.Add(2100*time.Millisecond)) {
		t.Error("not cold for the two seconds that it said")
	}
	sent := 0
	for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(10 * time.Millisecond) {
		if b.usableNow(m, request("object", at), at) {
			answer(Report{Outcome: Answered}, at)
			sent++
		}
	}
	if sent > 4 {
		t.Errorf("%d requests in 2 s, want at most 4", sent)
	}
	answer(Report{Outcome: Answered, ColdFor: 1000 * time.Hour}, now)
	if m.isCold(now.Add(time.Hour)) {
		t.Error("cold beyond all bounds")
	}
}
