package pasteer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayahead/pafleet"
	"papayahead/paroute"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// fleet returns a view with one service, perZone targets in each zone and one entry VM per zone.
func fleet(perZone int) *pafleet.View {
	v := &pafleet.View{}
	all := []pafleet.Change{pafleet.ConfigUpdated{Revision: 1, Config: &paroute.Config{
		Version: 1, Services: map[string]paroute.Service{"s": {WarmUp: 3 * time.Second, ColdRate: 2}},
	}}}
	r := pafleet.Revision(2)
	for zone, region := range regions {
		for i := range perZone {
			all = append(all, pafleet.TargetUpdated{Target: pafleet.Target{
				ID: fmt.Sprintf("%s-%d", zone, i), Service: "s", Zone: zone, Slots: 3, Born: 1, Sequence: 1, Revision: r,
				Address: netip.MustParseAddrPort("10.0.0.1:80"),
			}})
			r++
		}
		all = append(all, pafleet.EntryUpdated{Entry: pafleet.Entry{Name: "entry-" + zone, Zone: zone, Region: region, Revision: r}})
		r++
	}
	v.ApplyListing(all, r, begin)
	return v
}

func newBalancer(zone string, v *pafleet.View) *Balancer {
	b := New(Config{
		Name: "entry-" + zone, Zone: zone, Region: regions[zone], Regions: regions,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryFloor: 60,
	})
	b.Update(v, begin)
	return b
}

var route = &paroute.Route{
	Name: "r", Parts: []paroute.WeightedService{{Service: "s", Weight: 1}}, Affinity: true, Idempotent: true,
	TargetLatency: 600 * time.Millisecond, Timeout: 3 * time.Second, MaxAttempts: 2,
}

func request(object string, now time.Time) Request {
	return Request{Route: route, Service: "s", Object: object, Deadline: now.Add(3 * time.Second)}
}

// Guards against an object that runs cold twice in a region because entry VMs in different availability zones each prefer a
// home in their own zone.
func TestEntryVMsOfRegionAgreeOnHome(t *testing.T) {
	v := fleet(2)
	one, other := newBalancer("a1", v), newBalancer("a2", v)
	for i := range 50 {
		q := request(fmt.Sprintf("object-%d", i), begin)
		if a, b := one.Choose(q, begin), other.Choose(q, begin); a.Target != b.Target {
			t.Errorf("object %s: entry VMs of one region chose the homes %s and %s", q.Object, a.Target, b.Target)
		}
	}
}

// Guards against another cold run of an object when its home is not usable and a neighbour has already warmed another
// target for it.
func TestNeighbourNoteLeadsToWarmTarget(t *testing.T) {
	v := fleet(2)
	one, other := newBalancer("a1", v), newBalancer("a2", v)
	q := request("x", begin)
	home := one.Choose(q, begin).Target
	warm := "c2-1"
	if warm == home {
		warm = "c2-0"
	}
	other.Start(Choice{Target: warm}, request("x", begin), begin)
	notes, last := other.WarmNotes(0, maxNotes, begin)
	one.ApplyNotes(notes, begin)
	q.Tried = []string{home}
	if c := one.Choose(q, begin); c.Target != warm || !c.Warm {
		t.Errorf("chose %s, want the warm target %s", c.Target, warm)
	}
	if again, _ := other.WarmNotes(last, maxNotes, begin); len(again) != 0 {
		t.Errorf("%d notes were returned a second time", len(again))
	}
}

func TestNoteLogReturnsOldestWhenOverwritten(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	for i := range maxNotes + 10 {
		b.notes.add(loggedNote{target: "t", object: fmt.Sprint(i), at: begin})
	}
	all, last := b.WarmNotes(3, 2*maxNotes, begin)
	if len(all) != maxNotes || all[len(all)-1].Object != fmt.Sprint(maxNotes+9) || last != maxNotes+10 {
		t.Errorf("got %d notes, the last numbered %d", len(all), last)
	}
	if all, _ := b.WarmNotes(last+500, 2*maxNotes, begin); len(all) != maxNotes {
		t.Errorf("a neighbour with a number from an earlier process gets %d notes, want all", len(all))
	}
}

