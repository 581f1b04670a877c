package pasteer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"papayahead/pafleet"
)

// peersOf returns entry VMs in the zones; those in one zone are numbered.
func peersOf(zones ...string) []Peer {
	var all []Peer
	for i, zone := range zones {
		all = append(all, Peer{Name: fmt.Sprintf("peer-%s-%d", zone, i), Zone: zone, Region: regions[zone]})
	}
	return all
}

// refuse reports a refused connection to each target.
func refuse(b *Balancer, targets []string, now time.Time) {
	for _, id := range targets {
		q := request("", now)
		b.Start(Choice{Target: id}, q, now)
		b.Finish(Report{Target: id, Route: "r", Outcome: Refused}, now)
	}
}

// allTargets returns the IDs of all targets, sorted.
func allTargets(b *Balancer) []string {
	var all []string
	for id := range b.targets {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// Guards against an entry VM that lost its own path and takes the targets for failed: it would refuse requests that others
// serve, and go on after the fault with targets that it takes for cold, failed and not warm.
func TestFaultOfOwnPathLeavesNoMarks(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	b.UpdatePeers(peersOf("a1", "b1"), begin)
	q := request("x", begin)
	home := b.Choose(q, begin).Target
	b.Start(Choice{Target: home}, q, begin)
	b.Finish(Report{Target: home, Route: "r", Object: "x", Outcome: Answered, Duration: time.Second}, begin)
	for range 3 {
		b.Start(Choice{Target: home}, q, begin)
		b.Finish(Report{Target: home, Route: "r", Object: "x", Outcome: Lost}, begin)
	}
	refuse(b, allTargets(b), begin)
	if c := b.Choose(q, begin); !c.Relay || c.Target != home {
		t.Errorf("the request goes to %s, by a relay: %v (%s), want the warm target %s by a relay", c.Target, c.Relay, c.Reason, home)
	}
	if p, ok := b.PickRelay(q, nil, begin); !ok || p.Region != "a" {
		t.Errorf("the relay is %+v, want that of the region", p)
	}
	after := begin.Add(10 * time.Second)
	for _, id := range allTargets(b) {
		b.ProbeDone(Probe{Target: id, Born: 1}, true, after)
		if o := b.targets[id]; o.isCold(after) || o.failures > 0 || after.Before(o.backoffUntil) || o.errors.value > 0 || o.viaRelay {
			t.Errorf("%s after the fault: cold %v, %d failures, error rate %v, relayed %v", id, o.isCold(after), o.failures, o.errors.value, o.viaRelay)
		}
	}
	if c := b.Choose(q, after); c.Relay || c.Target != home || !c.Warm {
		t.Errorf("after the fault the request goes to %s, warm %v, by a relay: %v; want %s, warm", c.Target, c.Warm, c.Relay, home)
	}
}

// Guards against entry VMs that hand requests to each other when a zone's targets have lost power: nobody reaches them.
func TestTargetsThatNobodyReachesAreNotRelayed(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	others := peersOf("a2", "b1")
	for i := range others {
		others[i].Lost = map[string]LostPath{"s": {Targets: 2}}
	}
	b.UpdatePeers(others, begin)
	refuse(b, []string{"b2-0", "b2-1"}, begin)
	for _, id := range []string{"b2-0", "b2-1"} {
		if o := b.targets[id]; o.viaRelay || !begin.Before(o.backoffUntil) || !o.isCold(begin) {
			t.Errorf("%s: relayed %v, backed off %v, cold %v", id, o.viaRelay, begin.Before(o.backoffUntil), o.isCold(begin))
		}
	}
	for i := range 50 {
		if c := b.Choose(request(fmt.Sprint("object-", i), begin), begin); c.Relay {
			t.Fatalf("a request goes to %s by a relay", c.Target)
		}
	}
}

// Guards against requests that dial the targets of a lost service one after the other. Each dial hangs for most of a second.
func TestUntriedTargetsOfLostServiceAreRelayed(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	b.UpdatePeers(peersOf("a2"), begin)
	refuse(b, []string{"a1-0", "b1-0"}, begin)
	for i := range 50 {
		if c := b.Choose(request(fmt.Sprint("object-", i), begin), begin); !c.Relay {
			t.Fatalf("a request goes to %s directly", c.Target)
		}
	}
	b.ProbeDone(Probe{Target: "c1-0", Born: 1}, true, begin)
	direct := 0
	for i := range 50 {
		if c := b.Choose(request(fmt.Sprint("object-", i), begin), begin); !c.Relay {
			direct++
		}
	}
	if direct == 0 || direct == 50 {
		t.Errorf("%d of 50 requests go directly once one other target was reached, want those that are not for the lost targets", direct)
	}
}

// Guards against a target that joined and gets no request: an entry VM that could not connect to it counted it as used.
func TestUnreachedNewTargetKeepsItsFirstRequest(t *testing.T) {
	v := fleet(1)
	b := newBalancer("a1", v)
	now := begin.Add(time.Second)
	b.used["s"] = true
	v.Apply(pafleet.TargetUpdated{Target: pafleet.Target{
		ID: "new", Service: "s", Zone: "a1", Slots: 3, Born: 1, Sequence: 1, Revision: 1000, Address: netip.MustParseAddrPort("10.0.0.2:80"),
	}}, now)
	b.Update(v, now)
	refuse(b, []string{"new"}, now)
	if b.targets["new"].used {
		t.Error("a target that was not reached counts as used")
	}
}

// Guards against a note that tells other entry VMs of an object that is warm at a target which was never reached. They would
// send its requests there, and run it cold.
func TestUnreachedTargetIsNotNotedAsWarm(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	q := request("x", begin)
	b.Start(Choice{Target: "a1-0"}, q, begin)
	b.Finish(Report{Target: "a1-0", Route: "r", Object: "x", Outcome: Refused}, begin)
	if notes, _ := b.WarmNotes(0, 10, begin); len(notes) > 0 {
		t.Errorf("notes %v", notes)
	}
}

// Guards against one entry VM that gets the requests of a whole zone: nearest, or first by name, for all that are cut off.
func TestRelayedRequestsAreSpread(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	b.UpdatePeers(peersOf("a1", "a2", "a2", "a2", "b1", "c1"), begin)
	refuse(b, allTargets(b), begin)
	got := map[string]int{}
	for range 400 {
		p, ok := b.PickRelay(request("", begin), nil, begin)
		if !ok {
			t.Fatal("no relay")
		}
		b.StartRelay(p.Name)
		got[p.Name]++
		if got[p.Name]%2 == 0 {
			b.FinishRelay(RelayReport{Name: p.Name, Service: "s", Delay: 2 * time.Millisecond}, begin)
		}
	}
	for _, p := range peersOf("a1", "a2", "a2", "a2") {
		if n := got[p.Name]; n < 60 {
			t.Errorf("%s got %d of 400 requests: %v", p.Name, n, got)
		}
	}
}

// Guards against an entry VM that is slow under the requests of others and gets more of them, while others have room.
func TestSlowRelayGetsFewer(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	b.UpdatePeers(peersOf("a1", "b1"), begin)
	refuse(b, allTargets(b), begin)
	q := request("", begin)
	near, _ := b.PickRelay(q, nil, begin)
	if near.Region != "a" {
		t.Fatalf("the first relay is %s", near.Name)
	}
	b.StartRelay(near.Name)
	b.FinishRelay(RelayReport{Name: near.Name, Service: "s", Delay: 300 * time.Millisecond}, begin)
	if p, _ := b.PickRelay(q, nil, begin); p.Region != "b" {
		t.Errorf("the next relay is %s, which adds 300 ms", p.Name)
	}
	if p, _ := b.PickRelay(q, nil, begin.Add(3*time.Second)); p.Region != "a" {
		t.Errorf("three seconds later the relay is %s", p.Name)
	}
}

// Guards against a body that reaches an entry VM outside of the regions to which its route or its workspace is bound.
func TestBoundRequestIsRelayedWithinItsRegions(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	b.UpdatePeers(peersOf("a2", "b1", "c1"), begin)
	refuse(b, allTargets(b), begin)
	q := request("", begin)
	bound := *route
	bound.AllowedRegions = []string{"b", "c"}
	q.Route, q.Regions = &bound, []string{"c", "a"}
	if p, ok := b.PickRelay(q, nil, begin); !ok || p.Region != "c" {
		t.Errorf("the relay is %+v, want that of region c", p)
	}
	q.Regions = []string{"a"}
	if p, ok := b.PickRelay(q, nil, begin); ok {
		t.Errorf("the relay is %+v, want none", p)
	}
}

// Guards against a relay that cannot serve and is asked again with each request, and against one that is left out for good.
func TestRelayThatCannotServeIsLeftOutForAMoment(t *testing.T) {
	b := newBalancer("a1", fleet(1))
	b.UpdatePeers(peersOf("a2"), begin)
	refuse(b, allTargets(b), begin)
	q := request("", begin)
	p, _ := b.PickRelay(q, nil, begin)
	b.StartRelay(p.Name)
	b.FinishRelay(RelayReport{Name: p.Name, Service: "s", Failed: true}, begin)
	if c := b.Choose(q, begin); c.Relay {
		t.Error("a request is relayed although the only relay cannot serve it")
	}
	later := begin.Add(relayFailedTTL + time.Millisecond)
	b.UpdatePeers(peersOf("a2"), later)
	if _, ok := b.PickRelay(q, nil, later); !ok {
		t.Error("the relay is not tried again")
	}
}

// Guards against a flood of connections to lost targets, and against targets that stay lost after the fault.
func TestProbesAreFewAndFindAllTargetsAgain(t *testing.T) {
	b := newBalancer("a1", fleet(3))
	b.UpdatePeers(peersOf("a2"), begin)
	refuse(b, allTargets(b), begin)
	now, sent := begin, 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		all := b.Probes(now)
		if sent += len(all); len(all) > maxProbes {
			t.Fatalf("%d probes at once", len(all))
		}
		for _, p := range all {
			b.ProbeDone(p, false, now)
		}
	}
	if sent == 0 || sent > 4*40 {
		t.Errorf("%d probes in four seconds", sent)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		for _, p := range b.Probes(now) {
			b.ProbeDone(p, true, now)
		}
	}
	if b.HasLost() {
		t.Error("targets are lost a second after the fault")
	}
}

// Guards against full traffic to targets that turned cold while their zone was evacuated, at an entry VM whose path failed
// meanwhile: it takes back what its own failures left on them, and not what the evacuation did.
func TestEndOfEvacuationOutlastsFaultOfOwnPath(t *testing.T) {
	v := fleet(1)
	b := newBalancer("a1", v)
	v.Apply(pafleet.ZoneEvacuated{Zone: "c1", Revision: 1000}, begin)
	b.Update(v, begin)
	refuse(b, allTargets(b), begin)
	restored := begin.Add(time.Second)
	v.Apply(pafleet.ZoneRestored{Zone: "c1", Revision: 1001}, restored)
	b.Update(v, restored)
	refuse(b, allTargets(b), restored)
	after := restored.Add(time.Second)
	for _, id := range allTargets(b) {
		b.ProbeDone(Probe{Target: id, Born: 1}, true, after)
		if cold := b.targets[id].isCold(after); cold != (id == "c1-0") {
			t.Errorf("%s counts as cold: %v", id, cold)
		}
	}
}

// Guards against connections without end to a target that is slow, and to the others when one target fails: with hundreds of
// entry VMs they take up the connections that targets accept.
func TestFewProbesWhileThePathWorks(t *testing.T) {
	b := newBalancer("a1", fleet(4))
	b.UpdatePeers(peersOf("a2"), begin)
	for _, id := range allTargets(b) {
		b.Start(Choice{Target: id}, request("", begin), begin)
	}
	now, sent := begin.Add(5*time.Second), 0
	refuse(b, []string{"a1-0"}, now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for _, p := range b.Probes(now) {
			if p.Target != "a1-0" {
				sent++
			}
			b.ProbeDone(p, p.Target != "a1-0", now)
		}
	}
	if most := 2 * len(b.targets); sent > most {
		t.Errorf("%d probes to targets that can be reached, want at most %d", sent, most)
	}
}
