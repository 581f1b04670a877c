package paledger

import (
	"maps"
	"slices"
	"time"

	"papayahead/pabundle"
)

// MemorySince returns the time since when the records of all keys kept here are complete. A past
// assignment whose other keepers handed over everything counts only from when their records are
// complete: otherwise a keeper that received a full handover and then hands over itself would make
// the keys of both too old.
func (l *Ledger) MemorySince() time.Time {
	var since time.Time
	for _, e := range l.pastAssignments {
		since = later(since, l.assignmentSince(e))
	}
	for _, t := range l.lastDropped {
		since = later(since, t)
	}
	return since
}

func (l *Ledger) assignmentSince(e assignment) time.Time {
	if e.members == nil || !sameHomes(e.rollOuts, l.rollOuts) {
		return e.until
	}
	var since time.Time
	for _, m := range e.members {
		// A VM that is still a member still keeps its keys: it scores higher than this VM for them.
		if m == l.Self || slices.Contains(l.members, m) {
			continue
		}
		// If the successors include others than the present members, records of keys kept here now may
		// have gone to them.
		h := l.handovers[m]
		if !h.coversAll(l.Self, l.members) {
			return e.until
		}
		since = later(since, h.since)
	}
	return since
}

// sameHomes reports whether the candidate regions are equal in all roll-outs of both lists, so that every
// key has the same home region.
func sameHomes(a, b []rollOutRegions) bool {
	for _, x := range a {
		for _, y := range b {
			if !maps.EqualFunc(x.regions, y.regions, slices.Equal[[]pabundle.RegionName]) {
				return false
			}
		}
	}
	return len(a) > 0 && len(b) > 0
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// IsKeeper reports whether this entry VM is the keeper of a key and may answer claims for it.
func (l *Ledger) IsKeeper(id ID) bool {
	return l.members != nil && !l.retired && isKeeper(l.Self, l.Region, id, l.members, l.rollOuts)
}

// since returns the time since when the records of a key are complete. That is the latest of: the end of
// the last assignment in which the key had another keeper that did not hand over, the start of
// complete records in a received handover, and the latest change among dropped records of the service.
func (l *Ledger) since(id ID) time.Time {
	since := l.lastDropped[id.Service]
	for _, e := range l.pastAssignments {
		if e.members == nil || !isHomeRegion(l.Region, id, e.rollOuts) {
			since = later(since, e.until)
			continue
		}
		keeper := Keeper(id, e.members)
		switch h := l.handovers[keeper]; {
		case keeper == l.Self:
		case h.covers(id, l.Self):
			since = later(since, h.since)
		default:
			since = later(since, e.until)
		}
	}
	return since
}

// isKeeper reports whether self is the keeper of a key, given the members and all roll-outs that may
// be in force.
func isKeeper(
	self pabundle.EntryName, region pabundle.RegionName, id ID, members []pabundle.EntryName, hs []rollOutRegions,
) bool {
	return isHomeRegion(region, id, hs) && Keeper(id, members) == self
}

func isHomeRegion(region pabundle.RegionName, id ID, hs []rollOutRegions) bool {
	for _, h := range hs {
		if HomeRegion(id, h.regions[id.Service]) != region {
			return false
		}
	}
	return len(hs) > 0
}

func (r *Record) expires() time.Time {
	if r.State == Live {
		return r.Deadline.Add(settlementMargin)
	}
	return r.ChangedAt.Add(r.Memory + skewMargin)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
