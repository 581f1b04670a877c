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

// modelKey is a key of the modelled store.
type modelKey struct{ kind, name string }

func compareKeys(a, b modelKey) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// modelStore holds the writes to each key, by revision.
type modelStore struct {
	revision Revision
	// compacted is the latest revision whose changes a watch no longer delivers.
	compacted Revision
	writes    map[modelKey][]modelWrite
}

// modelWrite is one write to a key; value is empty for a removal.
type modelWrite struct {
	revision Revision
	value    string
	change   Change
}

func (s *modelStore) write(k modelKey, value string, c func(r Revision) Change) {
	s.revision++
	s.writes[k] = append(s.writes[k], modelWrite{revision: s.revision, value: value, change: c(s.revision)})
}

// last returns the last write to a key.
func (s *modelStore) last(k modelKey) modelWrite {
	if all := s.writes[k]; len(all) > 0 {
		return all[len(all)-1]
	}
	return modelWrite{}
}

func (s *modelStore) list() (all []Change) {
	for _, k := range slices.SortedFunc(maps.Keys(s.writes), compareKeys) {
		if w := s.last(k); w.value != "" {
			all = append(all, w.change)
		}
	}
	return all
}

func (s *modelStore) since(r Revision, latest bool) (all []modelWrite) {
	for _, writes := range s.writes {
		for i, w := range writes {
			if w.revision > r && (!latest || i == len(writes)-1) {
				all = append(all, w)
			}
		}
	}
	slices.SortFunc(all, func(a, b modelWrite) int { return int(a.revision) - int(b.revision) })
	return all
}

// mayHold reports whether a view that is complete up to a revision may hold a value: that at the revision, or a later one.
func (s *modelStore) mayHold(k modelKey, r Revision, value string) bool {
	now := ""
	for _, w := range s.writes[k] {
		if w.revision <= r {
			now = w.value
		} else if w.value == value {
			return true
		}
	}
	return now == value
}

// contents returns the values that a view holds for the modelled keys.
func (v *View) contents() map[modelKey]string {
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

// modelReply is a neighbour's reply to a query, in flight.
type modelReply struct {
	to, lifetime    int
	since, revision Revision
	delta           *Delta
	// operator is set in a reply to a query for what operators wrote.
	operator *OperatorState
}

// modelFleet is a set of views that read one store and query each other.
type modelFleet struct {
	store     modelStore
	views     []*View
	lifetimes []int
	replies   []modelReply
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
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
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
		version := int64(len(s.writes[modelKey{"config", ""}]) + 1)
		s.write(modelKey{"config", ""}, fmt.Sprint(version), func(r Revision) Change {
			return ConfigUpdated{Revision: r, Config: &paroute.Config{Version: version}}
		})
	}
}

