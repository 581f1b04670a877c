package pasteer

import (
	"fmt"
	"testing"
	"time"

	"papayahead/pafleet"
)

// senderZone returns the balancers of n entry VMs of zone a1 that know each other, for a contended service with targets per zone.
func senderZone(n, perZone int) []*Balancer {
	v := fleet(perZone)
	v.Apply(pafleet.EntryRemoved{Name: "entry-a1", Revision: 900}, begin)
	for i := range n {
		e := pafleet.Entry{Name: fmt.Sprint("entry-", i), Zone: "a1", Region: "a", Revision: pafleet.Revision(1000 + i)}
		v.Apply(pafleet.EntryUpdated{Entry: e}, begin)
	}
	var all []*Balancer
	var peers []Peer
	for i := range n {
		b := New(Config{Name: fmt.Sprint("entry-", i), Zone: "a1", Region: "a", Regions: regions, Contended: true})
		b.Update(v, begin)
		all = append(all, b)
		peers = append(peers, Peer{Name: b.Config.Name, Zone: "a1", Region: "a"})
	}
	for i, b := range all {
		var others []Peer
		others = append(others, peers[:i]...)
		b.UpdateSenders(0, append(others, peers[i+1:]...), begin)
	}
	return all
}

// handedOver returns an entry VM, a request that it hands over, and the name of the one that gets it.
func handedOver(t *testing.T, all []*Balancer) (*Balancer, Request, string) {
	t.Helper()
	for i := range 50 {
		q := request(fmt.Sprint("object-", i), begin)
		if c := all[0].Choose(q, begin); c.Sender != 0 {
			return all[0], q, all[0].senders.peers[c.Sender].Name
		}
	}
	t.Fatal("nothing is handed over")
	return nil, Request{}, ""
}

// Guards against targets that many entry VMs of a zone speak to, none of which knows their load.
func TestOneEntryVMOfZoneSendsToEachTarget(t *testing.T) {
	all := senderZone(4, 6)
	senders := map[string]map[string]bool{}
	for _, b := range all {
		for i := range 200 {
			c := b.Choose(request(fmt.Sprint("object-", i), begin), begin)
			name := b.Config.Name
			if c.Relay {
				name = b.senders.peers[c.Sender].Name
			}
			if senders[c.Target] == nil {
				senders[c.Target] = map[string]bool{}
			}
			senders[c.Target][name] = true
		}
	}
	used := map[string]bool{}
	for target, names := range senders {
		for name := range names {
			used[name] = true
		}
		if len(names) != 1 {
			t.Errorf("%d entry VMs of the zone send to %s", len(names), target)
		}
	}
	if len(used) != len(all) {
		t.Errorf("%d of %d entry VMs send", len(used), len(all))
	}
}

