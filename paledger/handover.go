package paledger

import (
	"slices"
	"time"

	"papayahead/pabundle"
)

// maxRecords bounds the records of one part of a handover, which keeps a part well under a megabyte
// for keys of ordinary length.
const maxRecords = 1000

// maxParts bounds the parts of a handover to one successor.
const maxParts = 10000

// maxSuccessors bounds the successors named in a handover.
const maxSuccessors = 512

// Handover is one part of the records that a keeper hands over to one successor when it shuts down.
type Handover struct {
	From        pabundle.EntryName
	Incarnation uint64
	// Part counts from 0 to Parts-1; the handover takes effect when all parts have arrived.
	Part, Parts int
	// Since is the time since when the sender's records are complete.
	Since time.Time
	// Successors are all entry VMs among which the sender divided its keys.
	Successors []pabundle.EntryName
	Records    []Record
}

// receivedHandover is the state of a handover from one predecessor.
type receivedHandover struct {
	incarnation uint64
	parts       []bool
	since       time.Time
	successors  []pabundle.EntryName
}

// Retire stops this ledger from granting keys for good and returns the handovers for each successor.
// The successors are the members without this entry VM. Each gets at least one part, which may be empty.
func (l *Ledger) Retire(now time.Time, successors []pabundle.EntryName) map[pabundle.EntryName][]Handover {
	l.Tick(now)
	l.retired = true
	bySuccessor := make(map[pabundle.EntryName][]Record)
	for _, n := range successors {
		bySuccessor[n] = nil
	}
	for id, r := range l.records {
		if n := Keeper(id, successors); n != "" {
			bySuccessor[n] = append(bySuccessor[n], *r)
		}
	}
	since := l.MemorySince()
	out := make(map[pabundle.EntryName][]Handover, len(bySuccessor))
	for n, records := range bySuccessor {
		slices.SortFunc(records, func(a, b Record) int { return a.ChangedAt.Compare(b.ChangedAt) })
		parts := max(1, (len(records)+maxRecords-1)/maxRecords)
		for p := range parts {
			from, to := p*maxRecords, min((p+1)*maxRecords, len(records))
			out[n] = append(out[n], Handover{l.Self, l.Incarnation, p, parts, since, successors, records[from:to]})
		}
	}
	return out
}

// AcceptHandover adds a part of a predecessor's records. Own records stay, except those in state Free. A
// part that exceeds the capacity is ignored, so the handover stays incomplete and requests for the
// predecessor's keys are refused as too old.
func (l *Ledger) AcceptHandover(now time.Time, h Handover) {
	l.Tick(now)
	i := l.handoverFrom(h)
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

func (l *Ledger) handoverFrom(h Handover) *receivedHandover {
	if h.Parts < 1 || h.Parts > maxParts || h.Part < 0 || h.Part >= h.Parts {
		return nil
	}
	if l.handovers == nil {
		l.handovers = make(map[pabundle.EntryName]*receivedHandover)
	}
	i := l.handovers[h.From]
	if i == nil || i.incarnation < h.Incarnation {
		i = &receivedHandover{h.Incarnation, make([]bool, h.Parts), h.Since, h.Successors}
		l.handovers[h.From] = i
	}
	if i.incarnation > h.Incarnation || len(i.parts) != h.Parts {
		return nil
	}
	return i
}

// covers reports whether this ledger has everything that the predecessor knew about the key.
//
// A complete handover counts only for the keys assigned to this VM. Otherwise, when two entry VMs shut
// down one after the other, the first could hand a key's record to the second, which leaves before it
// arrives, and a third VM that has its own complete handover would run the key again.
func (i *receivedHandover) covers(id ID, self pabundle.EntryName) bool {
	return i != nil && !slices.Contains(i.parts, false) && Keeper(id, i.successors) == self
}

// coversAll reports whether the handover covers every key whose keeper among the members is self.
func (i *receivedHandover) coversAll(self pabundle.EntryName, members []pabundle.EntryName) bool {
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
