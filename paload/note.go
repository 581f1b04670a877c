package paload

import (
	"math"
	"time"
)

// Note is what entry VMs tell each other of a target.
type Note struct {
	// Key identifies the lifetime of the target.
	Key uint32
	// Load is how many requests of all entry VMs were there.
	Load float64
	// Slowness is the factor that the target reported; 0 if it reported none.
	Slowness float64
	// Age is how long ago an entry VM had the response.
	Age time.Duration
}

const (
	// maxNoteAge is the age at which a note is of no use: queues have changed entirely.
	maxNoteAge = 3 * time.Second
	// minAdvance is how much later than what is known a note must be to count as new. It exceeds the differences with which one
	// note arrives by several paths, so that none circulates without end.
	minAdvance = 150 * time.Millisecond
	// maxLoadPerSlot bounds the load that is believed; targets refuse requests long before.
	maxLoadPerSlot = 32
	// minSlowness and maxSlowness bound the slowness that is believed.
	minSlowness, maxSlowness = 0.01, 100
	// noticeable is the difference in load per slot that changes decisions: half a run's wait. noticeableSlowness is the same for
	// slowness.
	noticeable         = 0.5
	noticeableSlowness = 0.3
)

// IsValid reports whether a target with so many slots can be as the note says.
func (n Note) IsValid(slots float64) bool {
	return n.Load >= 0 && n.Load <= maxLoadPerSlot*max(1, slots) && n.Age >= 0 && n.Age <= maxNoteAge &&
		(n.Slowness == 0 || n.Slowness >= minSlowness && n.Slowness <= maxSlowness) && !math.IsNaN(n.Load+n.Slowness)
}

// Apply takes a neighbour's note on this lifetime of the target, and reports whether it is new. own is how many requests of this entry
// VM were at the target when the note was true.
func (b *Belief) Apply(n Note, own, slots float64, now time.Time) bool {
	at := now.Add(-n.Age)
	if !n.IsValid(slots) || !b.otherAt.IsZero() && at.Sub(b.otherAt) < minAdvance {
		return false
	}
	b.set(n.Load-own, at)
	if n.Slowness > 0 && at.After(b.slowAt) {
		b.slowness, b.slowAt = n.Slowness, at
	}
	b.lastNote = advertised{load: n.Load, slowness: b.slowness, at: at}
	return true
}

// Advertise reports whether to send neighbours a note on the load that was just observed, and if so records it as sent. A load that they
// expect anyway, by the latest note and the average load, needs none.
func (b *Belief) Advertise(m *Model, load, slots float64, now time.Time) bool {
	if !b.lastNote.at.IsZero() && now.Sub(b.lastNote.at) < minAdvance {
		return false
	}
	expected, slow := b.expectAdvertised(m, slots, now)
	reported := b.SlownessAt(now)
	if abs(queueTime(expected, slots)-queueTime(load, slots)) < noticeable && (reported == 0 || abs(reported-slow) < noticeableSlowness) {
		return false
	}
	b.lastNote = advertised{load: load, slowness: reported, at: now}
	return true
}

// expectAdvertised estimates the load and slowness that neighbours expect by the latest note.
func (b *Belief) expectAdvertised(m *Model, slots float64, now time.Time) (load, slowness float64) {
	if b.lastNote.at.IsZero() {
		return 0, 1
	}
	return b.expect(m, b.lastNote.load, b.lastNote.at, slots, now), fade(b.lastNote.slowness, now.Sub(b.lastNote.at), m.slowLife())
}

// queueTime is the time in runs that the next request waits. It is 0 at any target with a free slot, whatever its load.
func queueTime(load, slots float64) float64 { return max(0, load+1-slots) / max(1, slots) }
