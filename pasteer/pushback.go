package pasteer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A target that turns requests away may name a time for which it wants none from this entry VM. That concerns all that this entry
// VM sends, so every decision asks Balancer.pushbackWait, and every send asks Balancer.MaySend once more before its first byte.
// The word is this entry VM's own: others may still be welcome there, and no request takes a detour over one of them.

// pushback is a time for which a target asked this entry VM to send it nothing, and what follows until the target answers again.
type pushback struct {
	service string
	// began is when the target asked, until the latest end of what it asked for since.
	began, until time.Time
	// resumeAt is when this entry VM sends the first request again, and nextAt when it sends the next one.
	resumeAt, nextAt time.Time
	// answeredAt is when the target had run a request that was sent since, and runTime how long that took.
	answeredAt time.Time
	runTime    time.Duration
	// ended is set once its end was reported.
	ended bool
}

const (
	// MaxPushback bounds the time for which a target may ask; it restarts within that, or its operator does.
	MaxPushback = 24 * time.Hour
	// resumeSpacing is the mean time between the first requests of two entry VMs after a pushback: a target with a few slots runs a
	// short request in about that time. The last one is late by resumeShare of the time that was asked for at most.
	resumeSpacing = 20 * time.Millisecond
	resumeShare   = 0.5
	// pushbackTrialInterval is the time between two requests to a target that has not answered since: a round trip between regions
	// and a short run.
	pushbackTrialInterval = 250 * time.Millisecond
	// pushbackTrialTime is how long requests are sent one by one if none is answered; some targets have few requests.
	pushbackTrialTime = 30 * time.Second
	// resumeTime is how long after the first answer the rate of requests is bounded: callers that were refused come back within that.
	// The bound is at first what the slots of the target run, divided by the entry VMs, and doubles each resumeDoubling.
	resumeTime     = 2 * time.Second
	resumeDoubling = 500 * time.Millisecond
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
	if p == nil || p.ended {
		p = &pushback{began: now}
		b.pushbacks[id] = p
		if t := b.targets[target]; t != nil && t.state.Born == born {
			p.service, t.pushback = t.state.Service, p
		}
		b.pushbackChanges = append(b.pushbackChanges, PushbackChange{Target: target, Service: p.service, Wait: wait})
	}
	b.addHint(id, now, now.Add(min(wait, maxHintTime)))
	// An earlier response that asked for longer still holds.
	if until := now.Add(wait); until.After(p.until) {
		p.until, p.resumeAt = until, until.Add(b.resumeDelay(target, wait))
		p.answeredAt = time.Time{}
	}
}

// resumeDelay returns how much later than a pushback ends this entry VM sends its first request.
//
// A target in trouble turns all entry VMs away at about the same time. Without the delays hundreds of first requests would reach it
// in the moment in which its time is over.
func (b *Balancer) resumeDelay(target string, wait time.Duration) time.Duration {
	spread := min(float64(b.entryCount)*float64(resumeSpacing), resumeShare*float64(wait))
	position := float64(rendezvousWeight(xxhash.Sum64String(target), b.hash)) / math.MaxUint64
	return time.Duration(position * spread)
}

// MaySend reports whether the request may still be sent to the target that was chosen for it: opening a connection takes time, and
// meanwhile its zone may have been evacuated, or it may have asked for no requests or said that it is shutting down.
func (b *Balancer) MaySend(c Choice, now time.Time) bool {
	if b.saysDraining(c.Target, c.Born) {
		return false
	}
	if t := b.targets[c.Target]; t != nil && t.state.Born == c.Born && t.excluded {
		return false
	}
	p := b.pushbacks[lifetime{c.Target, c.Born}]
	return p == nil || !now.Before(p.resumeAt)
}

// pushbackWait returns how long it takes until this entry VM may choose the target again; 0 if it may now.
//
// Where all targets asked for time, those that come back first get the requests of all callers that were refused. So this entry VM
// sends one request, and after its answer no more than its part of what the target runs, then soon more.
func (t *target) pushbackWait(now time.Time) time.Duration {
	if t.pushback == nil {
		return 0
	}
	return max(0, later(t.pushback.resumeAt, t.pushback.nextAt).Sub(now))
}

