package pafleet

import (
	"net/netip"
	"testing"
	"time"

	"papayahead/paroute"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func targetUpdate(id string, born, sequence int64, r Revision) TargetUpdated {
	return TargetUpdated{Target: Target{
		ID: id, Service: "a", Zone: "z", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3,
		Born: born, Sequence: sequence, Revision: r,
	}}
}

// After a store outage an entry VM finds a target's key missing and keeps the target for some seconds, in case its lease only
// lapsed. Neighbours that synced later revisions from it never learned of the removal and went on sending requests.
func TestRemovalOfALapsedTargetReachesNeighbours(t *testing.T) {
	var reader, neighbour View
	for _, v := range []*View{&reader, &neighbour} {
		v.ApplyListing([]Change{targetUpdate("t1", 1, 1, 5), targetUpdate("t2", 1, 1, 6)}, 6, start)
	}
	reader.NoteOutage(start)
	reader.Apply(TargetRemoved{ID: "t1", Revision: 7}, start.Add(time.Second))
	reader.Apply(targetUpdate("t2", 1, 9, 12), start.Add(time.Second))
	reader.Revision = 12
	if d := reader.Delta(Position{Revision: neighbour.Revision}, start); d != nil {
		neighbour.Merge(d, start)
	}
	neighbour.Revision = 12
	reader.ExpireLapsed(start.Add(LapseGrace + time.Millisecond))
	reader.Revision = 13
	if d := reader.Delta(Position{Revision: neighbour.Revision}, start.Add(3*time.Second)); d != nil {
		neighbour.Merge(d, start.Add(3*time.Second))
	}
	if neighbour.Targets["t1"] != nil {
		t.Error("the neighbour still uses the removed target")
	}
	if neighbour.Targets["t2"] == nil {
		t.Error("the other target was removed too")
	}
}

// Guards against a delayed heartbeat that restores a target after its removal. A target that starts again under the same ID
// is a new lifetime and must be used.
func TestLateHeartbeatDoesNotRestoreATarget(t *testing.T) {
	var v View
	v.ApplyListing([]Change{targetUpdate("t", 10, 4, 5)}, 5, start)
	v.Apply(TargetRemoved{ID: "t", Revision: 6}, start)
	v.Apply(targetUpdate("t", 10, 3, 7), start)
	if v.Targets["t"] != nil {
		t.Error("a late heartbeat restored the target")
	}
	v.Apply(targetUpdate("t", 11, 1, 8), start)
	if v.Targets["t"] == nil {
		t.Error("a new lifetime under the same ID is not used")
	}
}

// Guards against an older heartbeat, delivered after that in which the target reported that it drains, that ends the draining.
func TestLateHeartbeatDoesNotEndDraining(t *testing.T) {
	var v View
	v.ApplyListing([]Change{targetUpdate("t", 10, 4, 5)}, 5, start)
	leaving := targetUpdate("t", 10, 6, 6)
	leaving.Target.Draining = true
	v.Apply(leaving, start)
	v.Apply(targetUpdate("t", 10, 5, 7), start)
	v.Apply(targetUpdate("t", 10, 7, 8), start)
	if !v.Targets["t"].Draining {
		t.Error("a draining target counts as ready again")
	}
}

// Leases lapse during a store outage. Live targets register again within two seconds of its end; until then no target may be
// removed, and after that those that are still missing must be.
func TestTargetsThatLapsedInAnOutageAreKeptForTheGrace(t *testing.T) {
	var v View
	v.ApplyListing([]Change{targetUpdate("lives", 1, 4, 5), targetUpdate("died", 1, 4, 6)}, 6, start)
	v.NoteOutage(start.Add(5 * time.Second))
	back := start.Add(5500 * time.Millisecond)
	v.ApplyListing(nil, 20, back)
	if len(v.Targets) != 2 {
		t.Fatalf("%d targets right after the outage, want 2", len(v.Targets))
	}
	v.Apply(targetUpdate("lives", 1, 5, 21), back.Add(time.Second))
	v.ExpireLapsed(back.Add(3 * time.Second))
	if v.Targets["lives"] == nil || v.Targets["died"] != nil {
		t.Errorf("targets after the grace period: %v, want only \"lives\"", v.Targets)
	}
}

// A slow neighbour delivers an older configuration after a newer one came into force.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	var v View
	v.Apply(ConfigUpdated{Revision: 9, Config: &paroute.Config{Version: 7}}, start)
	v.Merge(&Delta{Revision: 3, Config: &paroute.Config{Version: 5}, ConfigAt: 3}, start)
	if v.Config.Version != 7 {
		t.Errorf("version %d is in force, want 7", v.Config.Version)
	}
}

