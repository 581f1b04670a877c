package pagate

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc/drpcconn"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paplatform"
	"papayahead/paquota"
	"papayahead/pawire"
)

const (
	// claimTTL is how long a claim on the pools outlives its last renewal, limiterRenew the time between two of these.
	claimTTL  = 3 * time.Second
	claimRenewInterval = 900 * time.Millisecond
	// claimRenewTimeout bounds a renewal. Harm of more: two that a silent store does not answer take most of the claim.
	claimRenewTimeout = claimRenewInterval / 2
	// claimRenewRetry is the time from one that failed to the next: a store that is busy answers at once.
	claimRenewRetry = claimRenewInterval / 3
	// claimMargin is how long before its claim may end the limiter stops.
	claimMargin = 200 * time.Millisecond
	// handOverBefore is how long before its claim may end a limiter whose renewals fail hands its place over, if others reach
	// the store: two calls. Harm of more: a store that loses some answers moves the pools again and again.
	handOverBefore = claimRenewInterval
	// claimStagger is how much later each further entry VM claims pools that nobody keeps.
	claimStagger = 250 * time.Millisecond
	// claimStartDelay is how long after its start an entry VM claims none: many that start together know few others yet,
	// and each would take itself for the first.
	claimStartDelay = time.Second
	// claimPollInterval is the time between two looks whether somebody keeps them.
	claimPollInterval = 50 * time.Millisecond
	// hintTTL is how long the word of another entry VM that it follows the limiter counts.
	hintTTL = 3 * time.Second
)

// limiter keeps the pools of rate limits while this entry VM is the limiter, and asks the one that is.
//
// One key of the store says who it is. It is written under a lease, and whoever wrote it stops before that lease can
// end: at no time two of them give out tokens. A former lifetime of the own process is dead, so that its claim is taken
// over at once.
type limiter struct {
	gate *Gate
	// nameHash is the hash of the own nameHash, which tells this entry VM from others at the limiter.
	nameHash uint32
	// takeOver hears that the limiter left and this entry VM is to follow.
	takeOver chan struct{}

	mutex sync.Mutex
	pools map[string]*paquota.Pool
	// claimEnd is the uptime at which the claim ends, fillFrom the one at which the pools begin to fill.
	claimEnd, fillFrom time.Duration
	// inherited is what the former limiter's pools held, as of leftAt, for a claim that follows soon.
	inherited   map[string]int
	inheritedAt time.Duration
	// isolatedAt is the uptime at which the pools were given up because most others could not be reached.
	isolatedAt time.Duration
	// hint is who is said to follow the limiter, until hintEnd; guess counts whom else it was looked for at.
	hint    string
	hintUntil time.Duration
	probes   int

	// connMutex guards the connection to the limiter.
	connMutex  sync.Mutex
	conn   *drpcconn.Conn
	connEntry pafleet.Entry
}

func newLimiter(g *Gate) *limiter {
	return &limiter{gate: g, nameHash: uint32(xxhash.Sum64String(g.self.Name)), takeOver: make(chan struct{}, 1), pools: map[string]*paquota.Pool{}, claimEnd: longBeforeStart, isolatedAt: longBeforeStart}
}

// run claims the pools when nobody keeps them, and keeps the claim.
func (l *limiter) run(ctx context.Context) {
	g := l.gate
	var missing time.Duration
	for ctx.Err() == nil {
		told := false
		select {
		case <-l.takeOver:
			told = true
		case <-g.config.Clock.After(claimPollInterval):
		case <-ctx.Done():
			return
		}
		s := g.state.Load()
		own := s.limiter == g.self.Name
		if !l.mayClaim(s) || s.limiter != "" && !own && !told {
			missing = 0
			continue
		}
		if missing == 0 {
			missing = max(g.uptime(), g.startUptime+claimStartDelay)
		}
		if !own && !told && g.uptime()-missing < l.claimDelay(s) {
			continue
		}
		missing = 0
		var was pafleet.Revision
		if own {
			was = s.limiterAt
		}
		if lease, ok := l.claim(ctx, was); ok {
			l.holdClaim(ctx, lease)
		} else {
			g.sleep(ctx, claimStagger)
		}
	}
}

// mayClaim says whether this entry VM may be the limiter, if there is anything to limit.
func (l *limiter) mayClaim(s *state) bool {
	return s.table != nil && s.table.Limited() && s.registered && !l.gate.shuttingDown.Load()
}

// byBandwidth orders entry VMs as limiters: those with a wider link come first, as all others call the limiter.
func byBandwidth(a, b pafleet.Entry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
}

// claimDelay returns how long this entry VM leaves pools that nobody keeps to others.
func (l *limiter) claimDelay(s *state) time.Duration {
	turn := time.Duration(l.rank(s)) * claimStagger
	if l.recentlyIsolated() {
		turn += isolatedClaimDelay
	}
	return turn
}

