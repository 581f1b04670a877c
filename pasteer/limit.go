package pasteer

import (
	"math"
	"time"
)

// A target in need names the rate of requests that it takes from all entry VMs together. The rate is divided among few
// entry VMs, its senders: each may send its part, and the others send nothing. All entry VMs compute the same senders from
// what is registered, so that the parts never add up to more, not even while some cannot reach each other.

// rateLimit is the rate that a target names. The zero value is no limit.
type rateLimit struct {
	// perSecond is what it takes from all entry VMs together while limited is set.
	limited   bool
	perSecond float64
	// observedAt is when an entry VM last had a response that said so, or that named no limit after one that did.
	observedAt time.Time
	// notedAt is when that was last logged for neighbours, with the number seq.
	notedAt time.Time
	seq     uint64
	// senders is how many entry VMs send to the target, index the position of this one among them, or noSender.
	senders, index int
	// senderHashes are the hashes of the senders' names.
	senderHashes []uint64
	// tokens are the requests that this entry VM may send now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

const (
	// maxLimit bounds the rates that are taken for a limit; any higher one is a mistake, or none.
	maxLimit = 1e6
	// minLimitRate is the rate at which the first sender sends to a target that takes less: what it takes is only learned
	// from its responses.
	minLimitRate = 0.5
	// senderRate is the least rate of a sender, in requests a second, where a target takes more than that: the fewer senders
	// there are, the more requests reach each of them.
	senderRate = 4.0
	// limitBurst is for how long a sender's part accumulates while it has no requests, if that is more than one request;
	// maxLimitTokens bounds it.
	limitBurst     = 500 * time.Millisecond
	maxLimitTokens = 2.0
	// limitAskInterval is how long after the last response of a limited target a sender prefers it for a request, to learn
	// whether it is still limited.
	limitAskInterval = 2 * time.Second
	// limitTTL is how long a limit counts without any response: if no sender has requests, nobody learns of its end.
	limitTTL = 30 * time.Second
	// limitNoteInterval is the time between two notes on a limit that has not changed.
	limitNoteInterval = 5 * time.Second
	// minLimitChange is by what part a limit must change to be noted at once.
	minLimitChange = 0.05
)

// ValidLimit reports whether a rate may be a target's limit.
func ValidLimit(perSecond float64) bool { return perSecond >= 0 && perSecond <= maxLimit }

// observeLimit takes what a response said of the target's limit: a rate, or none.
func (b *Balancer) observeLimit(t *target, r Report, now time.Time) {
	if r.Outcome > Shed || r.LimitUnreadable {
		return
	}
	if !r.Limited {
		t.unlimitedAt = now
	}
	if r.Limited || t.limit.limited {
		b.setLimit(t, r.Limited, r.Limit, now, now)
	}
}

// setLimit records a limit, or its end, as of the time at which an entry VM observed it.
func (b *Balancer) setLimit(t *target, limited bool, perSecond float64, at, now time.Time) {
	l := &t.limit
	old := *l
	l.limited, l.perSecond, l.observedAt = limited, perSecond, at
	if !limited {
		l.perSecond = 0
	}
	changed := old.limited != limited || math.Abs(old.perSecond-l.perSecond) > minLimitChange*old.perSecond
	if limited && !old.limited {
		// Nothing has accumulated while there was no limit, and the senders are computed anew.
		l.tokens, l.refilledAt, l.index = 0, now, noSender
	}
	if svc := b.services[t.state.Service]; svc != nil && limited != old.limited {
		svc.updateLimited()
	}
	if limited && changed {
		l.tokens, l.refilledAt = l.refill(now), now
		b.updateLimitSenders(t, now)
	}
	if changed {
		b.limitChanges = append(b.limitChanges, LimitChange{
			Target: t.state.ID, Service: t.state.Service, Limited: limited, PerSecond: l.perSecond, IsSender: limited && l.index != noSender,
		})
	}
	if changed || limited && now.Sub(l.notedAt) >= limitNoteInterval {
		b.limitSeq++
		l.seq, l.notedAt = b.limitSeq, now
	}
}

// isLimited reports whether the target's limit counts.
func (t *target) isLimited(now time.Time) bool {
	return t.limit.limited && now.Sub(t.limit.observedAt) < limitTTL
}

// rate is how many requests a second this entry VM may send to the target.
func (l *rateLimit) rate() float64 {
	if l.index == noSender || l.senders == 0 {
		return 0
	}
	return max(minLimitRate, l.perSecond) / float64(l.senders)
}

// capacity is how many requests this entry VM may send at once.
func (l *rateLimit) capacity() float64 {
	return max(1, min(maxLimitTokens, l.rate()*limitBurst.Seconds()))
}

// refill returns the tokens that there are now.
func (l *rateLimit) refill(now time.Time) float64 {
	tokens := l.tokens + l.rate()*max(0, now.Sub(l.refilledAt).Seconds())
	return min(tokens, l.capacity())
}

// mayTakeLimited reports whether this entry VM may send the target a request now. One that has just started may not know the
// others that are senders.
func (b *Balancer) mayTakeLimited(t *target, now time.Time) bool {
	if !t.isLimited(now) || b.Config.Off.Limits {
		return true
	}
	return !b.leaving && t.limit.index != noSender && t.limit.refill(now) >= 1 && now.Sub(b.startedAt) >= startupGrace
}

// takeLimited takes the token of a request that is sent.
func (t *target) takeLimited(now time.Time) {
	if t.isLimited(now) {
		t.limit.tokens, t.limit.refilledAt = t.limit.refill(now)-1, now
	}
}

// limitWait returns how long it takes until this entry VM may send to the target, or any sender if it is none.
func (t *target) limitWait(now time.Time) time.Duration {
	l := t.limit
	rate := l.rate()
	if rate <= 0 {
		return time.Duration(float64(time.Second) / max(minLimitRate, l.perSecond))
	}
	return time.Duration(max(0, 1-l.refill(now)) / rate * float64(time.Second))
}

// pickLimitAsk returns a limited target of which nothing was heard for a while, to learn whether it still is; nil if there
// is none.
//
// A target that gets no request names nothing. Where its objects are warm elsewhere by now, or have few requests, its limit
// would otherwise outlast its need.
func (b *Balancer) pickLimitAsk(svc *service, q Request, now time.Time) *target {
	if !q.Route.Idempotent {
		return nil
	}
	for _, t := range svc.limited {
		if t.isLimited(now) && now.Sub(t.limit.observedAt) > limitAskInterval && b.usableNow(t, q, now) && !t.viaRelay {
			return t
		}
	}
	return nil
}

// LimitChange says that a target names a limit, or another one, or that it does so no longer.
type LimitChange struct {
	Target, Service string
	Limited         bool
	PerSecond       float64
	// IsSender says that this entry VM may send to it.
	IsSender bool
}

// LimitChanges returns the changes since the previous call.
func (b *Balancer) LimitChanges() []LimitChange {
	all := b.limitChanges
	b.limitChanges = nil
	return all
}

// LimitedTargets returns how many targets name a limit.
func (b *Balancer) LimitedTargets(now time.Time) (n int) {
	for _, t := range b.targets {
		if t.isLimited(now) {
			n++
		}
	}
	return n
}
