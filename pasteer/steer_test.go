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

// fleet returns a view of a service with a number of targets in each zone, and of one entry VM a zone.
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
	s := New(Config{
		Name: "entry-" + zone, Zone: zone, Region: regions[zone], Regions: regions,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryFloor: 60,
	})
	s.Update(v, begin)
	return s
}

var route = &paroute.Route{
	Name: "r", Parts: []paroute.WeightedService{{Service: "s", Weight: 1}}, Affinity: true, Idempotent: true,
	TargetLatency: 600 * time.Millisecond, Timeout: 3 * time.Second, MaxAttempts: 2,
}

func request(object string, now time.Time) Request {
	return Request{Route: route, Service: "s", Object: object, Deadline: now.Add(3 * time.Second)}
}

// Two entry VMs of a region in different availability zones each send an object to a target of their own
// zone: it runs cold twice, and its second home spares nothing, as both are in the region.
func TestEntryVMsOfARegionAgreeOnAnObjectsHome(t *testing.T) {
	v := fleet(2)
	one, other := newBalancer("a1", v), newBalancer("a2", v)
	for i := range 50 {
		q := request(fmt.Sprintf("object-%d", i), begin)
		if a, b := one.Choose(q, begin), other.Choose(q, begin); a.Target != b.Target {
			t.Errorf("%s: homes %s and %s", q.Object, a.Target, b.Target)
		}
	}
}

// A target of an object's home is gone, and a neighbour has warmed the object at another target
// meanwhile. Without its word the object runs cold once more.
func TestANeighboursNoteLeadsToTheWarmTarget(t *testing.T) {
	v := fleet(2)
	one, other := newBalancer("a1", v), newBalancer("a2", v)
	q := request("x", begin)
	home := one.Choose(q, begin).Target
	warm := "c2-1"
	if warm == home {
		warm = "c2-0"
	}
	other.Start(Choice{Target: warm}, request("x", begin), begin)
	notes, last := other.WarmNotes(0, warmNotes, begin)
	one.ApplyNotes(notes, begin)
	q.Tried = []string{home}
	if c := one.Choose(q, begin); c.Target != warm || !c.Warm {
		t.Errorf("target %s, want the warm %s", c.Target, warm)
	}
	if again, _ := other.WarmNotes(last, warmNotes, begin); len(again) != 0 {
		t.Errorf("%d notes are told twice", len(again))
	}
}

func TestNotesThatWereOverwrittenAreNotAskedFor(t *testing.T) {
	s := newBalancer("a1", fleet(2))
	for i := range warmNotes + 10 {
		s.notes.add(datedNote{"t", fmt.Sprint(i), begin})
	}
	all, last := s.WarmNotes(3, 2*warmNotes, begin)
	if len(all) != warmNotes || all[len(all)-1].Object != fmt.Sprint(warmNotes+9) || last != warmNotes+10 {
		t.Errorf("%d notes up to %d", len(all), last)
	}
	if all, _ := s.WarmNotes(last+500, 2*warmNotes, begin); len(all) != warmNotes {
		t.Errorf("a neighbour that knew a former lifetime of the process gets %d notes, want all", len(all))
	}
}

// Every target fails. Further attempts of all entry VMs together stay within the budget that they share.
func TestFurtherAttemptsStayWithinTheSharedBudget(t *testing.T) {
	v := fleet(1)
	var all []*Balancer
	for zone := range regions {
		all = append(all, newBalancer(zone, v))
	}
	first, further := 0, 0
	for tick := range 1000 {
		now := begin.Add(time.Duration(tick) * 10 * time.Millisecond)
		for _, s := range all {
			s.PickService(route, now)
			first++
			for range 3 {
				if s.TakeRetry("s", now) {
					further++
				}
			}
		}
	}
	most := int(0.2*float64(first)) + 60
	if further > most || further < most/2 {
		t.Errorf("%d further attempts for %d requests, want at most %d and at least half of that", further, first, most)
	}
}

func TestClosedTargetsGetNothing(t *testing.T) {
	v := fleet(2)
	v.Apply(pafleet.ZoneEvacuated{Zone: "a1", Revision: 900}, begin)
	m := v.Targets["b1-0"]
	m.Draining = true
	s := newBalancer("a1", v)
	for i := range 200 {
		q := request(fmt.Sprint(i), begin)
		if c := s.Choose(q, begin); c.Target == "b1-0" || c.Target == "a1-0" || c.Target == "a1-1" {
			t.Fatalf("%s was chosen", c.Target)
		}
	}
}

func TestAllowedRegionsBind(t *testing.T) {
	s := newBalancer("a1", fleet(1))
	r := *route
	r.AllowedRegions = []string{"c"}
	for i := range 50 {
		q := request(fmt.Sprint(i), begin)
		q.Route = &r
		if c := s.Choose(q, begin); c.Target != "c1-0" && c.Target != "c2-0" {
			t.Fatalf("%s was chosen", c.Target)
		}
	}
	r.AllowedRegions = []string{"nowhere"}
	if c := s.Choose(Request{Route: &r, Service: "s", Deadline: begin.Add(time.Second)}, begin); c.Reason != ReasonNoTarget || c.RetryAfter <= 0 {
		t.Errorf("choice %+v, want a refusal for want of a target", c)
	}
}