// Guards against retries of all entry VMs together that exceed the shared budget when every target fails.
func TestRetriesStayWithinSharedBudget(t *testing.T) {
	v := fleet(1)
	var all []*Balancer
	for zone := range regions {
		all = append(all, newBalancer(zone, v))
	}
	requests, retries := 0, 0
	for tick := range 1000 {
		now := begin.Add(time.Duration(tick) * 10 * time.Millisecond)
		for _, b := range all {
			b.PickService(route, now)
			requests++
			for range 3 {
				if b.TakeRetry("s", now) {
					retries++
				}
			}
		}
	}
	limit := int(0.2*float64(requests)) + 60
	if retries > limit || retries < limit/2 {
		t.Errorf("%d retries for %d requests, want at most %d and at least half of that", retries, requests, limit)
	}
}

func TestExcludedTargetsGetNoRequests(t *testing.T) {
	v := fleet(2)
	v.Apply(pafleet.ZoneEvacuated{Zone: "a1", Revision: 900}, begin)
	m := v.Targets["b1-0"]
	m.Draining = true
	b := newBalancer("a1", v)
	for i := range 200 {
		q := request(fmt.Sprint(i), begin)
		if c := b.Choose(q, begin); c.Target == "b1-0" || c.Target == "a1-0" || c.Target == "a1-1" {
			t.Fatalf("chose %s, which may not be used", c.Target)
		}
	}
}

// A request was sent to a target whose zone was evacuated, or that was known to drain, while a connection to it was opened.
func TestRequestChosenBeforeAnEvacuationIsNotSent(t *testing.T) {
	for name, change := range map[string]pafleet.Change{
		"evacuated": pafleet.ZoneEvacuated{Zone: "a1", Revision: 900},
		"drains": pafleet.TargetUpdated{Target: pafleet.Target{
			ID: "a1-0", Service: "s", Zone: "a1", Born: 1, Sequence: 900, Revision: 900, Draining: true,
		}},
	} {
		v := fleet(1)
		b := newBalancer("a1", v)
		c := Choice{Target: "a1-0", Born: v.Targets["a1-0"].Born}
		if !b.MaySend(c, begin) {
			t.Errorf("%s: not sent before", name)
		}
		v.Apply(change, begin)
		b.Update(v, begin)
		if b.MaySend(c, begin) {
			t.Errorf("%s: sent after", name)
		}
	}
}

func TestAllowedRegions(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	r := *route
	r.AllowedRegions = []string{"c"}
	for i := range 50 {
		q := request(fmt.Sprint(i), begin)
		q.Route = &r
		if c := b.Choose(q, begin); c.Target != "c1-0" && c.Target != "c2-0" {
			t.Fatalf("chose %s, which may not be used", c.Target)
		}
	}
	r.AllowedRegions = []string{"nowhere"}
	c := b.Choose(Request{Route: &r, Service: "s", Deadline: begin.Add(time.Second)}, begin)
	if c.Reason != ReasonNoTarget || c.RetryAfter <= 0 {
		t.Errorf("choice %+v, want a refusal with reason NoTarget and a retry time", c)
	}
}

// Guards against treating a target as full when it sheds a request although it has a free slot.
func TestShedWithFreeSlotAddsNoLoad(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	r := Report{Target: "a1-0", Route: "r", Outcome: Shed, LoadKnown: true, Running: 1}
	b.Start(Choice{Target: "a1-0"}, request("", begin), begin)
	b.Finish(r, begin)
	if !b.ShedWithFreeSlot(r) || b.targets["a1-0"].load(begin) > 1 {
		t.Errorf("shed with a free slot not recognized, or load %v above 1", b.targets["a1-0"].load(begin))
	}
	r.Running, r.Waiting = 3, 9
	if b.ShedWithFreeSlot(r) {
		t.Error("a full target counts as having a free slot")
	}
}

