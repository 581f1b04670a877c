package pamember_test

import (
	"testing"
	"time"

	"papayahead/pabundle"
	"papayahead/pacapacity"
	"papayahead/pamember"
)

// deaths returns which members any node has declared or heard dead, by name.
func deaths(f *pacapacity.Fleet) map[pabundle.EntryName]int {
	all := map[pabundle.EntryName]int{}
	for _, n := range f.Nodes {
		for _, c := range n.Changes {
			if s, ok := c.(pamember.StateChanged); ok && s.New == pamember.Dead {
				all[s.Member.Name]++
			}
		}
	}
	return all
}

// An entry VM is moved to another host and stands still for ten seconds. When it goes on, all its time-outs have passed:
// if it believed them, it would declare its zone dead, its targets' owners would change on every daemon, and bookings
// in the queues would be refused. It has to say that it stood still, because its leases and credits are void.
func TestThawedProcessAccusesNobody(t *testing.T) {
	f := fleet(t, 3, pacapacity.Shape{Regions: 2, ZonesPerRegion: 2, PerZone: 4})
	f.Run(20 * time.Second)
	n := f.Nodes[1]
	f.Do(n, pamember.Tick{})
	for range 12 {
		f.Run(850 * time.Millisecond)
		n.Frozen = true
		f.Run(10 * time.Second)
		f.Thaw(n)
		f.Run(400 * time.Millisecond)
		for _, m := range n.View(f.Now).Members {
			if !m.Live() {
				t.Fatalf("right after the thaw %s is %s", m.Name, m.State)
			}
		}
	}
	f.Run(20 * time.Second)
	thawed := 0
	for _, c := range n.Changes {
		if g, ok := c.(pamember.PauseDetected); ok && g.Gap > 9*time.Second {
			thawed++
		}
	}
	if thawed != 12 {
		t.Errorf("%d of 12 freezes noticed", thawed)
	}
	for name := range deaths(f) {
		if name != n.Identity.Name {
			t.Errorf("%s was declared dead", name)
		}
	}
	if !complete(f) {
		t.Error("the daemons do not agree 20 s after the thaw")
	}
}

// A switch loses all that goes to one entry VM, but delivers what it sends. It sees nobody answer. If it judged by that,
// it would declare its whole zone dead again and again, each refuted, and the owners of all targets would flap.
func TestDeafDaemonDeclaresNobodyDead(t *testing.T) {
	f := fleet(t, 4, pacapacity.Shape{Regions: 2, ZonesPerRegion: 2, PerZone: 4})
	deaf := f.Nodes[2].Identity.Name
	f.Run(20 * time.Second)
	f.Cut = func(_, to pamember.Identity) bool { return to.Name == deaf }
	f.Run(2 * time.Minute)
	for name, n := range deaths(f) {
		if name != deaf {
			t.Errorf("%s was declared dead %d times", name, n)
		}
	}
	f.Cut = nil
	f.Run(30 * time.Second)
	if !complete(f) {
		t.Error("the daemons do not agree 30 s after the switch was mended")
	}
}

// An entry VM has said good-bye and ends, and a late message that takes it for dead reaches it. If it contradicted that,
// it would be live again in the look-ups of everybody for as long as its death takes to be found.
func TestDepartedMemberStaysSilent(t *testing.T) {
	f := fleet(t, 8, pacapacity.Shape{Regions: 1, ZonesPerRegion: 1, PerZone: 3})
	f.Run(10 * time.Second)
	n := f.Nodes[0]
	f.Do(n, pamember.Leave{})
	f.Do(n, pamember.FinishLeave{})
	own := n.Self()
	own.State, own.Incarnation = pamember.Dead, own.Incarnation+5
	out := n.Step(f.Now, pamember.Received{Message: pamember.Message{Kind: pamember.Ping, From: f.Nodes[1].Self(), Records: []pamember.Record{own}}})
	if s := n.Self(); len(out.Send) > 0 || s.State != pamember.Left || s.Incarnation >= own.Incarnation {
		t.Errorf("a departed member answers with %d messages as %v", len(out.Send), s)
	}
	f.Run(10 * time.Second)
	if m, _ := f.Nodes[2].View(f.Now).Find(n.Identity.Name); m.State != pamember.Left {
		t.Errorf("%s is %s", m.Name, m.State)
	}
}

