package paledger

import (
	"maps"
	"slices"
	"time"

	"papayahead/pabundle"
)

// MemorySince returns from when on the ledger remembers all keys that it keeps now. An era counts
// only as far as its other keepers did not hand over: a keeper that inherited all of a predecessor's
// memory and then hands over itself would otherwise make every key of both too old.
func (l *Ledger) MemorySince() time.Time {
	var since time.Time
	for _, e := range l.eras {
		since = later(since, l.eraSince(e))
	}
	for _, t := range l.forgotten {
		since = later(since, t)
	}
	return since
}

func (l *Ledger) eraSince(e era) time.Time {
	if e.members == nil || !sameHomes(e.homes, l.homes) {
		return e.until
	}
	var since time.Time
	for _, m := range e.members {
		// Who is a member still keeps what it kept: it scores higher than this keeper for those keys.
		if m == l.Self || slices.Contains(l.members, m) {
			continue
		}
		// A handover that was split among more than the present members may have gone past this one.
		h := l.heirs[m]
		if !h.whole(l.Self, l.members) {
			return e.until
		}
		since = later(since, h.since)
	}
	return since
}

// sameHomes says whether two lists of roll-outs leave every key in the same region.
func sameHomes(a, b []homes) bool {
	for _, x := range a {
		for _, y := range b {
			if !maps.EqualFunc(x.regions, y.regions, slices.Equal[[]pabundle.RegionName]) {
				return false
			}
		}
	}
	return len(a) > 0 && len(b) > 0
}

// Len returns how many keys are remembered.
func (l *Ledger) Len() int { return len(l.records) }

// IsKeeper reports whether this entry VM keeps the key and may answer for it.
func (l *Ledger) IsKeeper(id ID) bool {
	return l.members != nil && !l.retired && keeps(l.Self, l.Region, id, l.members, l.homes)
}

// since returns from when on nothing about the key is missing: the end of the last era in which it
// had another keeper that did not hand over, and the youngest record that was dropped.
func (l *Ledger) since(id ID) time.Time {
	since := l.forgotten[id.Service]
	for _, e := range l.eras {
		if e.members == nil || !home(l.Region, id, e.homes) {
			since = later(since, e.until)
			continue
		}
		keeper := Keeper(id, e.members)
		switch h := l.heirs[keeper]; {
		case keeper == l.Self:
		case h.covers(id, l.Self):
			since = later(since, h.since)
		default:
			since = later(since, e.until)
		}
	}
	return since
}

// keeps says whether self keeps the key by the members and by all the roll-outs that may be in force.
func keeps(self pabundle.EntryName, region pabundle.RegionName, id ID, members []pabundle.EntryName, hs []homes) bool {
	return home(region, id, hs) && Keeper(id, members) == self
}

func home(region pabundle.RegionName, id ID, hs []homes) bool {
	for _, h := range hs {
		if HomeRegion(id, h.regions[id.Service]) != region {
			return false
		}
	}
	return len(hs) > 0
}

func (r *Record) expires() time.Time {
	if r.State == Live {
		return r.Deadline.Add(liveMargin)
	}
	return r.ChangedAt.Add(r.Memory + skewMargin)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
