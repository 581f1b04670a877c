package paledger

import (
	"slices"
	"time"

	"papayahead/pabundle"
)

// maxRecords bounds the records of one part of a handover; a part then stays well under a megabyte
// for keys of ordinary length.
const maxRecords = 1000

// maxParts bounds the parts of a handover.
const maxParts = 10000

// maxSuccessors bounds the successors named in a handover.
const maxSuccessors = 512

// Handover is a part of a keeper's memory for one successor.
type Handover struct {
	From        pabundle.EntryName
	Incarnation uint64
	// Part counts from 0 to Parts-1; only all parts together count.
	Part, Parts int
	// Since is from when on the sender remembers all its keys.
	Since time.Time
	// Successors are all those among whom the sender split its keys.
	Successors []pabundle.EntryName
	Records    []Record
}

// inheritance is what came from one predecessor.
type inheritance struct {
	incarnation uint64
	parts       []bool
	since       time.Time
	successors  []pabundle.EntryName
}

// Retire ends the keeping of keys for good and returns the memory for each of the successors, which
// are the members without this one. Every successor gets at least one part, which may be empty.
func (l *Ledger) Retire(now time.Time, successors []pabundle.EntryName) map[pabundle.EntryName][]Handover {
	l.Tick(now)
	l.retired = true
	sorted := make(map[pabundle.EntryName][]Record)
	for _, n := range successors {
		sorted[n] = nil
	}
	for id, r := range l.records {
		if n := Keeper(id, successors); n != "" {
			sorted[n] = append(sorted[n], *r)
		}
	}
	since := l.MemorySince()
	out := make(map[pabundle.EntryName][]Handover, len(sorted))
	for n, records := range sorted {
		slices.SortFunc(records, func(a, b Record) int { return a.ChangedAt.Compare(b.ChangedAt) })
		parts := max(1, (len(records)+maxRecords-1)/maxRecords)
		for p := range parts {
			from, to := p*maxRecords, min((p+1)*maxRecords, len(records))
			out[n] = append(out[n], Handover{l.Self, l.Incarnation, p, parts, since, successors, records[from:to]})
		}
	}
	return out
}

// AcceptHandover takes a part of a predecessor's memory. What is known here of a copy that may have run stays. A part that
// does not fit leaves the handover incomplete, and the predecessor's keys stay refused as too old.
func (l *Ledger) AcceptHandover(now time.Time, h Handover) {
	l.Tick(now)
	i := l.inheritance(h)
	if i == nil || len(l.records)+len(h.Records) > l.Capacity {
		return
	}
	for _, r := range h.Records {
		if o := l.records[r.ID]; o == nil || o.State == Free {
			l.put(&r)
		}
	}
	i.parts[h.Part] = true
}

func (l *Ledger) inheritance(h Handover) *inheritance {
	if h.Parts < 1 || h.Parts > maxParts || h.Part < 0 || h.Part >= h.Parts {
		return nil
	}
	if l.heirs == nil {
		l.heirs = make(map[pabundle.EntryName]*inheritance)
	}
	i := l.heirs[h.From]
	if i == nil || i.incarnation < h.Incarnation {
		i = &inheritance{h.Incarnation, make([]bool, h.Parts), h.Since, h.Successors}
		l.heirs[h.From] = i
	}
	if i.incarnation > h.Incarnation || len(i.parts) != h.Parts {
		return nil
	}
	return i
}

// covers says whether all that the predecessor knew of the key is here.
//
// Guards against two entry VMs that shut down one after the other: the first gives a key's record to
// the second, which leaves before it arrives. It shows as a second run at a third one that has had
// its own, complete part. The guard holds because that part counts only for the keys meant for it.
func (i *inheritance) covers(id ID, self pabundle.EntryName) bool {
	return i != nil && !slices.Contains(i.parts, false) && Keeper(id, i.successors) == self
}

// whole says whether it covers every key that self keeps among the members.
func (i *inheritance) whole(self pabundle.EntryName, members []pabundle.EntryName) bool {
	if i == nil || slices.Contains(i.parts, false) || !slices.Contains(i.successors, self) {
		return false
	}
	for _, n := range i.successors {
		if !slices.Contains(members, n) {
			return false
		}
	}
	return true
}