// A zone is cut off for five minutes, from the platform's VM list as well. Inside, callers go on being served: its daemons keep each other as live. To both
// sides the other is Unreachable, not dead, so that nothing has to be refuted when the cut heals; then both are back
// within seconds, and the messages of the healing stay near the ordinary rate.
func TestCutOffZoneKeepsItselfAndComesBack(t *testing.T) {
	f := fleet(t, 5, pacapacity.Shape{Regions: 4, ZonesPerRegion: 2, PerZone: 5})
	zone := f.Nodes[0].Identity.Zone
	f.Run(30 * time.Second)
	f.Cut = func(from, to pamember.Identity) bool { return (from.Zone == zone) != (to.Zone == zone) }
	f.Run(5 * time.Minute)
	for _, n := range f.Nodes {
		for _, m := range n.View(f.Now).Members {
			want := pamember.Alive
			if (m.Zone == zone) != (n.Identity.Zone == zone) {
				want = pamember.Unreachable
			}
			if m.State != want {
				t.Fatalf("%s shows %s as %s, want %s", n.Identity.Name, m.Name, m.State, want)
			}
		}
	}
	if d := deaths(f); len(d) > 0 {
		t.Errorf("declared dead: %v", d)
	}
	for _, n := range f.Nodes {
		f.Do(n, pamember.Seeds{})
	}
	before := traffic(f, 10*time.Second)
	f.Cut = nil
	healing := traffic(f, 10*time.Second)
	if healing > 2*before {
		t.Errorf("%d bytes in the 10 s after the healing, %d before", healing, before)
	}
	f.Run(20 * time.Second)
	if !complete(f) {
		t.Error("the daemons do not agree 30 s after the cut healed")
	}
}

// A zone loses its power and one of its entry VMs comes back first. The zone's beat comes again with it, but the others
// of the zone are still dead: shown as live, they would be given callers and targets until they are probed.
func TestDeadOfARestartedZoneStayOut(t *testing.T) {
	f := fleet(t, 9, pacapacity.Shape{Regions: 2, ZonesPerRegion: 2, PerZone: 4})
	f.Run(20 * time.Second)
	for _, n := range f.Nodes[:4] {
		n.Down = true
	}
	f.Run(time.Minute)
	if err := f.Restart(f.Nodes[0]); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		f.Run(200 * time.Millisecond)
		for _, n := range f.Nodes[4:] {
			for _, d := range f.Nodes[1:4] {
				if m, _ := n.View(f.Now).Find(d.Identity.Name); m.Name != "" && m.Live() {
					t.Fatalf("%s shows %s as %s", n.Identity.Name, m.Name, m.State)
				}
			}
		}
	}
	if !complete(f) {
		t.Error("the daemons do not agree 40 s after the restart")
	}
}

// traffic runs a fleet and returns the bytes that it sent.
func traffic(f *pacapacity.Fleet, d time.Duration) int {
	for _, n := range f.Nodes {
		n.Sent = 0
	}
	f.Run(d)
	sum := 0
	for _, n := range f.Nodes {
		sum += n.Sent
	}
	return sum
}

// A switch takes half of a zone of 16 with it. The half that stays has to find out in seconds, and must not take the
// silence around it for its own trouble or each other for dead.
func TestRackLossIsFoundInSeconds(t *testing.T) {
	f := fleet(t, 6, pacapacity.Shape{Regions: 2, ZonesPerRegion: 1, PerZone: 16})
	f.Loss = 0.02
	f.Run(20 * time.Second)
	for _, n := range f.Nodes[:8] {
		n.Down = true
	}
	took := time.Duration(0)
	for ; !complete(f) && took < time.Minute; took += time.Second {
		f.Run(time.Second)
	}
	if took > 15*time.Second {
		t.Errorf("found after %v", took)
	}
	for name := range deaths(f) {
		if m, _ := f.Nodes[15].View(f.Now).Find(name); m.Live() {
			t.Errorf("%s lives and was declared dead", name)
		}
	}
}
