package pafleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayahead/paroute"
)

// modelKey is a key of the modelled store; modelStore has what each was set to, by revision.
type modelKey struct{ kind, name string }

func compareKeys(a, b modelKey) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

type modelStore struct {
	revision Revision
	// forgotten is the latest revision whose changes a watch no longer tells.
	forgotten Revision
	words     map[modelKey][]modelWord
}

// modelWord is what a key was set to; value is empty for a removal.
type modelWord struct {
	revision Revision
	value    string
	change   Change
}

func (s *modelStore) write(k modelKey, value string, c func(r Revision) Change) {
	s.revision++
	s.words[k] = append(s.words[k], modelWord{revision: s.revision, value: value, change: c(s.revision)})
}

// at returns a key's last word.
func (s *modelStore) last(k modelKey) modelWord {
	if all := s.words[k]; len(all) > 0 {
		return all[len(all)-1]
	}
	return modelWord{}
}

func (s *modelStore) list() (all []Change) {
	for _, k := range slices.SortedFunc(maps.Keys(s.words), compareKeys) {
		if w := s.last(k); w.value != "" {
			all = append(all, w.change)
		}
	}
	return all
}

func (s *modelStore) since(r Revision, latest bool) (all []modelWord) {
	for _, words := range s.words {
		for i, w := range words {
			if w.revision > r && (!latest || i == len(words)-1) {
				all = append(all, w)
			}
		}
	}
	slices.SortFunc(all, func(a, b modelWord) int { return int(a.revision) - int(b.revision) })
	return all
}

// allowed says whether a view that is complete up to a revision may hold a value: that in force there, or a later one.
func (s *modelStore) allowed(k modelKey, r Revision, value string) bool {
	now := ""
	for _, w := range s.words[k] {
		if w.revision <= r {
			now = w.value
		} else if w.value == value {
			return true
		}
	}
	return now == value
}

// held returns what a view holds of the modelled keys.
func (v *View) held() map[modelKey]string {
	all := map[modelKey]string{}
	for id, m := range v.Targets {
		if m.LapsedAt.IsZero() {
			all[modelKey{"target", id}] = targetValue(m.Born, m.Draining, m.Zone)
		}
	}
	for name, e := range v.Entries {
		all[modelKey{"entry", name}] = fmt.Sprint(e.Born)
	}
	for zone := range v.Evacuated {
		all[modelKey{"zone", zone}] = "evacuated"
	}
	if v.Limiter != "" {
		all[modelKey{"limiter", ""}] = v.Limiter
	}
	if v.Config != nil {
		all[modelKey{"config", ""}] = fmt.Sprint(v.Config.Version)
	}
	return all
}

func targetValue(born int64, draining bool, zone string) string {
	return fmt.Sprint("born ", born, " draining ", draining, " zone ", zone)
}

// call is a neighbour's answer that is on its way.
type modelCall struct {
	to, lifetime    int
	since, revision Revision
	delta           *Delta
}

// modelFleet is some views of one store, which read it and ask each other.
type modelFleet struct {
	store     modelStore
	views     []*View
	lifetimes []int
	calls     []modelCall
	now       time.Time
	born      int64
}

const (
	modelViews   = 4
	modelNames   = 3
	modelTargets = 4
)

func (f *modelFleet) write(t *rapid.T) {
	s := &f.store
	name := fmt.Sprint("n", rapid.IntRange(0, modelNames-1).Draw(t, "name"))
	switch rapid.IntRange(0, 8).Draw(t, "what") {
	case 0, 1, 2, 3:
		f.writeTarget(t, fmt.Sprint("t", rapid.IntRange(0, modelTargets-1).Draw(t, "target")))
	case 4:
		f.born++
		born := f.born
		s.write(modelKey{"entry", name}, fmt.Sprint(born), func(r Revision) Change {
			return EntryUpdated{Entry: Entry{Name: name, Born: born, Revision: r}}
		})
	case 5:
		if k := (modelKey{"entry", name}); s.last(k).value != "" {
			s.write(k, "", func(r Revision) Change { return EntryRemoved{Name: name, Revision: r} })
		}
	case 6:
		if k := (modelKey{"zone", name}); s.last(k).value == "" {
			s.write(k, "evacuated", func(r Revision) Change { return ZoneEvacuated{Zone: name, Revision: r} })
		} else {
			s.write(k, "", func(r Revision) Change { return ZoneRestored{Zone: name, Revision: r} })
		}
	case 7:
		if rapid.Bool().Draw(t, "claimed") {
			s.write(modelKey{"limiter", ""}, name, func(r Revision) Change { return LimiterUpdated{Name: name, Revision: r} })
		} else if s.last(modelKey{"limiter", ""}).value != "" {
			s.write(modelKey{"limiter", ""}, "", func(r Revision) Change { return LimiterUpdated{Revision: r} })
		}
	case 8:
		version := int64(len(s.words[modelKey{"config", ""}]) + 1)
		s.write(modelKey{"config", ""}, fmt.Sprint(version), func(r Revision) Change {
			return ConfigUpdated{Revision: r, Config: &paroute.Config{Version: version}}
		})
	}
}