// Guards against choices of targets that may not be used, and against wrong counts of requests in flight, after any sequence
// of events.
func TestRandomEventsKeepCountsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(1)
		b := newBalancer("a1", v)
		now := begin
		running := map[string]int{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				c := b.Choose(request(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "object")), now), now)
				if c.Target == "" {
					if c.Reason == "" || c.RetryAfter <= 0 {
						t.Fatalf("refusal without a reason or a retry time: %+v", c)
					}
					continue
				}
				m := v.Targets[c.Target]
				if m == nil || m.Draining || b.targets[c.Target].excluded || now.Before(b.targets[c.Target].backoffUntil) {
					t.Fatalf("chose %s, which may not be used", c.Target)
				}
				b.Start(c, request("x", now), now)
				running[c.Target]++
			case 3:
				for id, n := range running {
					if n == 0 {
						continue
					}
					o := Outcome(rapid.IntRange(0, int(Abandoned)).Draw(t, "outcome"))
					b.Finish(Report{Target: id, Route: "r", Object: "x", Outcome: o, Duration: time.Second}, now)
					running[id]--
					break
				}
			case 4:
				zone := rapid.SampledFrom([]string{"a1", "b2", "c1"}).Draw(t, "zone")
				v.Apply(pafleet.ZoneEvacuated{Zone: zone, Revision: pafleet.Revision(1000 + now.Sub(begin)/time.Millisecond)}, now)
				b.Update(v, now)
			case 5:
				id := rapid.SampledFrom([]string{"a2-0", "b1-0"}).Draw(t, "target")
				v.Apply(pafleet.TargetRemoved{ID: id, Revision: 5000}, now)
				delete(running, id)
				b.Update(v, now)
			}
			for id, n := range running {
				if t2 := b.targets[id]; t2 != nil && t2.inFlight != n {
					t.Fatalf("%s has %d requests in flight, counted %d", id, n, t2.inFlight)
				}
			}
		}
	})
}

// Guards against requests that keep going to a target without power. No connection is refused, and the requests end only
// when their callers disconnect.
func TestUnresponsiveTargetIsAvoided(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	home := b.Choose(request("x", begin), begin).Target
	sent := 0
	for tick := range 40 {
		now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
		c := b.Choose(request("x", now), now)
		if c.Target == "" {
			t.Fatalf("refused after %s: %s", now.Sub(begin), c.Reason)
		}
		b.Start(c, request("x", now), now)
		if c.Target == home {
			sent++
			b.Finish(Report{Target: home, Route: "r", Object: "x", Outcome: Abandoned}, now)
			continue
		}
		b.Finish(Report{Target: c.Target, Route: "r", Object: "x", Outcome: Answered, Duration: 300 * time.Millisecond}, now)
	}
	if sent > 17 {
		t.Errorf("%d of 40 requests in 4 s were sent to the unresponsive target, want at most 17", sent)
	}
}

// Guards against a new target that stays idle because all objects are warm elsewhere. Once one got nothing for the rest of
// the day.
func TestNewTargetGetsRequestsWithinSeconds(t *testing.T) {
	v := fleet(1)
	b := newBalancer("a1", v)
	ask := func(tick int) string {
		now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
		q := request(fmt.Sprint(tick%20), now)
		c := b.Choose(q, now)
		b.Start(c, q, now)
		b.Finish(Report{Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: 300 * time.Millisecond}, now)
		return c.Target
	}
	for tick := range 40 {
		ask(tick)
	}
	v.Apply(pafleet.TargetUpdated{Target: pafleet.Target{
		ID: "new", Service: "s", Zone: "a2", Slots: 3, Born: 1, Sequence: 1, Revision: 900,
		Address: netip.MustParseAddrPort("10.0.0.9:80"),
	}}, begin.Add(4*time.Second))
	b.Update(v, begin.Add(4*time.Second))
	for tick := 40; tick < 70; tick++ {
		if ask(tick) == "new" {
			return
		}
	}
	t.Error("the new target got no request in 3 s")
}
