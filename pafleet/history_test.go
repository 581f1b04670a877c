package pafleet

import (
	"testing"
	"time"
)

// A neighbour synced from a restarted process and missed removals from before that process's first listing of the store.
func TestNeighbourOfARestartedViewLearnsOfEarlierRemovals(t *testing.T) {
	var neighbour, restarted View
	neighbour.ApplyListing([]Change{
		targetUpdate("gone", 1, 1, 5), targetUpdate("stays", 1, 1, 6), EntryUpdated{Entry: Entry{Name: "e", Revision: 7}},
		ZoneEvacuated{Zone: "z", Revision: 8}, LimiterUpdated{Name: "e", Revision: 9},
	}, 10, start)
	restarted.ApplyListing([]Change{targetUpdate("stays", 1, 1, 6)}, 14, start)
	syncFrom(&restarted, &neighbour)
	if neighbour.Targets["gone"] != nil {
		t.Error("the removed target is still used")
	}
	if neighbour.Targets["stays"] == nil {
		t.Error("the other target was removed too")
	}
	if len(neighbour.Entries) != 0 || len(neighbour.Evacuated) != 0 || neighbour.Limiter != "" {
		t.Errorf("entry VMs %v, evacuated zones %v, limiter %q, want none", neighbour.Entries, neighbour.Evacuated, neighbour.Limiter)
	}
}

// An entry VM that syncs from a neighbour missed the move of a target, and kept counting it in the zone that it had left,
// even after that zone was evacuated.
func TestNeighbourLearnsOfATargetsNewZone(t *testing.T) {
	var reader, neighbour View
	for _, v := range []*View{&reader, &neighbour} {
		v.ApplyListing([]Change{targetUpdate("t", 1, 1, 5)}, 5, start)
	}
	moved := targetUpdate("t", 1, 2, 6)
	moved.Target.Zone = "y"
	reader.ApplyRange([]Change{moved}, 5, 6, start)
	syncFrom(&reader, &neighbour)
	if got := neighbour.Targets["t"].Zone; got != "y" {
		t.Errorf("the neighbour has the target in zone %q, want \"y\"", got)
	}
}

// A target lapsed in a store outage and registered again; entry VMs that had removed it never used it again.
func TestNeighbourLearnsThatALapsedTargetIsBack(t *testing.T) {
	var reader, neighbour View
	for _, v := range []*View{&reader, &neighbour} {
		v.ApplyListing([]Change{targetUpdate("t", 1, 1, 5)}, 5, start)
	}
	reader.NoteOutage(start)
	reader.ApplyRange([]Change{TargetRemoved{ID: "t", Revision: 6}}, 5, 6, start)
	syncFrom(&reader, &neighbour)
	if neighbour.Targets["t"] != nil {
		t.Fatal("the neighbour, which saw no outage, still uses the lapsed target")
	}
	reader.ApplyRange([]Change{targetUpdate("t", 1, 2, 7)}, 6, 7, start.Add(time.Second))
	syncFrom(&reader, &neighbour)
	if neighbour.Targets["t"] == nil {
		t.Error("the neighbour does not use the target that registered again")
	}
}

// Changes that were in flight during a listing restored keys that the listing no longer contained.
func TestLateChangesDoNotUndoAListing(t *testing.T) {
	var v View
	v.ApplyListing(nil, 4, start)
	late := []Change{
		targetUpdate("t", 1, 1, 5), EntryUpdated{Entry: Entry{Name: "e", Revision: 6}}, ZoneEvacuated{Zone: "z", Revision: 7},
		LimiterUpdated{Name: "e", Revision: 8},
	}
	v.ApplyListing([]Change{targetUpdate("stays", 1, 1, 3)}, 20, start)
	v.ApplyRange(late, 4, 8, start)
	if len(v.Targets) != 1 || len(v.Entries) != 0 || len(v.Evacuated) != 0 || v.Limiter != "" {
		t.Errorf("targets %v, entry VMs %v, evacuated zones %v, limiter %q after late changes; want one target only",
			v.Targets, v.Entries, v.Evacuated, v.Limiter)
	}
}

// An entry VM claimed the limiter role and gave it up between two listings of a neighbour. That neighbour's delta did not
// clear its name.
func TestAWholeDeltaWithoutALimiterClearsIt(t *testing.T) {
	var reader, v View
	reader.ApplyListing([]Change{LimiterUpdated{Name: "a", Revision: 2}}, 3, start)
	reader.ApplyListing(nil, 5, start)
	reader.ApplyListing(nil, 20, start)
	v.ApplyListing([]Change{LimiterUpdated{Name: "b", Revision: 8}}, 10, start)
	syncFrom(&reader, &v)
	if v.Limiter != "" || v.Revision != 20 {
		t.Errorf("limiter %q at revision %d, want none at 20", v.Limiter, v.Revision)
	}
}

