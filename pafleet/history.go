package pafleet

import "time"

// tombstoneTTL is how long a removal is remembered, so that a late update of a former lifetime does not bring a target back
// and neighbours learn of the removal. Targets send a heartbeat every 1.5 s and the store may deliver a write seconds after
// it was sent; a minute is far beyond both.
const tombstoneTTL = time.Minute

// history holds the removals that a view knows, and the revisions for which it knows all of them.
//
// A process that has just started knows only the current content of the store. Without this record a neighbour at an earlier
// revision would sync from it, learn of no removal in between and take itself for complete.
type history struct {
	// targets and entries hold the tombstones of removed targets by ID and of removed entry VMs by name.
	targets, entries map[string]tombstone
	// Every removal after floor is known, except of keys that were both created and removed within skipped.
	floor   Revision
	skipped RevisionRange
}

// RevisionRange is the range of revisions after After and up to To.
type RevisionRange struct{ After, To Revision }

// contains reports whether r lies between the bounds, both excluded. A view that is complete up to r may know keys that
// were created and removed within the range.
func (s RevisionRange) contains(r Revision) bool { return r > s.After && r < s.To }

// tombstone records a removal. born and sequence are those of a target's last update; 0 if unknown.
type tombstone struct {
	born, sequence int64
	revision       Revision
	at             time.Time
}

// covers reports whether an update of the removed target is older than the removal, or no later than its last known update.
func (ts tombstone) covers(t *Target) bool {
	return t.Revision <= ts.revision || t.Born < ts.born || t.Born == ts.born && t.Sequence <= ts.sequence
}

// addTombstone records a removal. Of two removals of the same name the later one is kept.
func addTombstone(all map[string]tombstone, name string, ts tombstone) {
	old := all[name]
	if ts.revision <= old.revision {
		return
	}
	if ts.born == 0 {
		ts.born, ts.sequence = old.born, old.sequence
	}
	all[name] = ts
}

// addSkipped records that a view knows only the final state of a range of revisions. Only one range is kept: a second one
// replaces it, and the history then begins at the end of the first.
func (h *history) addSkipped(s RevisionRange) {
	if s.After >= s.To || s == h.skipped {
		return
	}
	h.floor = max(h.floor, h.skipped.To)
	h.skipped = s
}

// completeSince reports whether the removals are known of all keys that a neighbour complete up to a revision may still hold.
func (h *history) completeSince(since Revision) bool {
	return since >= h.floor && !h.skipped.contains(since)
}

// removedTargets returns the targets that were removed after a revision.
func (h *history) removedTargets(since Revision) (all []TargetRemoved) {
	for id, ts := range h.targets {
		if ts.revision > since {
			all = append(all, TargetRemoved{ID: id, Revision: ts.revision})
		}
	}
	return all
}

// expire drops tombstones that are older than tombstoneTTL.
func (h *history) expire(now time.Time) {
	for _, all := range []map[string]tombstone{h.targets, h.entries} {
		for name, ts := range all {
			if now.Sub(ts.at) > tombstoneTTL {
				h.floor = max(h.floor, ts.revision)
				delete(all, name)
			}
		}
	}
}
