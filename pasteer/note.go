package pasteer

import (
	"time"

	"papayahead/pafleet"
	"papayahead/pahash"
)

const (
	// maxNotes is how many notes are kept for neighbours to fetch. A neighbour that fetches too late misses the oldest
	// ones; it learns of those objects from its own requests, or when they are logged again.
	maxNotes = 4096
	// minNoteAdvance is how much later than the previous note on the same object and target a note must be to count as
	// new. It exceeds the differences in time with which one note arrives by several paths.
	minNoteAdvance = 2 * time.Second
	// noteRepeatInterval is how long after a note an object that is still in use is logged again.
	noteRepeatInterval = warmTTL / 2
	// maxNotedTimes is how many objects of a target have the time of their latest note remembered.
	maxNotedTimes = 64
)

// noteLog is a ring buffer of notes that neighbours fetch, in the order in which this entry VM learned of them. The zero
// value is ready for use.
type noteLog struct {
	ring []loggedNote
	// lastSeq is the sequence number of the latest note; the first one has 1.
	lastSeq uint64
}

// loggedNote is a note that a target handled an object at a time.
type loggedNote struct {
	target, object string
	at             time.Time
	// own is set if this entry VM sent the request, rather than a neighbour.
	own bool
}

// add appends a note, replacing the oldest one if the buffer is full.
func (l *noteLog) add(n loggedNote) {
	if len(l.ring) < maxNotes {
		l.ring = append(l.ring, n)
	} else {
		l.ring[l.lastSeq%maxNotes] = n
	}
	l.lastSeq++
}

// after returns up to limit notes that follow the one with sequence number seq, and the number of the last one returned.
// A number above lastSeq is from an earlier process and returns the oldest notes.
// It leaves out this entry VM's own notes for which isLost returns true.
func (l *noteLog) after(seq uint64, limit int, now time.Time, isLost func(loggedNote) bool) ([]pafleet.WarmNote, uint64) {
	first := min(seq, l.lastSeq)
	if seq > l.lastSeq || l.lastSeq-first > uint64(len(l.ring)) {
		first = l.lastSeq - uint64(len(l.ring))
	}
	end := min(l.lastSeq, first+uint64(max(0, limit)))
	var all []pafleet.WarmNote
	for i := first; i < end; i++ {
		n := l.ring[i%maxNotes]
		if n.own && isLost(n) {
			continue
		}
		all = append(all, pafleet.WarmNote{Target: n.target, Object: n.object, Age: max(0, now.Sub(n.at))})
	}
	return all, end
}

// WarmNotes returns up to limit notes that follow the one numbered after, and the number of the last one returned. The
// caller passes the number that the previous call returned, or 0.
func (b *Balancer) WarmNotes(after uint64, limit int, now time.Time) ([]pafleet.WarmNote, uint64) {
	return b.notes.after(after, limit, now, b.notedWithoutReach)
}

// notedWithoutReach reports whether a note is on a target to which no connection could be opened since.
//
// The note is logged when the request is sent. Neighbours would send the object's requests to that target, and run it cold.
func (b *Balancer) notedWithoutReach(n loggedNote) bool {
	t := b.targets[n.target]
	return t != nil && !t.path.lostSince.IsZero() && !n.at.Before(t.path.reachedAt)
}

// ApplyNotes applies a neighbour's notes and logs the new ones for other neighbours.
//
// With more objects than targets keep warm, a late note on an object that was evicted meanwhile counted as new and
// circulated among the neighbours without end. So a note counts as new only if it is minNoteAdvance later than the latest
// one known, even if the object was evicted.
func (b *Balancer) ApplyNotes(all []pafleet.WarmNote, now time.Time) {
	if b.Config.Off.Notes {
		return
	}
	for _, n := range all {
		t := b.targets[n.Target]
		if t == nil || n.Object == "" {
			continue
		}
		t.used = true
		at := now.Add(-min(max(0, n.Age), warmTTL))
		if b.applyNote(t, n.Object, at) {
			b.notes.add(loggedNote{target: n.Target, object: n.Object, at: at})
		}
	}
}

// storedNoteAge is the assumed age of notes from the store; it exceeds the usual age of neighbours' notes, which
// therefore take precedence.
const storedNoteAge = 10 * time.Second

// ApplyStoredNotes applies the notes that the store holds. It does not log them for neighbours, since every entry VM reads
// the store itself.
func (b *Balancer) ApplyStoredNotes(all []pafleet.WarmNote, now time.Time) {
	if b.Config.Off.KeptNotes {
		return
	}
	for _, n := range all {
		if t := b.targets[n.Target]; t != nil && n.Object != "" {
			b.applyNote(t, n.Object, now.Add(-storedNoteAge))
		}
	}
}

// applyNote records that the target handled the object at the given time, and reports whether that is new.
func (b *Balancer) applyNote(t *target, object string, at time.Time) bool {
	key := pahash.Pair(t.state.Service, object)
	if latest, ok := t.warm.notedAt[key]; ok && at.Sub(latest) < minNoteAdvance {
		return false
	}
	t.warm.setNoted(key, at)
	return b.addWarm(t, key, object, at)
}

// recordUse records that the target handles the object now, and logs a note for neighbours if that is new.
func (b *Balancer) recordUse(t *target, object string, now time.Time) {
	if object == "" {
		return
	}
	key := pahash.Pair(t.state.Service, object)
	known := t.warm.has(key, now)
	b.addWarm(t, key, object, now)
	since := now.Sub(t.warm.notedAt[key])
	if since < minNoteAdvance || known && since < noteRepeatInterval {
		return
	}
	t.warm.setNoted(key, now)
	b.notes.add(loggedNote{target: t.state.ID, object: object, at: now, own: true})
}
