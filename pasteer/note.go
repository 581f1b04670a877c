package pasteer

import (
	"time"

	"papayahead/pafleet"
)

const (
	// warmNotes is how many notes are kept for neighbours that ask for them. A neighbour that asks later than
	// these came misses the oldest, and learns of those objects when it meets them or when they are told again.
	warmNotes = 4096
	// noteStep is by how much a note must be later than the one before it on the same object and target to be
	// news: more than the times of one fact differ by the ways on which it comes.
	noteStep = 2 * time.Second
	// noteAgain is how long after a note the object is told again if it is still in use.
	noteAgain = warmLife / 2
	// toldMost bounds the notes remembered of a target.
	toldMost = 64
)

// noteLog is the notes for neighbours, in the order in which they became known here.
type noteLog struct {
	ring []datedNote
	last uint64
}

type datedNote struct {
	target, object string
	at             time.Time
}

func (l *noteLog) add(n datedNote) {
	if len(l.ring) < warmNotes {
		l.ring = append(l.ring, n)
	} else {
		l.ring[l.last%warmNotes] = n
	}
	l.last++
}

// after returns up to a number of notes that follow the one with the given number, and the number of the last returned.
func (l *noteLog) after(last uint64, most int, now time.Time) ([]pafleet.WarmNote, uint64) {
	first := min(last, l.last)
	if last > l.last || l.last-first > uint64(len(l.ring)) {
		first = l.last - uint64(len(l.ring))
	}
	end := min(l.last, first+uint64(max(0, most)))
	var all []pafleet.WarmNote
	for i := first; i < end; i++ {
		n := l.ring[i%warmNotes]
		all = append(all, pafleet.WarmNote{Target: n.target, Object: n.object, Age: max(0, now.Sub(n.at))})
	}
	return all, end
}

// WarmNotes returns up to a number of notes after one whose number was returned before, and the number of the last.
func (s *Balancer) WarmNotes(after uint64, most int, now time.Time) ([]pafleet.WarmNote, uint64) {
	return s.notes.after(after, most, now)
}

// ApplyNotes takes a neighbour's notes and keeps those that are news for other neighbours.
//
// Load: more objects than targets keep warm, so that notes are many. Harm prevented: a note that came late, on an
// object that was pushed out meanwhile, was news again, and went round among neighbours without end.
func (s *Balancer) ApplyNotes(all []pafleet.WarmNote, now time.Time) {
	if s.Config.Off.Notes {
		return
	}
	for _, n := range all {
		t := s.targets[n.Target]
		if t == nil || n.Object == "" {
			continue
		}
		t.used = true
		at := now.Add(-min(max(0, n.Age), warmLife))
		if s.hear(t, n.Object, at) {
			s.notes.add(datedNote{n.Target, n.Object, at})
		}
	}
}

// keptAge is the age that what was kept is taken to have: more than that of what neighbours tell.
const keptAge = 10 * time.Second

// ApplyStoredNotes takes what was kept of warm objects, which all entry VMs read for themselves.
func (s *Balancer) ApplyStoredNotes(all []pafleet.WarmNote, now time.Time) {
	if s.Config.Off.KeptNotes {
		return
	}
	for _, n := range all {
		if t := s.targets[n.Target]; t != nil && n.Object != "" {
			s.hear(t, n.Object, now.Add(-keptAge))
		}
	}
}

// hear remembers that the target handled the object at a time, and says whether that is news.
func (s *Balancer) hear(t *target, object string, at time.Time) bool {
	key := hashOf(t.member.Service, object)
	if told, ok := t.warm.told[key]; ok && at.Sub(told) < noteStep {
		return false
	}
	t.warm.tell(key, at)
	return s.remember(t, key, object, at)
}

// noteUse remembers that the target handles the object now, and keeps it for neighbours if it is news.
func (s *Balancer) noteUse(t *target, object string, now time.Time) {
	if object == "" {
		return
	}
	key := hashOf(t.member.Service, object)
	known := t.warm.has(key, now)
	s.remember(t, key, object, now)
	since := now.Sub(t.warm.told[key])
	if since < noteStep || known && since < noteAgain {
		return
	}
	t.warm.tell(key, now)
	s.notes.add(datedNote{t.member.ID, object, now})
}
