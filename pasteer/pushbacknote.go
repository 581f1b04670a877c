package pasteer

import "time"

// A pushback is this entry VM's own. To others it is a hint that the target may turn them away as well: they prefer other targets for
// a moment, unless it has just run a request of theirs, and use it before they refuse a request. It answers the load of many entry VMs
// that have few requests each: until each has been turned away itself, most of what they send goes to targets that want nothing.

// PushbackNote is what entry VMs tell each other of a target that asked for no requests.
type PushbackNote struct {
	Target string
	// Born identifies the lifetime of the target.
	Born int64
	// Age is how long ago it asked an entry VM, Left how much longer it wants no requests from that one.
	Age, Left time.Duration
}

// hint is the latest note on a target, of this entry VM or another one.
type hint struct {
	askedAt, until time.Time
	// seq numbers it among the notes that neighbours fetch.
	seq uint64
}

const (
	// maxHintTime bounds how long other targets are preferred because of a note: the target may take requests of this entry VM.
	maxHintTime = 2 * time.Second
	// minHintAdvance is how much later than the note before a note must end to count as new: entry VMs are turned away one after the
	// other.
	minHintAdvance = time.Second
)

// addHint keeps a note for neighbours, and reports whether it is new.
func (b *Balancer) addHint(id lifetime, askedAt, until time.Time) bool {
	known := b.hints[id]
	if until.Sub(known.until) < minHintAdvance {
		return false
	}
	b.hintSeq++
	b.hints[id] = hint{askedAt: askedAt, until: until, seq: b.hintSeq}
	return true
}

// expireHints drops notes that are over.
func (b *Balancer) expireHints(now time.Time) {
	for id, h := range b.hints {
		if !now.Before(h.until) {
			delete(b.hints, id)
		}
	}
}

// PushbackNotes returns up to count notes that follow the one numbered after, and the number of the last one returned.
func (b *Balancer) PushbackNotes(after uint64, count int, now time.Time) ([]PushbackNote, uint64) {
	if after > b.hintSeq {
		after = 0 // It is of an earlier process.
	}
	var ids []lifetime
	for id, h := range b.hints {
		if h.seq > after && now.Before(h.until) {
			ids = append(ids, id)
		}
	}
	ids, last := notesAfter(ids, func(id lifetime) uint64 { return b.hints[id].seq }, after, b.hintSeq, count)
	notes := make([]PushbackNote, 0, len(ids))
	for _, id := range ids {
		h := b.hints[id]
		notes = append(notes, PushbackNote{Target: id.target, Born: id.born, Age: max(0, now.Sub(h.askedAt)), Left: h.until.Sub(now)})
	}
	return notes, last
}

// ApplyPushbackNotes takes a neighbour's notes.
func (b *Balancer) ApplyPushbackNotes(all []PushbackNote, now time.Time) {
	for _, n := range all {
		t, askedAt := b.targets[n.Target], now.Add(-max(0, n.Age))
		if t == nil || t.state.Born != n.Born || n.Left <= 0 || t.ranAt.After(askedAt) {
			continue
		}
		until := now.Add(min(n.Left, maxHintTime))
		if b.addHint(lifetime{n.Target, n.Born}, askedAt, until) {
			t.hintedAt, t.hintUntil = askedAt, until
		}
	}
}

// noteRun records that the target ran a request that was sent at a time: newer than a hint, it counts for more.
func (t *target) noteRun(sentAt time.Time) {
	t.ranAt = later(t.ranAt, sentAt)
	if sentAt.After(t.hintedAt) {
		t.hintUntil = time.Time{}
	}
}