// Guards against hand-overs that break a rule or cannot succeed: each of these requests is sent directly.
func TestRequestsThatAreNotHandedOver(t *testing.T) {
	for name, change := range map[string]func(b *Balancer, q *Request, sender string){
		"of a service that is not contended":                func(b *Balancer, _ *Request, _ string) { b.Config.Contended = false },
		"that are relayed":                                  func(_ *Balancer, q *Request, _ string) { q.Direct = true },
		"that were handed over, or whose body is sent once": func(_ *Balancer, q *Request, _ string) { q.NoSender = true },
		"that were tried":                                   func(_ *Balancer, q *Request, _ string) { q.Tried = []string{"c1-0"} },
		"that reached no target":                            func(_ *Balancer, q *Request, _ string) { q.Unreached = []string{"c1-0"} },
		"that this region may not handle":                   func(_ *Balancer, q *Request, _ string) { q.Regions = []string{"b"} },
		"while hand-overs are switched off":                 func(b *Balancer, _ *Request, _ string) { b.Config.Off.Senders = true },
		"while the sender fails": func(b *Balancer, q *Request, sender string) {
			b.FinishSender(SenderReport{RelayReport: RelayReport{Name: sender, Service: "s", Unresponsive: true}}, *q, begin)
		},
		"while the sender shuts down": func(b *Balancer, q *Request, sender string) {
			b.FinishSender(SenderReport{RelayReport: RelayReport{Name: sender, Service: "s", Failed: true}, Responded: true, Leaving: true}, *q, begin.Add(-3*time.Second))
		},
		"while the sender has lost targets of the service": func(b *Balancer, _ *Request, _ string) {
			for hash, p := range b.senders.peers {
				p.Lost = map[string]LostPath{"s": {Targets: 1}}
				b.senders.peers[hash] = p
			}
		},
		"while the sender is not alive": func(b *Balancer, _ *Request, _ string) { b.UpdateSenders(0, nil, begin) },
		"to a target that named a limit": func(b *Balancer, _ *Request, _ string) {
			for _, o := range b.targets {
				o.limit.limited = true
			}
		},
		"to a target that asked for time": func(b *Balancer, _ *Request, _ string) {
			for _, o := range b.targets {
				o.pushback = &pushback{}
			}
		},
		"to a target that joined and is not known to be used": func(b *Balancer, _ *Request, _ string) {
			for _, o := range b.targets {
				o.joinedAt, o.used = begin, false
			}
		},
	} {
		b, q, sender := handedOver(t, senderZone(4, 2))
		change(b, &q, sender)
		if c := b.Choose(q, begin); c.Relay {
			t.Errorf("requests %s are handed over", name)
		}
	}
}

// Guards against an entry VM that has lost power: it refuses nothing, and would get a zone's requests until the store forgets it.
func TestSenderThatDoesNotRespondIsAvoided(t *testing.T) {
	b, q, sender := handedOver(t, senderZone(4, 2))
	if _, ok := b.StartSender(b.Choose(q, begin), q, begin); !ok {
		t.Fatal("the sender is not known")
	}
	if !b.Choose(q, begin.Add(maxSenderPending/2)).Relay {
		t.Error("the sender is avoided although its response is not due")
	}
	late := begin.Add(maxSenderPending + time.Millisecond)
	if b.Choose(q, late).Relay {
		t.Error("the sender has responded to nothing, and gets a further request")
	}
	again := begin.Add(maxSenderPending + senderRetryInterval)
	c := b.Choose(q, again)
	if _, ok := b.StartSender(c, q, again); !c.Relay || !ok {
		t.Fatal("the sender is not tried again")
	}
	if b.Choose(q, again.Add(time.Millisecond)).Relay {
		t.Error("the sender is tried with more than one request")
	}
	b.FinishSender(SenderReport{RelayReport: RelayReport{Name: sender, Service: "s"}, Responded: true}, q, again.Add(2*time.Millisecond))
	if !b.Choose(q, again.Add(3*time.Millisecond)).Relay {
		t.Error("the sender responded, and is still avoided")
	}
}

// Guards against cold targets that crash, as two entry VMs send with one share each for one request, and against ones that are
// starved since a request needs the tokens of two.
func TestColdTargetsGetTheirRateFromAllSenders(t *testing.T) {
	const seconds = 20
	all := senderZone(4, 1)
	sent := map[string]int{}
	for _, b := range all {
		b.startedAt = begin.Add(-time.Minute)
		for _, o := range b.targets {
			o.suspectColdUntil = begin.Add(time.Hour)
		}
	}
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < seconds*time.Second; at += tick {
		for i, b := range all {
			now := begin.Add(at)
			q := request(fmt.Sprint("object-", int(at/tick)*len(all)+i), now)
			c := b.Choose(q, now)
			if c.Relay {
				t.Fatalf("a request for the cold target %s is handed over", c.Target)
			}
			if c.Target != "" {
				b.Start(c, q, now)
				b.Finish(Report{Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: tick}, now)
				sent[c.Target]++
			}
		}
	}
	const rate = 2 // Service.ColdRate of fleet.
	if n := sent["a1-0"]; n > rate*seconds+len(all) || n < rate*seconds*8/10 {
		t.Errorf("the cold target of the zone got %d requests in %d s, want about %d and no more", n, seconds, rate*seconds)
	}
}