// writeTarget lets a target register, say that it leaves, say that it lives, move, go, or register again after it lapsed.
func (f *modelFleet) writeTarget(t *rapid.T, id string) {
	k := modelKey{"target", id}
	last := Target{Zone: "z"}
	for _, w := range f.store.words[k] {
		if c, ok := w.change.(TargetUpdated); ok {
			last = c.Target
		}
	}
	next := last
	next.ID, next.Sequence = id, last.Sequence+1
	present := f.store.last(k).value != ""
	switch what := rapid.IntRange(0, 4).Draw(t, "word"); {
	case present && what == 0:
		f.store.write(k, "", func(r Revision) Change { return TargetRemoved{ID: id, Revision: r} })
		return
	case present && what == 1:
		next.Draining = true
	case present && what == 2:
		next.Zone += "z"
	case present || last.Born > 0 && what == 3:
	default:
		f.born++
		next = Target{ID: id, Zone: "z", Born: f.born, Sequence: 1}
	}
	f.store.write(k, targetValue(next.Born, next.Draining, next.Zone), func(r Revision) Change {
		next.Revision = r
		if !present {
			next.Registered = r
		}
		return TargetUpdated{Target: next}
	})
}

// read lets a view read the store as it does: a whole listing at its start and when the history is lost, or what changed,
// where only the latest state of each key may be told.
func (f *modelFleet) read(v *View, latest bool) {
	if v.Revision == 0 || v.Revision < f.store.forgotten {
		v.ApplyListing(f.store.list(), f.store.revision, f.now)
		return
	}
	var all []Change
	for _, w := range f.store.since(v.Revision, latest) {
		all = append(all, w.change)
	}
	v.ApplyRange(all, v.Revision, f.store.revision, f.now)
}

// ask puts a neighbour's answer on its way; one that has no history answers with everything or not at all.
func (f *modelFleet) ask(to, from int, refuses bool) {
	since, v := f.views[to].Revision, f.views[from]
	if v.Revision <= since || refuses && !v.CoversSince(since) {
		return
	}
	c := v.answer(since, f.now)
	c.to, c.lifetime = to, f.lifetimes[to]
	f.calls = append(f.calls, c)
}

// hear delivers an answer, unless the process that asked is gone.
func (f *modelFleet) hear(i int) {
	c := f.calls[i]
	f.calls = slices.Delete(f.calls, i, i+1)
	if f.lifetimes[c.to] != c.lifetime {
		return
	}
	f.views[c.to].hear(c, f.now)
}

func (f *modelFleet) check(t *rapid.T) {
	for i, v := range f.views {
		held := v.held()
		for _, k := range slices.SortedFunc(maps.Keys(f.store.words), compareKeys) {
			if v.Revision > 0 && !f.store.allowed(k, v.Revision, held[k]) {
				t.Fatalf("view %d is complete up to %d and holds %q of %v; the store held %v", i, v.Revision, held[k], k, f.store.words[k])
			}
		}
	}
}

// step lets one thing happen.
func (f *modelFleet) step(t *rapid.T) {
	view := func() int { return rapid.IntRange(0, modelViews-1).Draw(t, "view") }
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2, 3, 4:
		f.write(t)
	case 5, 6:
		f.read(f.views[view()], rapid.Bool().Draw(t, "latest"))
	case 7, 8, 9:
		f.ask(view(), view(), rapid.Bool().Draw(t, "refuses"))
	case 10, 11:
		if len(f.calls) > 0 {
			f.hear(rapid.IntRange(0, len(f.calls)-1).Draw(t, "call"))
		}
	case 12:
		i := view()
		f.views[i] = &View{}
		f.lifetimes[i]++
	case 13:
		f.store.forgotten = f.store.revision
	case 14:
		f.views[view()].NoteOutage(f.now)
	case 15:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
		for _, v := range f.views {
			v.ExpireLapsed(f.now)
		}
	}
}

// A view that says it is complete up to a revision missed a change before it, and told others so.
func TestAViewHoldsWhatTheStoreHeldAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &modelFleet{store: modelStore{words: map[modelKey][]modelWord{}}, lifetimes: make([]int, modelViews), now: begin}
		for range modelViews {
			f.views = append(f.views, &View{})
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.step(t)
			f.check(t)
		}
	})
}

// answer returns what a view tells one at a revision; hear lets that one take it.
func (v *View) answer(since Revision, now time.Time) modelCall {
	return modelCall{since: since, revision: v.Revision, delta: v.Delta(since, now)}
}

func (v *View) hear(c modelCall, now time.Time) {
	if c.delta != nil {
		v.Merge(c.delta, now)
		return
	}
	v.ApplyRange(nil, c.since, c.revision, now)
}

// tell lets one view ask another what changed.
func tell(from, to *View) { to.hear(from.answer(to.Revision, begin), begin) }