// A target turns requests away though it has free slots. The next one may be taken; the target is no
// fuller than before.
func TestSheddingWithRoomIsNoLoad(t *testing.T) {
	s := newBalancer("a1", fleet(1))
	r := Report{Target: "a1-0", Route: "r", Outcome: Shed, LoadKnown: true, Running: 1}
	s.Start(Choice{Target: "a1-0"}, request("", begin), begin)
	s.Finish(r, begin)
	if !s.ShedWithFreeSlot(r) || s.targets["a1-0"].load(begin) > 1 {
		t.Errorf("load %v", s.targets["a1-0"].load(begin))
	}
	r.Running, r.Waiting = 3, 9
	if s.ShedWithFreeSlot(r) {
		t.Error("a full target counts as having room")
	}
}

// Whatever happens in whatever order, a choice names a target that may be used, and counts stay sound.
func TestAnyOrderOfEventsKeepsTheCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(1)
		s := newBalancer("a1", v)
		now := begin
		running := map[string]int{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				c := s.Choose(request(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "object")), now), now)
				if c.Target == "" {
					if c.Reason == "" || c.RetryAfter <= 0 {
						t.Fatalf("a refusal without reason or time: %+v", c)
					}
					continue
				}
				m := v.Targets[c.Target]
				if m == nil || m.Draining || s.targets[c.Target].closed || now.Before(s.targets[c.Target].downUntil) {
					t.Fatalf("%s may not be used", c.Target)
				}
				s.Start(c, request("x", now), now)
				running[c.Target]++
			case 3:
				for id, n := range running {
					if n == 0 {
						continue
					}
					o := Outcome(rapid.IntRange(0, int(Abandoned)).Draw(t, "outcome"))
					s.Finish(Report{Target: id, Route: "r", Object: "x", Outcome: o, Duration: time.Second}, now)
					running[id]--
					break
				}
			case 4:
				zone := rapid.SampledFrom([]string{"a1", "b2", "c1"}).Draw(t, "zone")
				v.Apply(pafleet.ZoneEvacuated{Zone: zone, Revision: pafleet.Revision(1000 + now.Sub(begin)/time.Millisecond)}, now)
				s.Update(v, now)
			case 5:
				id := rapid.SampledFrom([]string{"a2-0", "b1-0"}).Draw(t, "target")
				v.Apply(pafleet.TargetRemoved{ID: id, Revision: 5000}, now)
				delete(running, id)
				s.Update(v, now)
			}
			for id, n := range running {
				if t2 := s.targets[id]; t2 != nil && t2.inFlight != n {
					t.Fatalf("%s has %d in flight, counted %d", id, n, t2.inFlight)
				}
			}
		}
	})
}

// A target loses power. Nothing refuses a connection; its callers leave one after the other, and for
// seconds all requests for its objects are sent there all the same.
func TestASilentTargetIsLeftAloneBeforeItsEntryGoes(t *testing.T) {
	s := newBalancer("a1", fleet(2))
	home := s.Choose(request("x", begin), begin).Target
	sent := 0
	for tick := range 40 {
		now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
		c := s.Choose(request("x", now), now)
		if c.Target == "" {
			t.Fatalf("refused after %s: %s", now.Sub(begin), c.Reason)
		}
		s.Start(c, request("x", now), now)
		if c.Target == home {
			sent++
			s.Finish(Report{Target: home, Route: "r", Object: "x", Outcome: Abandoned}, now)
			continue
		}
		s.Finish(Report{Target: c.Target, Route: "r", Object: "x", Outcome: Answered, Duration: 300 * time.Millisecond}, now)
	}
	if sent > 17 {
		t.Errorf("%d of 40 requests in 4 s were sent to the silent target", sent)
	}
}

// An operator adds a target to a service in use. All objects are warm elsewhere, and the new target got
// nothing for the rest of the day.
func TestATargetThatJoinsGetsWorkWithinSeconds(t *testing.T) {
	v := fleet(1)
	s := newBalancer("a1", v)
	ask := func(tick int) string {
		now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
		q := request(fmt.Sprint(tick%20), now)
		c := s.Choose(q, now)
		s.Start(c, q, now)
		s.Finish(Report{Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: 300 * time.Millisecond}, now)
		return c.Target
	}
	for tick := range 40 {
		ask(tick)
	}
	v.Apply(pafleet.TargetUpdated{Target: pafleet.Target{
		ID: "new", Service: "s", Zone: "a2", Slots: 3, Born: 1, Sequence: 1, Revision: 900, Address: netip.MustParseAddrPort("10.0.0.9:80"),
	}}, begin.Add(4*time.Second))
	s.Update(v, begin.Add(4*time.Second))
	for tick := 40; tick < 70; tick++ {
		if ask(tick) == "new" {
			return
		}
	}
	t.Error("the new target got nothing in 3 s")
}