// startAfterPushback records that a request is sent to a target that had asked for no requests.
func (b *Balancer) startAfterPushback(t *target, now time.Time) {
	if p := t.pushback; p != nil {
		p.nextAt = now.Add(p.interval(now, b.entryCount, t.state.Slots))
	}
}

// interval is the time between two requests of this entry VM to the target.
func (p *pushback) interval(now time.Time, entries, slots int) time.Duration {
	if p.answeredAt.IsZero() {
		return pushbackTrialInterval
	}
	part := float64(p.runTime) * float64(entries) / float64(max(1, slots))
	return time.Duration(part * math.Exp2(-float64(now.Sub(p.answeredAt))/float64(resumeDoubling)))
}

// finishAfterPushback records the end of a request that may have been sent after a pushback.
func (b *Balancer) finishAfterPushback(t *target, r Report, now time.Time) {
	p := t.pushback
	if p == nil || r.PushedBack || r.Outcome > Failed || now.Add(-r.Duration).Before(p.resumeAt) || !p.answeredAt.IsZero() {
		return
	}
	p.answeredAt, p.runTime = now, r.Duration
	p.nextAt = now.Add(p.interval(now, b.entryCount, t.state.Slots))
}

// expirePushbacks drops pushbacks that are over or belong to an earlier lifetime of a target, and the first to end of too many whose
// targets are missing.
func (b *Balancer) expirePushbacks(now time.Time) {
	b.expireHints(now)
	var absent []lifetime
	for id, p := range b.pushbacks {
		t := b.targets[id.target]
		switch {
		case t != nil && t.state.Born != id.born, p.isOver(now):
			b.endPushback(id, now)
		case !now.Before(p.resumeAt):
			b.reportPushbackEnd(id, p, now)
		case t == nil:
			absent = append(absent, id)
		}
	}
	for _, id := range beyondBound(absent, func(x, y lifetime) int { return b.pushbacks[x].until.Compare(b.pushbacks[y].until) }) {
		b.endPushback(id, now)
	}
}

// isOver reports whether nothing follows from the pushback any more.
func (p *pushback) isOver(now time.Time) bool {
	if p.answeredAt.IsZero() {
		return !now.Before(p.resumeAt.Add(pushbackTrialTime))
	}
	return now.Sub(p.answeredAt) > resumeTime
}

// endPushback drops a pushback.
func (b *Balancer) endPushback(id lifetime, now time.Time) {
	p := b.pushbacks[id]
	b.reportPushbackEnd(id, p, now)
	delete(b.pushbacks, id)
	if t := b.targets[id.target]; t != nil && t.pushback == p {
		t.pushback = nil
	}
}

func (b *Balancer) reportPushbackEnd(id lifetime, p *pushback, now time.Time) {
	if p.ended {
		return
	}
	p.ended = true
	b.pushbackChanges = append(b.pushbackChanges, PushbackChange{
		Target: id.target, Service: p.service, Wait: now.Sub(p.began), Ended: true,
	})
}

// PushbackChange says that a target asked for no requests, or that this is over.
type PushbackChange struct {
	Target, Service string
	// Wait is the time that the target asked for; at the end it is how long this entry VM sent nothing.
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

// Unwilling returns up to maxUnwilling targets of a service that want no requests from this entry VM now, or said that they are
// shutting down.
func (b *Balancer) Unwilling(service string, now time.Time) (all []string) {
	for id, p := range b.pushbacks {
		if p.service == service && now.Before(p.resumeAt) && len(all) < maxUnwilling {
			all = append(all, id.target)
		}
	}
	for id := range b.drainings {
		if t := b.targets[id.target]; t != nil && t.state.Service == service && len(all) < maxUnwilling {
			all = append(all, id.target)
		}
	}
	return all
}

// maxUnwilling bounds what is told a relay beside a request.
const maxUnwilling = 64

// PushbackTargets returns how many targets want no requests from this entry VM.
func (b *Balancer) PushbackTargets() (n int) {
	for _, p := range b.pushbacks {
		if !p.ended {
			n++
		}
	}
	return n
}
