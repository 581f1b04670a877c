package pasteer

import "time"

// LimitNote is what entry VMs tell each other of a target's limit.
type LimitNote struct {
	Target string
	// Born identifies the lifetime of the target.
	Born int64
	// Limited says that the target names a limit, PerSecond its rate; otherwise it named one before and does not any more.
	Limited   bool
	PerSecond float64
	// Age is how long ago an entry VM had a response that said so.
	Age time.Duration
}

// LimitNotes returns up to count notes that follow the one numbered after, and the number of the last one returned.
func (b *Balancer) LimitNotes(after uint64, count int, now time.Time) ([]LimitNote, uint64) {
	if after > b.limitSeq {
		after = 0 // It is of an earlier process.
	}
	var ids []lifetime
	for id, t := range b.targets {
		if t.limit.seq > after && now.Sub(t.limit.observedAt) < limitTTL {
			ids = append(ids, lifetime{id, t.state.Born})
		}
	}
	ids, last := notesAfter(ids, func(id lifetime) uint64 { return b.targets[id.target].limit.seq }, after, b.limitSeq, count)
	notes := make([]LimitNote, 0, len(ids))
	for _, id := range ids {
		l := b.targets[id.target].limit
		notes = append(notes, LimitNote{
			Target: id.target, Born: id.born, Limited: l.limited, PerSecond: l.perSecond, Age: max(0, now.Sub(l.observedAt)),
		})
	}
	return notes, last
}

// ApplyLimitNotes takes a neighbour's notes.
func (b *Balancer) ApplyLimitNotes(all []LimitNote, now time.Time) {
	for _, n := range all {
		t := b.targets[n.Target]
		at := now.Add(-max(0, n.Age))
		if t == nil || t.state.Born != n.Born || !ValidLimit(n.PerSecond) || !at.After(t.limit.observedAt) {
			continue
		}
		if n.Limited && t.unlimitedAt.After(at) {
			continue
		}
		if n.Limited || t.limit.limited {
			b.setLimit(t, n.Limited, n.PerSecond, at, now)
		}
	}
}