// A third entry VM learns of an evacuation and of its end from different neighbours, in the wrong order.
func TestEvacuationsAreOrderedByRevision(t *testing.T) {
	var v View
	v.Apply(ZoneRestored{Zone: "z", Revision: 9}, start)
	v.Apply(ZoneEvacuated{Zone: "z", Revision: 8}, start)
	if len(v.Evacuated) != 0 {
		t.Error("an older evacuation overrode the end of it")
	}
}

// A listing from before the latest watch event must not undo that event.
func TestOldListingIsIgnored(t *testing.T) {
	var v View
	v.ApplyListing([]Change{targetUpdate("t", 1, 1, 5)}, 9, start)
	v.ApplyListing(nil, 8, start)
	if v.Targets["t"] == nil {
		t.Error("an old listing removed a target")
	}
}

// With an outdated limiter, a neighbour asks an entry VM that has given up the role.
func TestLatestLimiterIsKept(t *testing.T) {
	var v, neighbour View
	v.ApplyListing([]Change{LimiterUpdated{Name: "a", Revision: 5}}, 6, start)
	v.Apply(LimiterUpdated{Revision: 7}, start)
	v.Apply(LimiterUpdated{Name: "b", Revision: 8}, start)
	v.Apply(LimiterUpdated{Name: "a", Revision: 5}, start)
	if v.Limiter != "b" {
		t.Errorf("limiter %q, want \"b\"", v.Limiter)
	}
	neighbour.Merge(v.Delta(Position{}, start), start)
	if neighbour.Limiter != "b" {
		t.Errorf("the neighbour has limiter %q, want \"b\"", neighbour.Limiter)
	}
	if v.ApplyListing(nil, 9, start); v.Limiter != "" {
		t.Errorf("limiter %q after a listing without one, want none", v.Limiter)
	}
}

// Guards against a jump of the wall clock between two starts of a process, which makes its former lifetime look longer than
// it was.
func TestWallClockJumpDoesNotLengthenTheStartInterval(t *testing.T) {
	previous := Entry{Born: 1_000_000, BornUp: 50_000}
	for _, c := range []struct {
		name string
		now  Entry
		want time.Duration
	}{
		{"restart after 1 s, wall clock 1 h ahead", Entry{Born: 4_601_000, BornUp: 51_000}, time.Second},
		{"restart after 10 s, wall clock 1 h behind", Entry{Born: -2_590_000, BornUp: 60_000}, 10 * time.Second},
		{"VM reboot", Entry{Born: 1_020_000, BornUp: 300}, 20 * time.Second},
		{"VM reboot, with a higher uptime than at the previous start", Entry{Born: 1_070_000, BornUp: 60_000}, 10 * time.Second},
	} {
		if got := c.now.MinStartInterval(previous); got != c.want {
			t.Errorf("%s: interval %v, want %v", c.name, got, c.want)
		}
	}
}

// A configuration of hundreds of routes was sent twice to an entry VM that had heard of it apart: its link is narrow.
func TestDeltaLeavesOutAConfigurationThatTheNeighbourHas(t *testing.T) {
	var v View
	v.ApplyListing([]Change{ConfigUpdated{Revision: 3, Config: &paroute.Config{Version: 1}}}, 5, start)
	v.ApplyRange([]Change{
		ConfigUpdated{Revision: 8, Config: &paroute.Config{Version: 2}}, ZoneEvacuated{Zone: "z", Revision: 9},
	}, 5, 9, start)
	for p, want := range map[Position]bool{
		{Revision: 5}: true, {Revision: 5, Operator: 7}: true, {Revision: 5, Operator: 8}: false, {}: true, {Operator: 9}: false,
	} {
		d := v.Delta(p, start)
		if got := d.Config != nil; got != want {
			t.Errorf("%+v: got a configuration %v, want %v", p, got, want)
		}
		if len(d.Operator.Evacuated) != 1 {
			t.Errorf("%+v: the evacuated zone is missing", p)
		}
	}
}
