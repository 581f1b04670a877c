package pasteer

import (
	"time"

	"papayahead/pafleet"
)

const (
	// maxNotes is how many notes are kept for neighbours that ask for them. A neighbour that asks later than
	// these came misses the oldest, and learns of those objects when it meets them or when they are told again.
	maxNotes = 4096
	// minNoteAdvance is by how much a note must be later than the one before it on the same object and target to be
	// news: more than the times of one fact differ by the ways on which it comes.
	minNoteAdvance = 2 * time.Second
	// noteRepeatInterval is how long after a note the object is told again if it is still in use.
	noteRepeatInterval = warmTTL / 2
	// maxNotedTimes bounds the notes remembered of a target.
	maxNotedTimes = 64
)

// noteLog is the notes for neighbours, in the order in which they became known here.
type noteLog struct {
	ring    []loggedNote
	lastSeq uint64
}

type loggedNote struct {
	target, object string
	at             time.Time
}

func (l *noteLog) add(n loggedNote) {
	if len(l.ring) < maxNotes {
		l.ring = append(l.ring, n)
	} else {
		l.ring[l.lastSeq%maxNotes] = n
	}
	l.lastSeq++
}

// after returns up to a number of notes that follow the one with the given number, and the number of the last returned.
func (l *noteLog) after(seq uint64, limit int, now time.Time) ([]pafleet.WarmNote, uint64) {
	first := min(seq, l.lastSeq)
	if seq > l.lastSeq || l.lastSeq-first > uint64(len(l.ring)) {
		first = l.lastSeq - uint64(len(l.ring))
	}
	end := min(l.lastSeq, first+uint64(max(0, limit)))
	var all []pafleet.WarmNote
	for i := first; i < end; i++ {
		n := l.ring[i%maxNotes]
		all = append(all, pafleet.WarmNote{Target: n.target, Object: n.object, Age: max(0, now.Sub(n.at))})
	}
	return all, end
}

// WarmNotes returns up to a number of notes after one whose number was returned before, and the number of the last.
func (b *Balancer) WarmNotes(after uint64, limit int, now time.Time) ([]pafleet.WarmNote, uint64) {
	return b.notes.after(after, limit, now)
}

// ApplyNotes takes a neighbour's notes and keeps those that are news for other neighbours.
//
// Load: more objects than targets keep warm, so that notes are many. Harm prevented: a note that came late, on an
// object that was pushed out meanwhile, was news again, and went round among neighbours without end.
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
			b.notes.add(loggedNote{n.Target, n.Object, at})
		}
	}
}

// storedNoteAge is the age that what was kept is taken to have: more than that of what neighbours tell.
const storedNoteAge = 10 * time.Second

// ApplyStoredNotes takes what was kept of warm objects, which all entry VMs read for themselves.
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

// applyNote remembers that the target handled the object at a time, and says whether that is news.
func (b *Balancer) applyNote(t *target, object string, at time.Time) bool {
	key := hashPair(t.member.Service, object)
	if told, ok := t.warm.notedAt[key]; ok && at.Sub(told) < minNoteAdvance {
		return false
	}
	t.warm.setNoted(key, at)
	return b.addWarm(t, key, object, at)
}

// recordUse remembers that the target handles the object now, and keeps it for neighbours if it is news.
func (b *Balancer) recordUse(t *target, object string, now time.Time) {
	if object == "" {
		return
	}
	key := hashPair(t.member.Service, object)
	known := t.warm.has(key, now)
	b.addWarm(t, key, object, now)
	since := now.Sub(t.warm.notedAt[key])
	if since < minNoteAdvance || known && since < noteRepeatInterval {
		return
	}
	t.warm.setNoted(key, now)
	b.notes.add(loggedNote{t.member.ID, object, now})
}
