package paload

import (
	"math"
	"time"
)

// Belief is what is believed of one lifetime of a target; the zero value knows nothing.
type Belief struct {
	// others is how many requests of other entry VMs were there at otherAt, by the latest response that is known.
	others  float64
	otherAt time.Time
	// average is a moving average of others over averageLife.
	average float64
	// slowness is the factor that the target reported at slowAt; 0 if it reported none.
	slowness float64
	slowAt   time.Time
	// lastNote is the latest note on the target that neighbours have or will get.
	lastNote advertised
}

// advertised is a load of all entry VMs and a slowness that neighbours know, and since when.
type advertised struct {
	load, slowness float64
	at             time.Time
}

const (
	// averageLife is the time over which the load of a target is averaged: several runs, and less than a burst.
	averageLife = 5 * time.Second
	// unheardLife is the time in which the average load is forgotten if nothing is heard of the target: it is then hardly used.
	unheardLife = 10 * time.Second
	// defaultRun is the time of a run before the first one.
	defaultRun = 500 * time.Millisecond
)

// Others estimates how many requests of other entry VMs are at the target. The observed requests leave
// in about the time that the queue takes, and the average load takes their place.
func (b *Belief) Others(m *Model, slots float64, now time.Time) float64 {
	if b.otherAt.IsZero() {
		return 0
	}
	return b.expect(m, b.others, b.otherAt, slots, now)
}

// expect estimates the load at a time from one that was there before.
func (b *Belief) expect(m *Model, others float64, at time.Time, slots float64, now time.Time) float64 {
	age := max(0, now.Sub(at))
	left := decay(age, m.queueLife(others, slots))
	return others*left + b.average*decay(age, unheardLife)*(1-left)
}

// Remaining estimates how many of the requests of other entry VMs that were last observed at the target are still there. Unlike Others
// it counts none that may have come since: a request is not refused because of those.
func (b *Belief) Remaining(m *Model, slots float64, now time.Time) float64 {
	if b.otherAt.IsZero() {
		return 0
	}
	return b.others * decay(max(0, now.Sub(b.otherAt)), m.queueLife(b.others, slots))
}

// Age returns how old the latest load is, and whether there is one.
func (b *Belief) Age(now time.Time) (age time.Duration, known bool) {
	return max(0, now.Sub(b.otherAt)), !b.otherAt.IsZero()
}

// IsFresh reports whether the load is still closer to the last one observed than to the average.
func (b *Belief) IsFresh(m *Model, slots float64, now time.Time) bool {
	age, known := b.Age(now)
	return known && decay(age, m.queueLife(b.others, slots)) >= 0.5
}

// Slowness returns the factor by which work takes longer at the target, which tends to 1 as fast as reported values change.
func (b *Belief) Slowness(m *Model, now time.Time) float64 {
	return fade(b.slowness, now.Sub(b.slowAt), m.slowLife())
}

// fade returns what is left of a slowness that was reported some time ago; 1 if none was.
func fade(slowness float64, age, life time.Duration) float64 {
	if slowness == 0 {
		return 1
	}
	return 1 + (slowness-1)*decay(max(0, age), life)
}

// Observe takes how many requests of other entry VMs are at the target by a response that this entry VM just had. Like a note, a response
// cannot take the target out of use for long by a load that is out of all proportion.
func (b *Belief) Observe(others, slots float64, now time.Time) {
	b.set(min(others, maxLoadPerSlot*max(1, slots)), now)
}

// ObserveSlowness takes the slowness that such a response reported; 0 is none.
func (b *Belief) ObserveSlowness(m *Model, slowness float64, now time.Time) {
	if slowness <= 0 {
		return
	}
	m.learnSlowness(b.slowness, slowness, now.Sub(b.slowAt))
	b.slowness, b.slowAt = slowness, now
}

// SlownessAt returns the slowness that a response reported at that time; 0 if none did.
func (b *Belief) SlownessAt(at time.Time) float64 {
	if !b.slowAt.Equal(at) {
		return 0
	}
	return b.slowness
}

// set takes a load that is newer than the one known.
func (b *Belief) set(others float64, at time.Time) {
	others = max(0, others)
	if b.otherAt.IsZero() {
		b.average = others
	} else {
		b.average += (others - b.average) * (1 - decay(max(0, at.Sub(b.otherAt)), averageLife))
	}
	b.others, b.otherAt = others, at
}

// decay returns the part that is left after an age of what lasts for a mean life.
func decay(age, life time.Duration) float64 { return math.Exp(-float64(age) / float64(life)) }
