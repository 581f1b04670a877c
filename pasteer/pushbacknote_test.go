package pasteer

import (
	"testing"
	"time"
)

// Where many entry VMs have few requests each, most of what they sent went to targets that had turned away another one.
func TestNoteOnAPushbackIsAHint(t *testing.T) {
	v := fleet(2)
	a, b := newBalancer("a1", v), newBalancer("b1", v)
	now := begin.Add(time.Minute)
	q := request("object", now)
	home := b.Choose(q, now).Target
	a.PushBack(home, 1, time.Hour, now)
	notes, last := a.PushbackNotes(0, 64, now.Add(time.Second))
	if len(notes) != 1 || notes[0].Age != time.Second {
		t.Fatalf("notes %+v, want one that is a second old", notes)
	}
	if again, _ := a.PushbackNotes(last, 64, now.Add(time.Second)); len(again) != 0 {
		t.Errorf("told again: %+v", again)
	}
	now = now.Add(time.Second)
	b.ApplyPushbackNotes(notes, now)
	if c := b.Choose(q, now); c.Target == home || c.Target == "" {
		t.Errorf("%+v, want another target than %q", c, home)
	}
	if forwarded, _ := b.PushbackNotes(0, 64, now); len(forwarded) != 1 {
		t.Errorf("forwarded %+v, want the note", forwarded)
	}
	for id, o := range b.targets {
		if id != home {
			o.otherLoad, o.otherLoadAt = 100, now
		}
	}
	if c := b.Choose(q, now); c.Target != home {
		t.Errorf("%+v, want %q: all others are full", c, home)
	}
	if !b.MaySend(Choice{Target: home, Born: 1}, now) {
		t.Error("a hint keeps requests from being sent")
	}
	if b.targets[home].isAvoided(now.Add(maxHintTime)) {
		t.Error("a hint lasts for longer than its bound")
	}
}

// What an entry VM has seen itself later counts for more, and notes that are old, wrong or of another lifetime count for nothing.
func TestHintsThatDoNotCount(t *testing.T) {
	const id = "a1-0"
	now := begin.Add(time.Minute)
	note := PushbackNote{Target: id, Born: 1, Age: time.Second, Left: time.Second}
	run := func(b *Balancer, sentAt time.Time) {
		b.Start(Choice{Target: id, Born: 1}, request("object", sentAt), sentAt)
		b.Finish(Report{Target: id, Route: "r", Outcome: Answered, Duration: now.Sub(sentAt)}, now)
	}
	for name, c := range map[string]struct {
		change  func(n *PushbackNote)
		before  func(b *Balancer)
		after   func(b *Balancer)
		avoided bool
	}{
		"the note as it is":    {avoided: true},
		"a later run before":   {before: func(b *Balancer) { run(b, now.Add(-500*time.Millisecond)) }},
		"a later run after":    {after: func(b *Balancer) { run(b, now.Add(-500*time.Millisecond)) }},
		"an earlier run":       {before: func(b *Balancer) { run(b, now.Add(-2*time.Second)) }, avoided: true},
		"an earlier run after": {after: func(b *Balancer) { run(b, now.Add(-2*time.Second)) }, avoided: true},
		"another lifetime":     {change: func(n *PushbackNote) { n.Born = 2 }},
		"an unknown target":    {change: func(n *PushbackNote) { n.Target = "unknown" }},
		"nothing left":         {change: func(n *PushbackNote) { n.Left = 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			b, n := newBalancer("a1", fleet(2)), note
			if c.change != nil {
				c.change(&n)
			}
			if c.before != nil {
				c.before(b)
			}
			b.ApplyPushbackNotes([]PushbackNote{n}, now)
			if c.after != nil {
				c.after(b)
			}
			if got := b.targets[id].isAvoided(now); got != c.avoided {
				t.Errorf("avoided: %v, want %v", got, c.avoided)
			}
		})
	}
}
