package pafleet

import "time"

// removalLife is how long a removal is remembered, so that a late word of a former lifetime does not bring a target back
// and neighbours hear of it. Source: targets speak every 1.5 s and the store may deliver a write seconds after it was
// sent; a minute is far beyond both.
const removalLife = time.Minute

// history is what a view knows of removals, and of which time it knows all of them.
//
// Failure prevented: a process that starts reads what the store holds now. A neighbour that stands at an earlier revision
// follows it, is told of no removal in between, and takes itself for complete.
type history struct {
	gone, left map[string]tombstone
	// Every removal after floor is known, but for what came and went within skipped.
	floor   Revision
	skipped RevisionRange
}

// RevisionRange is what lies after a revision and up to another.
type RevisionRange struct{ After, To Revision }

// inside says whether a view that is complete up to a revision may know some of what came and went in the span.
func (s RevisionRange) inside(r Revision) bool { return r > s.After && r < s.To }

// tombstone is a removal. born and sequence are those of a target's last word; 0 is not known.
type tombstone struct {
	born, sequence int64
	revision       Revision
	at             time.Time
}

// outlives says whether a word of the removed target is older than the removal.
func (g tombstone) outlives(t *Target) bool {
	return t.Revision <= g.revision || t.Born < g.born || t.Born == g.born && t.Sequence <= g.sequence
}

// remember adds a removal; of two of one name the later one counts.
func remember(all map[string]tombstone, name string, g tombstone) {
	old := all[name]
	if g.revision <= old.revision {
		return
	}
	if g.born == 0 {
		g.born, g.sequence = old.born, old.sequence
	}
	all[name] = g
}

// skip notes that a view knows of a span only what came of it. Of two spans the earlier one is given up, with all before
// it.
func (h *history) skip(s RevisionRange) {
	if s.After >= s.To || s == h.skipped {
		return
	}
	h.floor = max(h.floor, h.skipped.To)
	h.skipped = s
}

// covers says whether a neighbour that is complete up to a revision can be told of all removals since.
func (h *history) covers(since Revision) bool {
	return since >= h.floor && !h.skipped.inside(since)
}

// targetsGone returns the removals of targets after a revision.
func (h *history) targetsGone(since Revision) (all []TargetRemoved) {
	for id, g := range h.gone {
		if g.revision > since {
			all = append(all, TargetRemoved{ID: id, Revision: g.revision})
		}
	}
	return all
}

// forget drops old removals.
func (h *history) forget(now time.Time) {
	for _, all := range []map[string]tombstone{h.gone, h.left} {
		for name, g := range all {
			if now.Sub(g.at) > removalLife {
				h.floor = max(h.floor, g.revision)
				delete(all, name)
			}
		}
	}
}
