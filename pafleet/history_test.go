package pafleet

import (
	"testing"
	"time"
)

// A process started anew, and its neighbours followed it past removals that lie before its first reading of the store.
func TestRemovalsBeforeARestartReachThoseWhoFollow(t *testing.T) {
	var neighbour, restarted View
	neighbour.ApplyListing([]Change{
		said("left", 1, 1, 5), said("stays", 1, 1, 6), EntryUpdated{Entry: Entry{Name: "e", Revision: 7}},
		ZoneEvacuated{Zone: "z", Revision: 8}, LimiterUpdated{Name: "e", Revision: 9},
	}, 10, begin)
	restarted.ApplyListing([]Change{said("stays", 1, 1, 6)}, 14, begin)
	tell(&restarted, &neighbour)
	if neighbour.Targets["left"] != nil {
		t.Error("the target that left is still used")
	}
	if neighbour.Targets["stays"] == nil {
		t.Error("the other target went too")
	}
	if len(neighbour.Entries) != 0 || len(neighbour.Evacuated) != 0 || neighbour.Limiter != "" {
		t.Errorf("entry VMs %v, evacuated zones %v, limiter %q, want none", neighbour.Entries, neighbour.Evacuated, neighbour.Limiter)
	}
}

// An entry VM that does not read the store kept a target in the availability zone that it had left, past that zone's evacuation.
func TestNeighbourHearsOfATargetsNewZone(t *testing.T) {
	var reader, neighbour View
	for _, v := range []*View{&reader, &neighbour} {
		v.ApplyListing([]Change{said("t", 1, 1, 5)}, 5, begin)
	}
	moved := said("t", 1, 2, 6)
	moved.Target.Zone = "y"
	reader.ApplyRange([]Change{moved}, 5, 6, begin)
	tell(&reader, &neighbour)
	if got := neighbour.Targets["t"].Zone; got != "y" {
		t.Errorf("the neighbour has the target in zone %q", got)
	}
}

// A target lapsed in an outage of the store and came back; entry VMs that had given it up never used it again.
func TestNeighbourHearsThatALapsedTargetIsBack(t *testing.T) {
	var reader, neighbour View
	for _, v := range []*View{&reader, &neighbour} {
		v.ApplyListing([]Change{said("t", 1, 1, 5)}, 5, begin)
	}
	reader.NoteOutage(begin)
	reader.ApplyRange([]Change{TargetRemoved{ID: "t", Revision: 6}}, 5, 6, begin)
	tell(&reader, &neighbour)
	if neighbour.Targets["t"] != nil {
		t.Fatal("the neighbour, which saw no outage, uses a target that is gone")
	}
	reader.ApplyRange([]Change{said("t", 1, 2, 7)}, 6, 7, begin.Add(time.Second))
	tell(&reader, &neighbour)
	if neighbour.Targets["t"] == nil {
		t.Error("the neighbour does not use the target that is back")
	}
}

// A word that was on its way while the store was listed brought back what the listing had left out.
func TestALateWordDoesNotUndoAListing(t *testing.T) {
	var v View
	v.ApplyListing(nil, 4, begin)
	late := []Change{
		said("t", 1, 1, 5), EntryUpdated{Entry: Entry{Name: "e", Revision: 6}}, ZoneEvacuated{Zone: "z", Revision: 7},
		LimiterUpdated{Name: "e", Revision: 8},
	}
	v.ApplyListing([]Change{said("stays", 1, 1, 3)}, 20, begin)
	v.ApplyRange(late, 4, 8, begin)
	if len(v.Targets) != 1 || len(v.Entries) != 0 || len(v.Evacuated) != 0 || v.Limiter != "" {
		t.Errorf("targets %v, entry VMs %v, evacuated zones %v, limiter %q after late words", v.Targets, v.Entries, v.Evacuated, v.Limiter)
	}
}

// A limiter claimed its place and left while a neighbour took the store by listings; what that told kept its name in force.
func TestAnOldWordOfNoLimiterNamesNone(t *testing.T) {
	var reader, v View
	reader.ApplyListing([]Change{LimiterUpdated{Name: "a", Revision: 2}}, 3, begin)
	reader.ApplyListing(nil, 5, begin)
	reader.ApplyListing(nil, 20, begin)
	v.ApplyListing([]Change{LimiterUpdated{Name: "b", Revision: 8}}, 10, begin)
	tell(&reader, &v)
	if v.Limiter != "" || v.Revision != 20 {
		t.Errorf("limiter %q at revision %d", v.Limiter, v.Revision)
	}
}

