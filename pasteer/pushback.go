package pasteer

import (
	"cmp"
	"slices"
	"time"
)

// lifetime identifies one run of a target's process.
type lifetime struct {
	target string
	born   int64
}

// pushback is a time for which a target asked this entry VM to send it nothing.
type pushback struct {
	service string
	// began is when the target first asked, until the latest end of what it asked for since.
	began, until time.Time
}

const (
	// MaxPushback bounds the time for which a target may ask; it restarts within that, or its operator does.
	MaxPushback = 24 * time.Hour
	// maxAbsentPushbacks bounds how many are kept for targets that are missing in the view; each takes some 150 bytes.
	maxAbsentPushbacks = 4096
)

// PushBack records that a target asked this entry VM to send it nothing for a time.
//
// It is kept for the lifetime of the target and not with its state here: the state begins anew whenever the target is missing in a
// view of the store or registers again, and the target still wants no requests.
func (b *Balancer) PushBack(target string, born int64, wait time.Duration, now time.Time) {
	if wait = min(wait, MaxPushback); wait <= 0 {
		return
	}
	id := lifetime{target, born}
	p := b.pushbacks[id]
	if p == nil {
		p = &pushback{began: now}
		if t := b.targets[target]; t != nil {
			p.service = t.state.Service
		}
		b.pushbacks[id] = p
		b.pushbackChanges = append(b.pushbackChanges, PushbackChange{Target: target, Service: p.service, Wait: wait})
	}
	// An earlier response that asked for longer still holds.
	p.until = later(p.until, now.Add(wait))
}

// expirePushbacks drops what is over, what belongs to an earlier lifetime of a target, and the first to end of too many whose
// targets are missing.
func (b *Balancer) expirePushbacks(now time.Time) {
	var absent []lifetime
	for id, p := range b.pushbacks {
		t := b.targets[id.target]
		switch {
		case !now.Before(p.until), t != nil && t.state.Born != id.born:
			b.endPushback(id, p, now)
		case t == nil:
			absent = append(absent, id)
		}
	}
	if len(absent) <= maxAbsentPushbacks {
		return
	}
	slices.SortFunc(absent, func(x, y lifetime) int {
		return cmp.Or(b.pushbacks[x].until.Compare(b.pushbacks[y].until), cmp.Compare(x.target, y.target))
	})
	for _, id := range absent[:len(absent)-maxAbsentPushbacks] {
		b.endPushback(id, b.pushbacks[id], now)
	}
}

// endPushback drops a pushback and reports its end.
func (b *Balancer) endPushback(id lifetime, p *pushback, now time.Time) {
	delete(b.pushbacks, id)
	b.pushbackChanges = append(b.pushbackChanges, PushbackChange{
		Target: id.target, Service: p.service, Wait: now.Sub(p.began), Ended: true,
	})
}

// PushbackChange says that a target asked for no requests, or that this is over.
type PushbackChange struct {
	Target, Service string
	// Wait is the time that the target asked for first; at the end it is how long this entry VM sent nothing.
	Wait  time.Duration
	Ended bool
}

// PushbackChanges drops pushbacks that are over, and returns the changes since the previous call.
func (b *Balancer) PushbackChanges(now time.Time) []PushbackChange {
	b.expirePushbacks(now)
	all := b.pushbackChanges
	b.pushbackChanges = nil
	return all
}

// PushbackTargets returns how many targets want no requests from this entry VM.
func (b *Balancer) PushbackTargets() int { return len(b.pushbacks) }
