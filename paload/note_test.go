package paload

import (
	"math"
	"testing"
	"time"
)

// noteAt returns a note on a load that is some time old.
func noteAt(load float64, age time.Duration) Note { return Note{Key: 1, Load: load, Age: age} }

// Guards against an old note that replaces what this entry VM heard itself later.
func TestOldNoteDoesNotReplaceNewerReport(t *testing.T) {
	var b Belief
	b.Observe(1, slots, begin)
	if b.Apply(noteAt(9, time.Second), 0, slots, begin.Add(time.Millisecond)) {
		t.Error("a note from before the report counts as new")
	}
	if b.others != 1 {
		t.Errorf("%v requests, want the reported one", b.others)
	}
	if b.Apply(noteAt(9, maxNoteAge+time.Millisecond), 0, slots, at(time.Hour)) {
		t.Error("a note that is too old counts")
	}
}

// Guards against a note that arrives by several paths and circulates among neighbours without end.
func TestDuplicateNoteCountsOnce(t *testing.T) {
	var b Belief
	if !b.Apply(noteAt(9, 200*time.Millisecond), 0, slots, begin) {
		t.Fatal("the note does not count")
	}
	// The copy is a little slower, so that it seems a little later.
	if b.Apply(noteAt(9, 200*time.Millisecond), 0, slots, at(50*time.Millisecond)) {
		t.Error("its copy counts as new")
	}
}

// Guards against a note that overtook a later one and replaces it.
func TestNotesOutOfOrder(t *testing.T) {
	var b Belief
	b.Apply(Note{Load: 2, Slowness: 1, Age: 100 * time.Millisecond}, 0, slots, begin)
	if b.Apply(Note{Load: 9, Slowness: 3, Age: 900 * time.Millisecond}, 0, slots, at(300*time.Millisecond)) {
		t.Error("the earlier one counts as new")
	}
	if b.others != 2 || b.slowness != 1 {
		t.Errorf("load %v and slowness %v, want those of the later note", b.others, b.slowness)
	}
	if !b.Apply(Note{Load: 5, Age: 0}, 1, slots, at(300*time.Millisecond)) || b.others != 4 {
		t.Errorf("%v requests of others after a later note of 5 with one of this entry VM, want 4", b.others)
	}
}

// Guards against a neighbour whose notes cannot be true, and which would take targets out of use.
func TestNeighbourTellsNonsense(t *testing.T) {
	for name, n := range map[string]Note{
		"negative load":     {Load: -1},
		"huge load":         {Load: 1e9},
		"load is no number": {Load: math.NaN()},
		"infinite load":     {Load: math.Inf(1)},
		"from the future":   {Load: 1, Age: -time.Second},
		"too old":           {Load: 1, Age: time.Hour},
		"negative slowness": {Load: 1, Slowness: -2},
		"tiny slowness":     {Load: 1, Slowness: 1e-9},
		"huge slowness":     {Load: 1, Slowness: 1e9},
		"slowness is NaN":   {Load: 1, Slowness: math.NaN()},
	} {
		var b Belief
		if b.Apply(n, 0, slots, begin) || b != (Belief{}) {
			t.Errorf("%s: counts, %+v", name, b)
		}
	}
}

// Neighbours hear what changes decisions, and nothing that they expect anyway.
func TestToldOnlyWhatIsNews(t *testing.T) {
	m := model()
	var b Belief
	tell := func(load, slowness float64, now time.Time) bool {
		b.ObserveSlowness(m, slowness, now)
		b.Observe(load, slots, now)
		return b.Advertise(m, load, slots, now)
	}
	for _, c := range []struct {
		name           string
		after          time.Duration
		load, slowness float64
		want           bool
	}{
		{"a free slot at first", 0, 2, 0, false},
		{"full", 1 * time.Second, 7, 0, true},
		{"again at once", 1*time.Second + 50*time.Millisecond, 2, 0, false},
		{"as expected", 1*time.Second + 200*time.Millisecond, 6, 0, false},
		{"free again at once", 1*time.Second + 300*time.Millisecond, 1, 0, true},
		{"another number of free slots", 5 * time.Second, 0, 0, false},
		{"slow", 6 * time.Second, 1, 2.5, true},
		{"less slow, as expected by then", 6*time.Second + 200*time.Millisecond, 1, 2, false},
		{"slow again, when it should have passed", 7 * time.Second, 1, 2.5, true},
	} {
		if got := tell(c.load, c.slowness, at(c.after)); got != c.want {
			t.Errorf("%s: told %v, want %v", c.name, got, c.want)
		}
	}
}

// Each note is told once on each connection, the rest later if there are too many, and the latest one on a target only.
func TestLogTellsOnce(t *testing.T) {
	var l Log
	for key := range uint32(5) {
		l.Add(Note{Key: key, Load: 1}, key%2 == 0, begin)
	}
	l.Add(Note{Key: 0, Load: 2}, true, at(time.Second))
	keys := func(all []Note) (out []uint32) {
		for _, n := range all {
			out = append(out, n.Key)
		}
		return out
	}
	first, last := l.After(0, 3, true, at(time.Second))
	rest, end := l.After(last, 3, true, at(time.Second))
	if k := append(keys(first), keys(rest)...); len(first) != 3 || len(k) != 5 || k[4] != 0 || rest[1].Load != 2 || first[0].Age != time.Second {
		t.Errorf("told %+v, then %+v", first, rest)
	}
	if again, same := l.After(end, 3, true, at(time.Second)); len(again) != 0 || same != end {
		t.Errorf("told again %+v up to %d", again, same)
	}
	if own, _ := l.After(0, 9, false, at(time.Second)); len(own) != 3 {
		t.Errorf("own notes %+v, want three", own)
	}
	if none, same := l.After(2, -1, true, at(time.Second)); len(none) != 0 || same != 2 {
		t.Errorf("%+v up to %d without room for any, want none up to 2", none, same)
	}
	if all, _ := l.After(1000, 9, true, at(time.Second)); len(all) != 5 {
		t.Errorf("%+v after a number of an earlier process, want all", all)
	}
	if old, _ := l.After(0, 9, true, at(maxNoteAge+time.Second)); len(old) != 1 {
		t.Errorf("%+v when all but one are too old", old)
	}
	l.Remove(3)
	if all, _ := l.After(0, 9, true, at(time.Second)); len(all) != 4 {
		t.Errorf("%+v, want none on the target that ended", all)
	}
}