// A target registered and left while a reader had lost the store's history; who had heard of it meanwhile followed that reader.
func TestWhoIsWithinASkippedSpanNeedsMoreThanChanges(t *testing.T) {
	var reader, asker View
	reader.ApplyListing(nil, 4, begin)
	asker.ApplyListing(nil, 4, begin)
	reader.ApplyListing(nil, 20, begin)
	late := reader.answer(asker.Revision, begin)
	asker.ApplyRange([]Change{said("t", 1, 1, 9)}, 4, 10, begin)
	asker.hear(late, begin)
	if asker.Revision >= 20 && asker.Targets["t"] != nil {
		t.Error("the asker took itself for complete with a target that is gone")
	}
	tell(&reader, &asker)
	if asker.Revision != 20 || asker.Targets["t"] != nil {
		t.Errorf("complete up to %d, targets %v", asker.Revision, asker.Targets)
	}
	var behind View
	behind.ApplyListing([]Change{said("u", 1, 1, 5)}, 6, begin)
	var follower View
	follower.ApplyListing(nil, 4, begin)
	tell(&reader, &follower)
	tell(&follower, &behind)
	if behind.Revision != 20 || behind.Targets["u"] != nil {
		t.Errorf("behind one that followed the reader: complete up to %d, targets %v", behind.Revision, behind.Targets)
	}
}

// A target's entry lapsed and came back; the word of the lapse, told later, was dropped, and with it that the target is back.
func TestNeighbourHearsOfARegistrationAfterALapse(t *testing.T) {
	var reader, follower, last View
	for _, v := range []*View{&reader, &follower, &last} {
		v.ApplyListing([]Change{said("t", 1, 1, 5)}, 5, begin)
	}
	lapse := TargetRemoved{ID: "t", Revision: 6}
	reader.ApplyRange([]Change{lapse, said("t", 1, 2, 7)}, 5, 7, begin)
	last.ApplyRange([]Change{lapse}, 5, 6, begin)
	tell(&reader, &follower)
	tell(&follower, &last)
	if last.Targets["t"] == nil {
		t.Error("the target that is back is not used")
	}
}

// A target lapsed and registered again while its reader did not look; entry VMs that had given it up never used it again.
func TestNeighbourHearsOfARegistrationThatAListingShows(t *testing.T) {
	again := said("t", 1, 2, 7)
	again.Target.Registered = 7
	for _, whole := range []bool{false, true} {
		var reader, gaveUp View
		for _, v := range []*View{&reader, &gaveUp} {
			v.ApplyListing([]Change{said("t", 1, 1, 5)}, 5, begin)
		}
		gaveUp.ApplyRange([]Change{TargetRemoved{ID: "t", Revision: 6}}, 5, 6, begin)
		if whole {
			reader.ApplyListing([]Change{again}, 7, begin)
		} else {
			reader.ApplyRange([]Change{again}, 5, 7, begin)
		}
		var between View
		between.ApplyListing([]Change{said("t", 1, 1, 5)}, 5, begin)
		tell(&reader, &between)
		tell(&between, &gaveUp)
		if gaveUp.Targets["t"] == nil {
			t.Errorf("a listing %v: the target that is back is not used", whole)
		}
	}
}

// A target lapsed, came back as another and left, of which its reader heard the end only; neighbours that had it kept it.
func TestNeighbourHearsOfALaterEndOfALapsedTarget(t *testing.T) {
	var reader, neighbour View
	reader.ApplyListing([]Change{said("t", 1, 1, 5)}, 5, begin)
	reader.NoteOutage(begin)
	reader.ApplyRange([]Change{TargetRemoved{ID: "t", Revision: 6}}, 5, 6, begin)
	neighbour.ApplyListing([]Change{said("t", 2, 1, 7)}, 7, begin)
	reader.ApplyRange([]Change{TargetRemoved{ID: "t", Revision: 8}}, 6, 8, begin)
	tell(&reader, &neighbour)
	if neighbour.Targets["t"] != nil {
		t.Error("the neighbour still uses the target that is gone")
	}
}
