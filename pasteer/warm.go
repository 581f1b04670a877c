package pasteer

import (
	"cmp"
	"slices"
	"time"

	"papayahead/pafleet"
)

const (
	// warmMost is how many objects are remembered of a target; targets keep about 25 warm.
	warmMost = 25
	// warmLife is how long a target is taken to keep an object warm that nobody asked for.
	warmLife = 30 * time.Second
)

// warmSet is the objects that a target handled last, by their keys. The zero value is ready.
type warmSet struct {
	// seen is when each of them was handled last, as far as is known.
	seen map[uint64]use
	// told is the time of the latest note on an object. It outlives seen, so that a late note is no news.
	told map[uint64]time.Time
}

// use is the last time that a target handled an object.
type use struct {
	object string
	at     time.Time
}

func (w *warmSet) has(key uint64, now time.Time) bool {
	u, ok := w.seen[key]
	return ok && now.Sub(u.at) < warmLife
}

// put remembers the object as one of those that were handled last, and returns the key of the one that is pushed out
// for it, or 0.
func (w *warmSet) put(key uint64, object string, at time.Time) (out uint64) {
	if w.seen == nil {
		w.seen = map[uint64]use{}
	}
	w.seen[key] = use{object, later(w.seen[key].at, at)}
	if len(w.seen) <= warmMost {
		return 0
	}
	out = key
	for k, u := range w.seen {
		if u.at.Before(w.seen[out].at) {
			out = k
		}
	}
	delete(w.seen, out)
	return out
}

func (w *warmSet) tell(key uint64, at time.Time) {
	if w.told == nil {
		w.told = map[uint64]time.Time{}
	}
	w.told[key] = at
	if len(w.told) <= toldMost {
		return
	}
	out := key
	for k, u := range w.told {
		if u.Before(w.told[out]) {
			out = k
		}
	}
	delete(w.told, out)
}

// remember notes that the target handled the object at a time, and says whether it is one of those handled last.
func (s *Balancer) remember(t *target, key uint64, object string, at time.Time) bool {
	_, known := t.warm.seen[key]
	out := t.warm.put(key, object, at)
	if out == key {
		return false
	}
	if out != 0 {
		s.unindex(t, out)
	}
	if !known {
		s.warmAt[key] = append(s.warmAt[key], t)
	}
	return true
}

// unindex notes that the target no longer is one where the object is warm.
func (s *Balancer) unindex(t *target, key uint64) {
	all := slices.DeleteFunc(s.warmAt[key], func(o *target) bool { return o == t })
	if s.warmAt[key] = all; len(all) == 0 {
		delete(s.warmAt, key)
	}
}

// forget drops what is known of warm objects at a target.
func (s *Balancer) forget(t *target) {
	for key := range t.warm.seen {
		s.unindex(t, key)
	}
	t.warm = warmSet{}
}

// WarmObjects returns what is warm now at targets that may be used, at most a number of notes, and the number of the last note
// that WarmNotes returns, which grows with each change. First come the objects that moved: others are found
// where they are without a note. Of each kind the latest come first.
func (s *Balancer) WarmObjects(most int, now time.Time) ([]pafleet.WarmNote, uint64) {
	type seen struct {
		note  pafleet.WarmNote
		moved int
	}
	var all []seen
	for id, t := range s.targets {
		for key, u := range t.warm.seen {
			if age := now.Sub(u.at); !t.closed && age < warmLife {
				all = append(all, seen{pafleet.WarmNote{Target: id, Object: u.object, Age: age}, s.moved(t, key)})
			}
		}
	}
	slices.SortFunc(all, func(a, b seen) int {
		return cmp.Or(
			cmp.Compare(b.moved, a.moved), cmp.Compare(a.note.Age, b.note.Age),
			cmp.Compare(a.note.Target, b.note.Target), cmp.Compare(a.note.Object, b.note.Object),
		)
	})
	notes := make([]pafleet.WarmNote, 0, min(most, len(all)))
	for _, n := range all[:min(most, len(all))] {
		notes = append(notes, n.note)
	}
	return notes, s.notes.last
}

// moved is 1 where the target is not the first of the object's ranking, and 0 where it is.
func (s *Balancer) moved(t *target, key uint64) int {
	g := s.services[t.member.Service]
	if g == nil {
		return 0
	}
	top := g.ranks.of(key, g.targets)
	if len(top) > 0 && top[0].target == t {
		return 0
	}
	return 1
}

const (
	// workWeight is the weight of the latest run in the expected time of a route's work, and workMost how many times the
	// expected time it counts for at the most: it may have waited.
	workWeight = 0.2
	workMost   = 2
)

// workTime is how long the work of a route takes.
type workTime struct {
	warm, cold time.Duration
}

// of returns the time of a warm or cold run, 0 where none was seen.
func (w *workTime) of(warm bool) time.Duration {
	if warm {
		return w.warm
	}
	return w.cold
}

func (w *workTime) add(warm bool, took time.Duration) {
	to := &w.cold
	if warm {
		to = &w.warm
	}
	if *to == 0 {
		*to = took
		return
	}
	*to += time.Duration(workWeight * float64(min(took, workMost**to)-*to))
}

func (s *Balancer) workOf(route string) *workTime {
	w := s.work[route]
	if w == nil {
		w = &workTime{}
		s.work[route] = w
	}
	return w
}

// warmShare is the part of a cold run's time that a warm one is taken to need before any was seen.
const warmShare = 0.4

// expected returns how long the work takes at a target, as far as is known.
func (s *Balancer) expected(q Request, warm bool) time.Duration {
	w := s.workOf(q.Route.Name)
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
	return time.Duration(warmShare * float64(cold))
}