// Guards against twice the shifts that a region may make, as each request counts at the entry VM that received it and at the sender.
func TestRequestCountsOnceForMaxShift(t *testing.T) {
	all := senderZone(4, 2)
	b, q, name := handedOver(t, all)
	c := b.Choose(q, begin)
	b.StartSender(c, q, begin)
	relayed, again := q, q
	relayed.Direct, again.NoSender = true, true
	for _, o := range all {
		if o.Config.Name == name {
			o.Start(Choice{Target: c.Target, Shifted: true}, relayed, begin)
		}
	}
	b.Start(Choice{Target: c.Target}, again, begin) // The sender refused it.
	requests, shifted := 0, 0
	for _, o := range all {
		n, s := o.shifts.totals(begin, shiftWindow)
		requests, shifted = requests+n, shifted+s
	}
	if requests != 1 || shifted != 1 {
		t.Errorf("%d requests and %d shifts count, want one of each", requests, shifted)
	}
	other := newBalancer("a1", fleet(2))
	other.Start(Choice{Target: c.Target}, relayed, begin)
	if n, _ := other.shifts.totals(begin, shiftWindow); n != 1 {
		t.Errorf("%d relayed requests of a service that is not contended count, want one as before", n)
	}
}

// Guards against an entry VM that does not know the load of targets to which others send its requests, and against the load of an
// earlier lifetime that counts for the next one.
func TestLoadIsKnownFromSendersResponse(t *testing.T) {
	b, q, name := handedOver(t, senderZone(4, 2))
	c := b.Choose(q, begin)
	b.StartSender(c, q, begin)
	report := SenderReport{RelayReport: RelayReport{Name: name, Service: "s", Target: c.Target}, Responded: true, LoadKnown: true, Load: 9}
	o := b.targets[c.Target]
	report.Born = o.state.Born + 1
	b.FinishSender(report, q, begin)
	if got := o.load(begin); got != 0 {
		t.Errorf("load %v by the response of another lifetime, want 0", got)
	}
	report.Born = o.state.Born
	b.FinishSender(report, q, begin)
	if got := o.load(begin); got != 8 {
		t.Errorf("load %v, want the 8 other requests that were reported", got)
	}
}

// Guards against memory that grows with each entry VM that was ever a sender, as names change when entry VMs are replaced.
func TestSendersOfThePastAreForgotten(t *testing.T) {
	b, q, name := handedOver(t, senderZone(4, 2))
	b.StartSender(b.Choose(q, begin), q, begin)
	b.UpdateSenders(0, nil, begin.Add(time.Hour))
	if len(b.relayStates) != 1 {
		t.Error("a sender is forgotten while it has a request")
	}
	b.FinishSender(SenderReport{RelayReport: RelayReport{Name: name, Service: "s", Unresponsive: true}}, q, begin.Add(time.Hour))
	b.UpdateSenders(0, nil, begin.Add(2*time.Hour))
	if len(b.relayStates) != 0 {
		t.Errorf("%d senders are known an hour after the last request", len(b.relayStates))
	}
}

// Guards against decisions whose cost grows with the number of targets: all requests of an entry VM share their lock.
func TestSenderIsFoundWithoutAllocation(t *testing.T) {
	b := senderZone(10, 96)[0]
	q := request("x", begin)
	b.Choose(q, begin)
	if n := testing.AllocsPerRun(100, func() { b.Choose(q, begin) }); n > 0 {
		t.Errorf("a decision allocates %v times", n)
	}
}

func BenchmarkChooseWithSenders(b *testing.B) {
	o := senderZone(10, 96)[0]
	q := request("x", begin)
	for b.Loop() {
		o.Choose(q, begin)
	}
}
