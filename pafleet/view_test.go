package pafleet

import (
	"net/netip"
	"testing"
	"time"

	"papayahead/paroute"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func said(id string, born, sequence int64, r Revision) TargetUpdated {
	return TargetUpdated{Target: Target{
		ID: id, Service: "a", Zone: "z", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3,
		Born: born, Sequence: sequence, Revision: r,
	}}
}

// The store refuses one entry VM for a while. It reads again, misses a target that left meanwhile, and
// keeps it for some seconds in case its entry had only lapsed. Neighbours that took the store's later
// revisions from it never heard that the target is gone, and sent it requests.
func TestLateBurialReachesNeighbours(t *testing.T) {
	var reader, neighbour View
	for _, v := range []*View{&reader, &neighbour} {
		v.ApplyListing([]Change{said("t1", 1, 1, 5), said("t2", 1, 1, 6)}, 6, begin)
	}
	reader.NoteOutage(begin)
	reader.Apply(TargetRemoved{ID: "t1", Revision: 7}, begin.Add(time.Second))
	reader.Apply(said("t2", 1, 9, 12), begin.Add(time.Second))
	reader.Revision = 12
	if d := reader.Delta(neighbour.Revision, begin); d != nil {
		neighbour.Merge(d, begin)
	}
	neighbour.Revision = 12
	reader.ExpireLapsed(begin.Add(LapseGrace + time.Millisecond))
	reader.Revision = 13
	if d := reader.Delta(neighbour.Revision, begin.Add(3*time.Second)); d != nil {
		neighbour.Merge(d, begin.Add(3*time.Second))
	}
	if neighbour.Targets["t1"] != nil {
		t.Error("the neighbour still uses the target that is gone")
	}
	if neighbour.Targets["t2"] == nil {
		t.Error("the other target went too")
	}
}

// A target's heartbeat is held up on its way and arrives after the target was removed: it is no sign
// of life. A target that starts again under its ID is another lifetime.
func TestLateHeartbeatDoesNotBringATargetBack(t *testing.T) {
	var v View
	v.ApplyListing([]Change{said("t", 10, 4, 5)}, 5, begin)
	v.Apply(TargetRemoved{ID: "t", Revision: 6}, begin)
	v.Apply(said("t", 10, 3, 7), begin)
	if v.Targets["t"] != nil {
		t.Error("a late heartbeat brought the target back")
	}
	v.Apply(said("t", 11, 1, 8), begin)
	if v.Targets["t"] == nil {
		t.Error("a new lifetime under the same ID is not used")
	}
}

// A target says that it drains, and an older heartbeat of its own is delivered after that.
func TestDrainingIsNotTakenBack(t *testing.T) {
	var v View
	v.ApplyListing([]Change{said("t", 10, 4, 5)}, 5, begin)
	leaving := said("t", 10, 6, 6)
	leaving.Target.Draining = true
	v.Apply(leaving, begin)
	v.Apply(said("t", 10, 5, 7), begin)
	v.Apply(said("t", 10, 7, 8), begin)
	if !v.Targets["t"].Draining {
		t.Error("a target that drains counts as ready again")
	}
}

// The store is down, and entries lapse meanwhile. Targets that live write again within two seconds of
// its return; until then none of them may be given up, after that the missing ones are gone.
func TestEntriesThatLapsedInAnOutageComeBack(t *testing.T) {
	var v View
	v.ApplyListing([]Change{said("lives", 1, 4, 5), said("died", 1, 4, 6)}, 6, begin)
	v.NoteOutage(begin.Add(5 * time.Second))
	back := begin.Add(5500 * time.Millisecond)
	v.ApplyListing(nil, 20, back)
	if len(v.Targets) != 2 {
		t.Fatalf("%d targets are left right after the outage, want 2", len(v.Targets))
	}
	v.Apply(said("lives", 1, 5, 21), back.Add(time.Second))
	v.ExpireLapsed(back.Add(3 * time.Second))
	if v.Targets["lives"] == nil || v.Targets["died"] != nil {
		t.Errorf("targets after the grace: %v", v.Targets)
	}
}

// An older configuration arrives by way of a slow neighbour after a newer one had an effect.
func TestConfigurationNeverGoesBack(t *testing.T) {
	var v View
	v.Apply(ConfigUpdated{Revision: 9, Config: &paroute.Config{Version: 7}}, begin)
	v.Merge(&Delta{Revision: 3, Config: &paroute.Config{Version: 5}, ConfigAt: 3}, begin)
	if v.Config.Version != 7 {
		t.Errorf("version %d is in force, want 7", v.Config.Version)
	}
}

// An evacuation and its end are read by different entry VMs and told to a third in the wrong order.
func TestEvacuationsAreOrderedByRevision(t *testing.T) {
	var v View
	v.Apply(ZoneRestored{Zone: "z", Revision: 9}, begin)
	v.Apply(ZoneEvacuated{Zone: "z", Revision: 8}, begin)
	if len(v.Evacuated) != 0 {
		t.Error("the zone is evacuated by the older word")
	}
}

// A listing that was taken before the latest watch does not undo what the watch told.
func TestOldListingIsIgnored(t *testing.T) {
	var v View
	v.ApplyListing([]Change{said("t", 1, 1, 5)}, 9, begin)
	v.ApplyListing(nil, 8, begin)
	if v.Targets["t"] == nil {
		t.Error("an old listing removed a target")
	}
}

// A neighbour that was told an old word of the limiter would ask one that gave its place away.
func TestTheLatestWordOfTheLimiterHolds(t *testing.T) {
	var v, neighbour View
	v.ApplyListing([]Change{LimiterUpdated{Name: "a", Revision: 5}}, 6, begin)
	v.Apply(LimiterUpdated{Revision: 7}, begin)
	v.Apply(LimiterUpdated{Name: "b", Revision: 8}, begin)
	v.Apply(LimiterUpdated{Name: "a", Revision: 5}, begin)
	if v.Limiter != "b" {
		t.Errorf("limiter %q", v.Limiter)
	}
	neighbour.Merge(v.Delta(0, begin), begin)
	if neighbour.Limiter != "b" {
		t.Errorf("the neighbour's limiter %q", neighbour.Limiter)
	}
	if v.ApplyListing(nil, 9, begin); v.Limiter != "" {
		t.Errorf("limiter %q after a listing without one", v.Limiter)
	}
}

// Guards against a process that started a second ago and takes itself for one that ran for long, since the time of day
// jumped between its starts.
func TestAJumpOfTheTimeOfDayLengthensNoLife(t *testing.T) {
	former := Entry{Born: 1_000_000, BornUp: 50_000}
	for _, c := range []struct {
		what string
		now  Entry
		want time.Duration
	}{
		{"it started anew after a second, and the time of day is an hour ahead", Entry{Born: 4_601_000, BornUp: 51_000}, time.Second},
		{"it started anew after ten seconds, and the time of day is an hour behind", Entry{Born: -2_590_000, BornUp: 60_000}, 10 * time.Second},
		{"its machine started anew", Entry{Born: 1_020_000, BornUp: 300}, 20 * time.Second},
		{"its machine started anew and was up for longer than before", Entry{Born: 1_070_000, BornUp: 60_000}, 10 * time.Second},
	} {
		if got := c.now.MinStartInterval(former); got != c.want {
			t.Errorf("%s: ran for %v, want %v", c.what, got, c.want)
		}
	}
}
