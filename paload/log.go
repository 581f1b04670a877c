package paload

import (
	"cmp"
	"slices"
	"time"
)

// Log holds the latest note on each target for neighbours, numbered in the order in which this entry VM had them; the zero value is
// ready for use.
type Log struct {
	notes   map[uint32]loggedNote
	lastSeq uint64
	// Added and Received count this entry VM's own notes and the new ones of neighbours.
	Added, Received uint64
}

type loggedNote struct {
	note Note
	at   time.Time
	seq  uint64
	own  bool
}

// Add logs a note; own is whether this entry VM had the response itself.
func (l *Log) Add(n Note, own bool, now time.Time) {
	if l.notes == nil {
		l.notes = map[uint32]loggedNote{}
	}
	l.lastSeq++
	l.notes[n.Key] = loggedNote{note: n, at: now.Add(-n.Age), seq: l.lastSeq, own: own}
	if own {
		l.Added++
	} else {
		l.Received++
	}
}

// Remove drops the note on a lifetime that ended.
func (l *Log) Remove(key uint32) { delete(l.notes, key) }

// After returns up to count notes that follow the one numbered after, and the number of the last one returned. Notes of other entry
// VMs are among them if relayed is set. A number above the latest is of an earlier process.
func (l *Log) After(after uint64, count int, relayed bool, now time.Time) ([]Note, uint64) {
	if after > l.lastSeq {
		after = 0
	}
	var found []loggedNote
	for _, n := range l.notes {
		if n.seq > after && (n.own || relayed) && now.Sub(n.at) <= maxNoteAge {
			found = append(found, n)
		}
	}
	slices.SortFunc(found, func(a, b loggedNote) int { return cmp.Compare(a.seq, b.seq) })
	last := l.lastSeq
	if len(found) > max(0, count) {
		found = found[:max(0, count)]
		last = after
		if len(found) > 0 {
			last = found[len(found)-1].seq
		}
	}
	notes := make([]Note, 0, len(found))
	for _, n := range found {
		n.note.Age = max(0, now.Sub(n.at))
		notes = append(notes, n.note)
	}
	return notes, last
}