// A target registered and was removed within a range of revisions that a reader skipped by a new listing. An entry VM that
// had learned of the target in between synced from that reader and kept it.
func TestSyncFromWithinASkippedRangeNeedsTheWholeView(t *testing.T) {
	var reader, client View
	reader.ApplyListing(nil, 4, start)
	client.ApplyListing(nil, 4, start)
	reader.ApplyListing(nil, 20, start)
	late := reader.reply(Position{Revision: client.Revision}, start)
	client.ApplyRange([]Change{targetUpdate("t", 1, 1, 9)}, 4, 10, start)
	client.applyReply(late, start)
	if client.Revision >= 20 && client.Targets["t"] != nil {
		t.Error("the view counts as complete with a target that was removed")
	}
	syncFrom(&reader, &client)
	if client.Revision != 20 || client.Targets["t"] != nil {
		t.Errorf("complete up to %d, targets %v; want 20 and no target", client.Revision, client.Targets)
	}
	var behind View
	behind.ApplyListing([]Change{targetUpdate("u", 1, 1, 5)}, 6, start)
	var follower View
	follower.ApplyListing(nil, 4, start)
	syncFrom(&reader, &follower)
	syncFrom(&follower, &behind)
	if behind.Revision != 20 || behind.Targets["u"] != nil {
		t.Errorf("view synced by way of the reader's follower: complete up to %d, targets %v; want 20 and no target u",
			behind.Revision, behind.Targets)
	}
}

// A target lapsed and registered again. A view that knew the registration ignored the late removal and then did not pass the
// registration on to a neighbour that had removed the target.
func TestNeighbourLearnsOfARegistrationAfterALapse(t *testing.T) {
	var reader, follower, last View
	for _, v := range []*View{&reader, &follower, &last} {
		v.ApplyListing([]Change{targetUpdate("t", 1, 1, 5)}, 5, start)
	}
	lapse := TargetRemoved{ID: "t", Revision: 6}
	reader.ApplyRange([]Change{lapse, targetUpdate("t", 1, 2, 7)}, 5, 7, start)
	last.ApplyRange([]Change{lapse}, 5, 6, start)
	syncFrom(&reader, &follower)
	syncFrom(&follower, &last)
	if last.Targets["t"] == nil {
		t.Error("the target that registered again is not used")
	}
}

// A target lapsed and registered again between two reads of the store, so that the reader saw no removal. Entry VMs that had
// removed the target never used it again.
func TestNeighbourLearnsOfARegistrationBetweenTwoReads(t *testing.T) {
	again := targetUpdate("t", 1, 2, 7)
	again.Target.Registered = 7
	for _, whole := range []bool{false, true} {
		var reader, removed View
		for _, v := range []*View{&reader, &removed} {
			v.ApplyListing([]Change{targetUpdate("t", 1, 1, 5)}, 5, start)
		}
		removed.ApplyRange([]Change{TargetRemoved{ID: "t", Revision: 6}}, 5, 6, start)
		if whole {
			reader.ApplyListing([]Change{again}, 7, start)
		} else {
			reader.ApplyRange([]Change{again}, 5, 7, start)
		}
		var middle View
		middle.ApplyListing([]Change{targetUpdate("t", 1, 1, 5)}, 5, start)
		syncFrom(&reader, &middle)
		syncFrom(&middle, &removed)
		if removed.Targets["t"] == nil {
			t.Errorf("listing %v: the target that registered again is not used", whole)
		}
	}
}

// A target lapsed, started again as a new lifetime and was removed. The reader saw only the last removal and did not pass it
// on, so neighbours that knew the new lifetime kept it.
func TestNeighbourLearnsOfALaterRemovalOfALapsedTarget(t *testing.T) {
	var reader, neighbour View
	reader.ApplyListing([]Change{targetUpdate("t", 1, 1, 5)}, 5, start)
	reader.NoteOutage(start)
	reader.ApplyRange([]Change{TargetRemoved{ID: "t", Revision: 6}}, 5, 6, start)
	neighbour.ApplyListing([]Change{targetUpdate("t", 2, 1, 7)}, 7, start)
	reader.ApplyRange([]Change{TargetRemoved{ID: "t", Revision: 8}}, 6, 8, start)
	syncFrom(&reader, &neighbour)
	if neighbour.Targets["t"] != nil {
		t.Error("the neighbour still uses the removed target")
	}
}
