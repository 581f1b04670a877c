package pasteer

import (
	"cmp"
	"slices"
	"time"

	"papayahead/pafleet"
)

const (
	// maxWarm is how many objects are remembered of a target; targets keep about 25 warm.
	maxWarm = 25
	// warmTTL is how long a target is taken to keep an object warm that nobody asked for.
	warmTTL = 30 * time.Second
)

// warmSet is the objects that a target handled last, by their keys. The zero value is ready.
type warmSet struct {
	// uses is when each of them was handled last, as far as is known.
	uses map[uint64]objectUse
	// notedAt is the time of the latest note on an object. It outlives seen, so that a late note is no news.
	notedAt map[uint64]time.Time
}

// objectUse is the last time that a target handled an object.
type objectUse struct {
	object string
	at     time.Time
}

func (w *warmSet) has(key uint64, now time.Time) bool {
	u, ok := w.uses[key]
	return ok && now.Sub(u.at) < warmTTL
}

// put remembers the object as one of those that were handled last, and returns the key of the one that is pushed out
// for it, or 0.
func (w *warmSet) put(key uint64, object string, at time.Time) (evicted uint64) {
	if w.uses == nil {
		w.uses = map[uint64]objectUse{}
	}
	w.uses[key] = objectUse{object, later(w.uses[key].at, at)}
	if len(w.uses) <= maxWarm {
		return 0
	}
	evicted = key
	for k, u := range w.uses {
		if u.at.Before(w.uses[evicted].at) {
			evicted = k
		}
	}
	delete(w.uses, evicted)
	return evicted
}

func (w *warmSet) setNoted(key uint64, at time.Time) {
	if w.notedAt == nil {
		w.notedAt = map[uint64]time.Time{}
	}
	w.notedAt[key] = at
	if len(w.notedAt) <= maxNotedTimes {
		return
	}
	oldest := key
	for k, u := range w.notedAt {
		if u.Before(w.notedAt[oldest]) {
			oldest = k
		}
	}
	delete(w.notedAt, oldest)
}

// addWarm notes that the target handled the object at a time, and says whether it is one of those handled last.
func (b *Balancer) addWarm(t *target, key uint64, object string, at time.Time) bool {
	_, known := t.warm.uses[key]
	evicted := t.warm.put(key, object, at)
	if evicted == key {
		return false
	}
	if evicted != 0 {
		b.removeWarmTarget(t, evicted)
	}
	if !known {
		b.warmTargets[key] = append(b.warmTargets[key], t)
	}
	return true
}

// removeWarmTarget notes that the target no longer is one where the object is warm.
func (b *Balancer) removeWarmTarget(t *target, key uint64) {
	all := slices.DeleteFunc(b.warmTargets[key], func(o *target) bool { return o == t })
	if b.warmTargets[key] = all; len(all) == 0 {
		delete(b.warmTargets, key)
	}
}

// clearWarm drops what is known of warm objects at a target.
func (b *Balancer) clearWarm(t *target) {
	for key := range t.warm.uses {
		b.removeWarmTarget(t, key)
	}
	t.warm = warmSet{}
}

// WarmObjects returns what is warm now at targets that may be used, at most a number of notes, and the number of the last note
// that WarmNotes returns, which grows with each change. First come the objects that moved: others are found
// where they are without a note. Of each kind the latest come first.
func (b *Balancer) WarmObjects(limit int, now time.Time) ([]pafleet.WarmNote, uint64) {
	type entry struct {
		note      pafleet.WarmNote
		displaced int
	}
	var all []entry
	for id, t := range b.targets {
		for key, u := range t.warm.uses {
			if age := now.Sub(u.at); !t.excluded && age < warmTTL {
				all = append(all, entry{pafleet.WarmNote{Target: id, Object: u.object, Age: age}, b.displaced(t, key)})
			}
		}
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(b.displaced, a.displaced), cmp.Compare(a.note.Age, b.note.Age),
			cmp.Compare(a.note.Target, b.note.Target), cmp.Compare(a.note.Object, b.note.Object),
		)
	})
	notes := make([]pafleet.WarmNote, 0, min(limit, len(all)))
	for _, n := range all[:min(limit, len(all))] {
		notes = append(notes, n.note)
	}
	return notes, b.notes.lastSeq
}

// displaced is 1 where the target is not the first of the object's ranking, and 0 where it is.
func (b *Balancer) displaced(t *target, key uint64) int {
	svc := b.services[t.member.Service]
	if svc == nil {
		return 0
	}
	top := svc.rankings.get(key, svc.targets)
	if len(top) > 0 && top[0].target == t {
		return 0
	}
	return 1
}

const (
	// runTimeWeight is the weight of the latest run in the expected time of a route's work, and workMost how many times the
	// expected time it counts for at the most: it may have waited.
	runTimeWeight    = 0.2
	maxRunTimeFactor = 2
)

// runTimes is how long the work of a route takes.
type runTimes struct {
	warm, cold time.Duration
}

// of returns the time of a warm or cold run, 0 where none was seen.
func (w *runTimes) of(warm bool) time.Duration {
	if warm {
		return w.warm
	}
	return w.cold
}

func (w *runTimes) add(warm bool, duration time.Duration) {
	average := &w.cold
	if warm {
		average = &w.warm
	}
	if *average == 0 {
		*average = duration
		return
	}
	*average += time.Duration(runTimeWeight * float64(min(duration, maxRunTimeFactor**average)-*average))
}

func (b *Balancer) runTimesOf(route string) *runTimes {
	w := b.runTimes[route]
	if w == nil {
		w = &runTimes{}
		b.runTimes[route] = w
	}
	return w
}

// defaultWarmRatio is the part of a cold run's time that a warm one is taken to need before any was seen.
const defaultWarmRatio = 0.4

// expectedRun returns how long the work takes at a target, as far as is known.
func (b *Balancer) expectedRun(q Request, warm bool) time.Duration {
	w := b.runTimesOf(q.Route.Name)
	cold := w.cold
	if cold == 0 {
		cold = q.Route.TargetLatency
	}
	switch {
	case !warm:
		return cold
	case w.warm > 0:
		return min(w.warm, cold)
	}
	return time.Duration(defaultWarmRatio * float64(cold))
}
