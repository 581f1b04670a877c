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
	// claimTTL is how long the claim to be the limiter outlives its last renewal, claimRenewInterval the time
	// between renewals.
	claimTTL           = 3 * time.Second
	claimRenewInterval = 900 * time.Millisecond
	// claimRenewTimeout bounds a renewal. With a longer one two renewals that a silent store does not answer
	// would use up most of claimTTL.
	claimRenewTimeout = claimRenewInterval / 2
	// claimRenewRetry is the delay after a failed renewal. Without it a busy store, which refuses at once, would
	// be called again at once.
	claimRenewRetry = claimRenewInterval / 3
	// claimMargin is how long before its claim may expire the limiter stops.
	claimMargin = 200 * time.Millisecond
	// handOverBefore is the time left of its claim at which a limiter whose renewals fail hands over, if other
	// entry VMs reach the store. It covers two calls. With a longer one a store that loses some responses would
	// make the pools move again and again.
	handOverBefore = claimRenewInterval
	// claimStagger is the delay by rank after which each further entry VM claims the role if there is no limiter.
	claimStagger = 250 * time.Millisecond
	// claimStartDelay is how long after its start an entry VM waits before it claims the role. Of many that start
	// together, each knows few others yet and would find itself first in rank.
	claimStartDelay = time.Second
	// claimPollInterval is the interval of checks whether there is a limiter.
	claimPollInterval = 50 * time.Millisecond
	// hintTTL is how long a hint from another entry VM on the current limiter is valid.
	hintTTL = 3 * time.Second
)

// limiter keeps the shared token pools of the rate limits while this entry VM holds the limiter role, and calls the
// current limiter otherwise.
//
// A key in the store names the limiter. It is written under a lease, and its holder stops granting tokens before the
// lease can expire, so that there are never two limiters. A claim of an earlier run of this process is taken over at
// once, as that run has ended.
type limiter struct {
	gate *Gate
	// nameHash is the hash of the own name, which identifies this entry VM to the limiter.
	nameHash uint32
	// takeOver signals that the limiter has resigned in favour of this entry VM.
	takeOver chan struct{}

	mutex sync.Mutex
	pools map[string]*paquota.Pool
	// claimEnd is the uptime at which the claim ends, fillFrom the uptime from which the pools fill.
	claimEnd, fillFrom time.Duration
	// inherited is what the former limiter's pools held at inheritedAt, for a claim that follows soon.
	inherited   map[string]int
	inheritedAt time.Duration
	// isolatedAt is the uptime of the last resignation because most other entry VMs were unreachable.
	isolatedAt time.Duration
	// hint is the presumed limiter, until hintUntil; probes counts the entry VMs asked while none is known.
	hint      string
	hintUntil time.Duration
	probes    int

	// connMutex guards the connection to the limiter and its calls.
	connMutex sync.Mutex
	conn      *drpcconn.Conn
	connEntry pafleet.Entry
}

func newLimiter(g *Gate) *limiter {
	return &limiter{
		gate: g, nameHash: uint32(xxhash.Sum64String(g.self.Name)), takeOver: make(chan struct{}, 1),
		pools: map[string]*paquota.Pool{}, claimEnd: longBeforeStart, isolatedAt: longBeforeStart,
	}
}

// run claims the limiter role when nobody holds it, and then holds it.
func (l *limiter) run(ctx context.Context) {
	g := l.gate
	var vacantSince time.Duration
	for ctx.Err() == nil {
		offered := false
		select {
		case <-l.takeOver:
			offered = true
		case <-g.config.Clock.After(claimPollInterval):
		case <-ctx.Done():
			return
		}
		s := g.state.Load()
		own := s.limiter == g.self.Name
		if !l.mayClaim(s) || s.limiter != "" && !own && !offered {
			vacantSince = 0
			continue
		}
		if vacantSince == 0 {
			vacantSince = max(g.uptime(), g.startUptime+claimStartDelay)
		}
		if !own && !offered && g.uptime()-vacantSince < l.claimDelay(s) {
			continue
		}
		vacantSince = 0
		var expected pafleet.Revision
		if own {
			expected = s.limiterAt
		}
		if lease, ok := l.claim(ctx, expected); ok {
			l.holdClaim(ctx, lease)
		} else {
			g.sleep(ctx, claimStagger)
		}
	}
}

// mayClaim reports whether this entry VM may become the limiter: there are limits, it is registered and not shutting
// down.
func (l *limiter) mayClaim(s *state) bool {
	return s.table != nil && s.table.HasRateLimit() && s.registered && !l.gate.shuttingDown.Load()
}

