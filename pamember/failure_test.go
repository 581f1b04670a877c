package pamember_test

import (
	"testing"
	"time"

	"papayahead/pabundle"
	"papayahead/pacapacity"
	"papayahead/pamember"
)

// deaths counts by member how many nodes declared it dead or were told so.
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

// Guards against false deaths after a VM pause of ten seconds, as in a live migration. All timeouts have expired when
// the process resumes; acting on them would declare its zone dead, change the targets' owners everywhere and refuse
// queued requests. The process also has to report the pause, because its leases and credits are void.
func TestPausedProcessDeclaresNobodyDead(t *testing.T) {
	f := newFleet(t, 3, pacapacity.Shape{Regions: 2, ZonesPerRegion: 2, PerZone: 4})
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
				t.Fatalf("right after the pause %s is %s", m.Name, m.State)
			}
		}
	}
	f.Run(20 * time.Second)
	pauses := 0
	for _, c := range n.Changes {
		if g, ok := c.(pamember.PauseDetected); ok && g.Gap > 9*time.Second {
			pauses++
		}
	}
	if pauses != 12 {
		t.Errorf("%d of 12 pauses reported", pauses)
	}
	for name := range deaths(f) {
		if name != n.Identity.Name {
			t.Errorf("%s was declared dead", name)
		}
	}
	if !converged(f) {
		t.Error("the daemons do not agree 20 s after the pause")
	}
}

// Guards against false deaths from an entry VM that can send but receives nothing. It sees no answers; if it acted on
// that, it would declare its whole zone dead again and again, and the owners of all targets would flap.
func TestDeafDaemonDeclaresNobodyDead(t *testing.T) {
	f := newFleet(t, 4, pacapacity.Shape{Regions: 2, ZonesPerRegion: 2, PerZone: 4})
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
	if !converged(f) {
		t.Error("the daemons do not agree 30 s after the switch recovered")
	}
}

// Guards against a departed member that refutes a late message declaring it dead: look-ups would return it as live
// until its death is detected.
func TestLeftMemberIgnoresMessages(t *testing.T) {
	f := newFleet(t, 8, pacapacity.Shape{Regions: 1, ZonesPerRegion: 1, PerZone: 3})
	f.Run(10 * time.Second)
	n := f.Nodes[0]
	f.Do(n, pamember.Leave{})
	f.Do(n, pamember.FinishLeave{})
	own := n.Self()
	own.State, own.Incarnation = pamember.Dead, own.Incarnation+5
	out := n.Step(f.Now, pamember.Received{Message: pamember.Message{
		Kind: pamember.Ping, From: f.Nodes[1].Self(), Records: []pamember.Record{own},
	}})
	if s := n.Self(); len(out.Send) > 0 || s.State != pamember.Left || s.Incarnation >= own.Incarnation {
		t.Errorf("a member that left answers with %d messages as %v", len(out.Send), s)
	}
	f.Run(10 * time.Second)
	if m, _ := f.Nodes[2].View(f.Now).Find(n.Identity.Name); m.State != pamember.Left {
		t.Errorf("%s is %s", m.Name, m.State)
	}
}

// Cuts a zone off for five minutes, also from the platform's VM list. Its daemons have to keep each other live, so that
// callers inside are served. Each side has to show the other as Unreachable and not Dead, so that nothing has to be
// refuted afterwards; after the partition both are back within seconds, with message traffic near the usual rate.
func TestPartitionedZoneRecovers(t *testing.T) {
	f := newFleet(t, 5, pacapacity.Shape{Regions: 4, ZonesPerRegion: 2, PerZone: 5})
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
		t.Errorf("%d bytes in the 10 s after the partition, %d in 10 s during it", healing, before)
	}
	f.Run(20 * time.Second)
	if !converged(f) {
		t.Error("the daemons do not agree 30 s after the partition ended")
	}
}

// A zone loses its power and one of its entry VMs restarts first. The zone's heartbeat rises again with it, but the
// others are still dead: if they were shown as live, they would get callers and targets until they are probed.
func TestRestartedZoneKeepsDeadMembersOut(t *testing.T) {
	f := newFleet(t, 9, pacapacity.Shape{Regions: 2, ZonesPerRegion: 2, PerZone: 4})
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
	if !converged(f) {
		t.Error("the daemons do not agree 40 s after the restart")
	}
}

// traffic runs a fleet for a time and returns the bytes sent.
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

// A switch failure stops half of a zone of 16. The other half has to detect that within seconds; it must not take the
// missing answers for a fault of its own, nor declare live members dead.
func TestRackLossDetectedInSeconds(t *testing.T) {
	f := newFleet(t, 6, pacapacity.Shape{Regions: 2, ZonesPerRegion: 1, PerZone: 16})
	f.Loss = 0.02
	f.Run(20 * time.Second)
	for _, n := range f.Nodes[:8] {
		n.Down = true
	}
	took := time.Duration(0)
	for ; !converged(f) && took < time.Minute; took += time.Second {
		f.Run(time.Second)
	}
	if took > 15*time.Second {
		t.Errorf("the deaths were found after %v, want at most 15 s", took)
	}
	for name := range deaths(f) {
		if m, _ := f.Nodes[15].View(f.Now).Find(name); m.Live() {
			t.Errorf("%s is alive but was declared dead", name)
		}
	}
}
