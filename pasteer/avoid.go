package pasteer

import "time"

// Targets that turn requests away although they have free slots, and name no time, may turn away a part of them or all. A part is
// best answered by another attempt at the same target, which is warm for the object. Of one that turned away several in a row, the
// requests go to other targets, but for one now and then.

const (
	// shedsToAvoid is how many requests in a row a target turns away until others are preferred to it. Where a target turns away half
	// of them that is one case in eight.
	shedsToAvoid = 3
	// minAvoidTime is how long others are preferred at first; the time doubles with each further request that is turned away.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 2 * time.Second
)

// countShed counts a request that the target turned away although it had a free slot.
func (t *target) countShed(now time.Time) {
	t.shedStreak++
	further := t.shedStreak - shedsToAvoid
	if further >= 0 {
		t.avoidUntil = now.Add(min(maxAvoidTime, minAvoidTime<<min(further, 4)))
	}
	if further <= 0 {
		// While it is avoided the rate would only delay its return.
		t.errors.add(1, now)
	}
}

// endShedStreak records that the target ran a request.
func (t *target) endShedStreak() { t.shedStreak, t.avoidUntil = 0, time.Time{} }

// startInShedStreak records that a request is sent to the target: further ones wait for its response.
func (t *target) startInShedStreak(now time.Time) {
	if t.shedStreak >= shedsToAvoid {
		t.avoidUntil = later(t.avoidUntil, now.Add(minAvoidTime))
	}
}

// isAvoided reports whether other targets are preferred to this one.
func (t *target) isAvoided(now time.Time) bool {
	return now.Before(t.avoidUntil) || now.Before(t.hintUntil)
}

// useAvoided makes the avoided candidates usable, where the others cannot serve a request: most requests fail then, but a target that
// turns away only a part would otherwise be lost as well.
func (l *shortlist) useAvoided() {
	for i := range l.all {
		l.all[i].usable = l.all[i].usable || l.all[i].avoided
	}
	l.usable, l.avoided = l.usable+l.avoided, 0
}

// PrefersAnother reports whether a request that the chosen target turned away is to be sent to another one now.
func (b *Balancer) PrefersAnother(c Choice, now time.Time) bool {
	t := b.targets[c.Target]
	return t != nil && t.isAvoided(now) && !c.Avoided
}