// byBandwidth ranks entry VMs as limiters: those with more bandwidth come first, as all others call the limiter.
func byBandwidth(a, b pafleet.Entry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
}

// claimDelay returns how long this entry VM leaves a vacant role to those before it.
func (l *limiter) claimDelay(s *state) time.Duration {
	delay := time.Duration(l.rank(s)) * claimStagger
	if l.recentlyIsolated() {
		delay += isolatedClaimDelay
	}
	return delay
}

// rank returns how many live entry VMs rank before this one.
func (l *limiter) rank(s *state) int {
	all := l.gate.liveEntries(s)
	slices.SortFunc(all, byBandwidth)
	return slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == l.gate.self.Name })
}

// claim writes this entry VM into the store as the limiter, if the limiter key is still at the expected
// revision, 0 for no key.
func (l *limiter) claim(ctx context.Context, expected pafleet.Revision) (paplatform.LeaseID, bool) {
	g := l.gate
	sentAt := g.uptime()
	lease, err := g.grantLease(ctx, max(claimTTL, g.config.Settings.MinLeaseTTL))
	if err != nil {
		return "", false
	}
	var revision pafleet.Revision
	err = g.storeCall(ctx, "ClaimLimiter", func(ctx context.Context) (err error) {
		revision, err = g.config.Registry.ClaimLimiter(ctx, g.self.Name, expected, lease)
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
	if expected > 0 && g.uptime()-g.startUptime < claimTTL {
		// The key still names this process's former run, so that nobody has granted tokens since the start.
		l.fillFrom = g.startUptime
	}
	l.extendClaim(sentAt)
	l.mutex.Unlock()
	g.record(paevent.LimiterClaimed{Revision: uint64(revision)})
	g.post(ctx, limiterClaimed{at: revision})
	return lease, true
}

// extendClaim sets the end of the claim after a claim or renewal that was sent at the uptime sentAt. The mutex must be held.
func (l *limiter) extendClaim(sentAt time.Duration) {
	l.claimEnd = sentAt + max(claimTTL, l.gate.config.Settings.MinLeaseTTL) - claimMargin
}

// holdClaim renews the claim until it expires. It resigns when the process shuts down, when too few other entry VMs
// are reachable, and when the store refuses this entry VM while it serves others.
func (l *limiter) holdClaim(ctx context.Context, lease paplatform.LeaseID) {
	g := l.gate
	reachedAt, renewAt := g.uptime(), g.uptime()+claimRenewInterval
	// failedAt is the time of the first failed renewal since the last that succeeded.
	failures, failedAt := 0, time.Duration(0)
	for g.sleep(ctx, claimPollInterval) && !g.shuttingDown.Load() {
		s, now := g.state.Load(), g.uptime()
		if l.recentlyIsolated() || l.reachesHalf(s) {
			reachedAt = now
		}
		switch {
		case now-reachedAt > isolationTimeout:
			l.abandonClaim(ctx, lease)
			return
		case failures > 0 && s.verifiedAt > failedAt && l.remaining(now) < handOverBefore:
			l.offerTakeOver(ctx, lease, l.endClaim("the store serves others"))
			return
		case now < renewAt:
			continue
		}
		switch err := l.renew(ctx, lease, now); {
		case paplatform.FaultOf(err) == paplatform.LeaseLapsed:
			l.endClaim("the claim lapsed")
			return
		case err == nil:
			failures, renewAt = 0, now+claimRenewInterval
		default:
			if failures == 0 {
				failedAt = now
			}
			failures, renewAt = failures+1, now+claimRenewRetry
		}
	}
	if ctx.Err() == nil {
		l.handOver(ctx, lease)
	}
}

// remaining returns how long the claim still lasts.
func (l *limiter) remaining(now time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.claimEnd - now
}

// renew renews the claim. now is the uptime at which the call is sent.
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

// endClaim stops granting tokens and returns what the pools hold.
func (l *limiter) endClaim(reason string) (left []*pawire.Left) {
	l.mutex.Lock()
	l.claimEnd = longBeforeStart
	for name, p := range l.pools {
		if n := p.Drain(l.gate.uptime()); n > 0 {
			left = append(left, &pawire.Left{Workspace: name, Tokens: uint32(n)})
		}
	}
	l.mutex.Unlock()
	l.gate.record(paevent.LimiterLost{Reason: reason})
	return left
}

// setHint sets the presumed limiter before the store's notice of it arrives; "" is for unknown.
func (l *limiter) setHint(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hint, l.hintUntil = name, l.gate.uptime()+hintTTL
}