// writeTarget makes a target register, drain, send a heartbeat, change its zone, be removed, or register again after it lapsed.
func (f *modelFleet) writeTarget(t *rapid.T, id string) {
	k := modelKey{"target", id}
	last := Target{Zone: "z"}
	for _, w := range f.store.writes[k] {
		if c, ok := w.change.(TargetUpdated); ok {
			last = c.Target
		}
	}
	next := last
	next.ID, next.Sequence = id, last.Sequence+1
	present := f.store.last(k).value != ""
	switch kind := rapid.IntRange(0, 4).Draw(t, "update"); {
	case present && kind == 0:
		f.store.write(k, "", func(r Revision) Change { return TargetRemoved{ID: id, Revision: r} })
		return
	case present && kind == 1:
		next.Draining = true
	case present && kind == 2:
		next.Zone += "z"
	case present || last.Born > 0 && kind == 3:
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

// read makes a view read the store: a complete listing at its start and after a compaction, otherwise the changes since its
// revision. With latest, only the last write to each key is delivered.
func (f *modelFleet) read(v *View, latest bool) {
	if v.Revision == 0 || v.Revision < f.store.compacted {
		v.ApplyListing(f.store.list(), f.store.revision, f.now)
		return
	}
	var all []Change
	for _, w := range f.store.since(v.Revision, latest) {
		all = append(all, w.change)
	}
	v.ApplyRange(all, v.Revision, f.store.revision, f.now)
}

// readOperator makes a view read what operators wrote: a complete listing or the changes since it last read.
func (f *modelFleet) readOperator(v *View, whole bool) {
	if whole || v.OperatorRevision() < f.store.compacted {
		v.ApplyOperator(NewOperatorState(f.store.list(), f.store.revision), f.now)
		return
	}
	var all []Change
	for _, w := range f.store.since(v.OperatorRevision(), false) {
		if isByOperator(w.change) {
			all = append(all, w.change)
		}
	}
	v.ApplyOperatorRange(all, v.OperatorRevision(), f.store.revision, f.now)
}

// queryOperator puts a reply to a neighbour's query for what operators wrote in flight.
func (f *modelFleet) queryOperator(to, from int) {
	o := f.views[from].Operator(f.views[to].OperatorRevision())
	f.replies = append(f.replies, modelReply{to: to, lifetime: f.lifetimes[to], operator: &o})
}

// query puts a reply to a neighbour's query in flight. A view that lacks the history replies with everything or, if it
// refuses, not at all.
func (f *modelFleet) query(to, from int, refuses bool) {
	since, v := f.views[to].Revision, f.views[from]
	if v.Revision <= since || refuses && !v.CoversSince(since) {
		return
	}
	c := v.reply(Position{Revision: since, Operator: f.views[to].OperatorRevision()}, f.now)
	c.to, c.lifetime = to, f.lifetimes[to]
	f.replies = append(f.replies, c)
}

// deliver applies a reply, unless the process that sent the query has restarted.
func (f *modelFleet) deliver(i int) {
	c := f.replies[i]
	f.replies = slices.Delete(f.replies, i, i+1)
	if f.lifetimes[c.to] != c.lifetime {
		return
	}
	f.views[c.to].applyReply(c, f.now)
}

func (f *modelFleet) check(t *rapid.T) {
	for i, v := range f.views {
		contents := v.contents()
		for _, k := range slices.SortedFunc(maps.Keys(f.store.writes), compareKeys) {
			revision := v.Revision
			if k.kind == "zone" || k.kind == "config" {
				revision = v.OperatorRevision()
			}
			if revision > 0 && !f.store.mayHold(k, revision, contents[k]) {
				t.Fatalf("view %d is complete up to %d and holds %q for %v; writes to the store: %v",
					i, revision, contents[k], k, f.store.writes[k])
			}
		}
	}
}

// step makes one random event happen.
func (f *modelFleet) step(t *rapid.T) {
	view := func() int { return rapid.IntRange(0, modelViews-1).Draw(t, "view") }
	switch rapid.IntRange(0, 18).Draw(t, "step") {
	case 0, 1, 2, 3, 4:
		f.write(t)
	case 5, 6:
		f.read(f.views[view()], rapid.Bool().Draw(t, "latest"))
	case 7, 8, 9:
		f.query(view(), view(), rapid.Bool().Draw(t, "refuses"))
	case 10, 11:
		if len(f.replies) > 0 {
			f.deliver(rapid.IntRange(0, len(f.replies)-1).Draw(t, "reply"))
		}
	case 12:
		i := view()
		f.views[i] = &View{}
		f.lifetimes[i]++
	case 13:
		f.store.compacted = f.store.revision
	case 14:
		f.views[view()].NoteOutage(f.now)
	case 15:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
		for _, v := range f.views {
			v.ExpireLapsed(f.now)
		}
	case 16:
		f.readOperator(f.views[view()], rapid.Bool().Draw(t, "listed"))
	case 17, 18:
		f.queryOperator(view(), view())
	}
}

// A view claimed to be complete up to a revision although it had missed a change before it, and passed that on to others.
func TestViewHoldsTheStoreStateAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &modelFleet{store: modelStore{writes: map[modelKey][]modelWrite{}}, lifetimes: make([]int, modelViews), now: start}
		for range modelViews {
			f.views = append(f.views, &View{})
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.step(t)
			f.check(t)
		}
	})
}

// reply returns the view's reply to a neighbour at a position.
func (v *View) reply(p Position, now time.Time) modelReply {
	return modelReply{since: p.Revision, revision: v.Revision, delta: v.Delta(p, now)}
}

// applyReply applies a neighbour's reply.
func (v *View) applyReply(c modelReply, now time.Time) {
	if c.operator != nil {
		v.ApplyOperator(*c.operator, now)
		return
	}
	if c.delta != nil {
		v.Merge(c.delta, now)
		return
	}
	v.ApplyRange(nil, c.since, c.revision, now)
}

// syncFrom makes one view query another and apply the reply.
func syncFrom(from, to *View) {
	to.applyReply(from.reply(Position{Revision: to.Revision}, start), start)
}
