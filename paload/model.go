package paload

import "time"

// Model is what the targets of a service have in common: how long a run takes, and how long a reported slowness lasts. The zero value
// is ready for use.
type Model struct {
	run time.Duration
	// changes is how often two successive responses of a target reported a different slowness, and slowFor the sum of the times
	// between all such pairs of responses, changed or not. Both halve at maxChanges, so that the latest pairs count most.
	changes float64
	slowFor time.Duration
}

// runWeight is the weight of the latest run in the average.
const runWeight = 0.05

// ObserveRun takes the usual time of a run that a target answered.
func (m *Model) ObserveRun(took time.Duration) {
	if took <= 0 {
		return
	}
	if m.run == 0 {
		m.run = took
	}
	m.run += time.Duration(runWeight * float64(took-m.run))
}

// queueLife is about the time in which the slots of a target get requests done that are there: at least a run.
func (m *Model) queueLife(load, slots float64) time.Duration {
	run := m.run
	if run == 0 {
		run = defaultRun
	}
	return time.Duration(max(1, load/max(1, slots)) * float64(run))
}

const (
	// defaultSlowLife is how long slowness lasts until successive responses have told: about a run, so that it counts for the
	// requests that are sent on it and for few others.
	defaultSlowLife = 500 * time.Millisecond
	minSlowLife     = 50 * time.Millisecond
	maxSlowLife     = 10 * time.Second
	// maxSlowGap is the longest time between two responses that tells of slowness; in a longer one it may change twice.
	maxSlowGap = 2 * time.Second
	// maxChanges bounds how many changes count, so that later ones count more.
	maxChanges = 64
	// defaultChanges is how many changes the default counts for.
	defaultChanges = 2
	// normalSlowness is up to what distance from 1 work is as fast as usual, and sameSlowness the largest difference of two values
	// that are the same. A target that is as usual mostly stays so, which says nothing of how long slowness lasts.
	normalSlowness = 0.1
	sameSlowness   = 0.1
)

// learnSlowness takes the slowness that two successive responses of a target told, and the time between them.
func (m *Model) learnSlowness(before, after float64, gap time.Duration) {
	if before == 0 || abs(before-1) <= normalSlowness || gap <= 0 || gap > maxSlowGap {
		return
	}
	m.slowFor += gap
	if abs(after-before) > sameSlowness {
		m.changes++
	}
	if m.changes > maxChanges {
		m.changes, m.slowFor = m.changes/2, m.slowFor/2
	}
}

// slowLife is how long a reported slowness lasts.
func (m *Model) slowLife() time.Duration {
	life := (m.slowFor + defaultChanges*defaultSlowLife).Seconds() / (m.changes + defaultChanges)
	return min(max(time.Duration(life*float64(time.Second)), minSlowLife), maxSlowLife)
}

func abs(x float64) float64 { return max(x, -x) }
