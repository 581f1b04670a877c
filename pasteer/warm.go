package pasteer

import (
	"cmp"
	"slices"
	"time"

	"papayahead/pafleet"
)

const (
	// maxWarm is how many objects are recorded as warm at a target; targets keep about 25 warm.
	maxWarm = 25
	// warmTTL is how long a target is presumed warm for an object after the last request for it.
	warmTTL = 30 * time.Second
)

// warmSet contains the objects that a target handled last, by their keys. The zero value is ready for use.
type warmSet struct {
	// uses holds the last known use of each object.
	uses map[uint64]objectUse
	// notedAt is the time of the latest note on an object. It is kept after the object is evicted from uses, so that a late
	// note does not count as new.
	notedAt map[uint64]time.Time
}

// objectUse records when a target last handled an object.
type objectUse struct {
	object string
	at     time.Time
}

// has reports whether the target is presumed warm for the object.
func (w *warmSet) has(key uint64, now time.Time) bool {
	u, ok := w.uses[key]
	return ok && now.Sub(u.at) < warmTTL
}

// put records a use of the object and returns the key of the object that is evicted, the least recently used one, or 0.
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

// setNoted records the time of the latest note on an object and drops the oldest time if there are too many.
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

// addWarm records that the target handled the object at the given time. It returns false if the target handled too many
// other objects after it.
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

// removeWarmTarget removes the target from those that are warm for the object.
func (b *Balancer) removeWarmTarget(t *target, key uint64) {
	all := slices.DeleteFunc(b.warmTargets[key], func(o *target) bool { return o == t })
	if b.warmTargets[key] = all; len(all) == 0 {
		delete(b.warmTargets, key)
	}
}

// clearWarm drops the records of warm objects at a target.
func (b *Balancer) clearWarm(t *target) {
	for key := range t.warm.uses {
		b.removeWarmTarget(t, key)
	}
	t.warm = warmSet{}
}

// WarmObjects returns up to limit notes on objects that are warm at targets that are not excluded, and the sequence number
// of the latest note in the log, which grows with each change. Objects that are not at the first target of their ranking
// come first, since the others are found without a note; within both groups the most recently used come first.
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

// displaced returns 0 if the target ranks first for the object, and 1 if it does not.
func (b *Balancer) displaced(t *target, key uint64) int {
	svc := b.services[t.state.Service]
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
	// runTimeWeight is the weight of the latest run in the average run time of a route. maxRunTimeFactor caps a run at that
	// many times the average, since it may include time in a queue.
	runTimeWeight    = 0.2
	maxRunTimeFactor = 2
)

// runTimes holds the average times of warm and cold runs of a route.
type runTimes struct {
	warm, cold time.Duration
}

// of returns the average time of warm or cold runs, or 0 before the first one.
func (r *runTimes) of(warm bool) time.Duration {
	if warm {
		return r.warm
	}
	return r.cold
}

// add adds a run to the average of warm or cold runs.
func (r *runTimes) add(warm bool, duration time.Duration) {
	average := &r.cold
	if warm {
		average = &r.warm
	}
	if *average == 0 {
		*average = duration
		return
	}
	*average += time.Duration(runTimeWeight * float64(min(duration, maxRunTimeFactor**average)-*average))
}

// runTimesOf returns the run times of a route, creating them if needed.
func (b *Balancer) runTimesOf(route string) *runTimes {
	r := b.runTimes[route]
	if r == nil {
		r = &runTimes{}
		b.runTimes[route] = r
	}
	return r
}

// defaultWarmRatio is the assumed ratio of the times of warm and cold runs before the first warm run.
const defaultWarmRatio = 0.4

// expectedRun returns the expected time of a warm or cold run, without time in a queue. Before the first cold run the target
// latency stands for its time.
func (b *Balancer) expectedRun(q Request, warm bool) time.Duration {
	r := b.runTimesOf(q.Route.Name)
	cold := r.cold
	if cold == 0 {
		cold = q.Route.TargetLatency
	}
	switch {
	case !warm:
		return cold
	case r.warm > 0:
		return min(r.warm, cold)
	}
	return time.Duration(defaultWarmRatio * float64(cold))
}