// rank returns how many entry VMs come before this one.
func (l *limiter) rank(s *state) int {
	all := l.gate.liveEntries(s)
	slices.SortFunc(all, byBandwidth)
	return slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == l.gate.self.Name })
}

// claim writes this entry VM into the store as the limiter.
func (l *limiter) claim(ctx context.Context, was pafleet.Revision) (paplatform.LeaseID, bool) {
	g := l.gate
	begun := g.uptime()
	lease, err := g.grantLease(ctx, max(claimTTL, g.config.Settings.MinLeaseTTL))
	if err != nil {
		return "", false
	}
	var at pafleet.Revision
	err = g.storeCall(ctx, "ClaimLimiter", func(ctx context.Context) (err error) {
		at, err = g.config.Registry.ClaimLimiter(ctx, g.self.Name, was, lease)
		return err
	})
	if err != nil {
		if ctx.Err() == nil && paplatform.FaultOf(err) != paplatform.Conflict {
			g.record(paevent.StoreUnreachable{Reason: err.Error()})
		}
		return "", false
	}
	l.mutex.Lock()
	l.pools, l.fillFrom = map[string]*paquota.Pool{}, g.uptime()
	if l.fillFrom-l.inheritedAt > inheritedTTL {
		l.inherited = nil
	}
	if was > 0 && g.uptime()-g.startUptime < claimTTL {
		// Nobody kept them since the process started.
		l.fillFrom = g.startUptime
	}
	l.extendClaim(begun)
	l.mutex.Unlock()
	g.record(paevent.LimiterClaimed{Revision: uint64(at)})
	g.post(ctx, limiterClaimed{at: at})
	return lease, true
}

// extendClaim moves the end of the claim after the lease was renewed by a call that began at a time.
func (l *limiter) extendClaim(begun time.Duration) {
	l.claimEnd = begun + max(claimTTL, l.gate.config.Settings.MinLeaseTTL) - claimMargin
}

// holdClaim renews the claim until it ends, and gives it up when the process leaves, reaches too few others, or is refused by
// a store that serves others.
func (l *limiter) holdClaim(ctx context.Context, lease paplatform.LeaseID) {
	g := l.gate
	touched, next := g.uptime(), g.uptime()+claimRenewInterval
	// failedAt is when the first of the renewals failed that did since one succeeded.
	fails, failedAt := 0, time.Duration(0)
	for g.sleep(ctx, claimPollInterval) && !g.shuttingDown.Load() {
		s, now := g.state.Load(), g.uptime()
		if l.recentlyIsolated() || l.reachesHalf(s) {
			touched = now
		}
		switch {
		case now-touched > isolationTimeout:
			l.abandonClaim(ctx, lease)
			return
		case fails > 0 && s.knownAt > failedAt && l.remaining(now) < handOverBefore:
			l.offerTakeOver(ctx, lease, l.endClaim("the store serves others"))
			return
		case now < next:
			continue
		}
		switch err := l.renew(ctx, lease, now); {
		case paplatform.FaultOf(err) == paplatform.LeaseLapsed:
			l.endClaim("the claim lapsed")
			return
		case err == nil:
			fails, next = 0, now+claimRenewInterval
		default:
			if fails == 0 {
				failedAt = now
			}
			fails, next = fails+1, now+claimRenewRetry
		}
	}
	if ctx.Err() == nil {
		l.handOver(ctx, lease)
	}
}

// remaining returns how long the claim lasts.
func (l *limiter) remaining(now time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.claimEnd - now
}

// renew renews the claim by a call that begins now.
func (l *limiter) renew(ctx context.Context, lease paplatform.LeaseID, now time.Duration) error {
	ctx, cancel := l.gate.withTimeout(ctx, claimRenewTimeout)
	defer cancel()
	err := l.gate.storeCall(ctx, "Renew", func(ctx context.Context) error { return l.gate.config.Registry.RenewLease(ctx, lease) })
	if err == nil {
		l.mutex.Lock()
		l.extendClaim(now)
		l.mutex.Unlock()
	}
	return err
}

// endClaim stops giving out tokens and returns what the pools hold.
func (l *limiter) endClaim(reason string) (left []*pawire.Left) {
	l.mutex.Lock()
	l.claimEnd = longBeforeStart
	for name, p := range l.pools {
		if n := p.Leave(l.gate.uptime()); n > 0 {
			left = append(left, &pawire.Left{Workspace: name, Tokens: uint32(n)})
		}
	}
	l.mutex.Unlock()
	l.gate.record(paevent.LimiterLost{Reason: reason})
	return left
}

// setHint takes an entry VM for the limiter before the store's word of it comes.
func (l *limiter) setHint(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hint, l.hintUntil = name, l.gate.uptime()+hintTTL
}
