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
	// limiterLife is how long a claim on the pools outlives its last renewal, limiterRenew the time between two of these.
	limiterLife  = 3 * time.Second
	limiterRenew = 900 * time.Millisecond
	// renewTimeout bounds a renewal. Harm of more: two that a silent store does not answer take most of the claim.
	renewTimeout = limiterRenew / 2
	// renewAgain is the time from one that failed to the next: a store that is busy answers at once.
	renewAgain = limiterRenew / 3
	// limiterMargin is how long before its claim may end the limiter stops.
	limiterMargin = 200 * time.Millisecond
	// handOverTime is how long before its claim may end a limiter whose renewals fail hands its place over, if others reach
	// the store: two calls. Harm of more: a store that loses some answers moves the pools again and again.
	handOverTime = limiterRenew
	// limiterTurn is how much later each further entry VM claims pools that nobody keeps.
	limiterTurn = 250 * time.Millisecond
	// limiterSettle is how long after its start an entry VM claims none: many that start together know few others yet,
	// and each would take itself for the first.
	limiterSettle = time.Second
	// limiterLook is the time between two looks whether somebody keeps them.
	limiterLook = 50 * time.Millisecond
	// hintLife is how long the word of another entry VM that it follows the limiter counts.
	hintLife = 3 * time.Second
)

// limiter keeps the pools of rate limits while this entry VM is the limiter, and asks the one that is.
//
// One key of the store says who it is. It is written under a lease, and whoever wrote it stops before that lease can
// end: at no time two of them give out tokens. A former lifetime of the own process is dead, so that its claim is taken
// over at once.
type limiter struct {
	gate *Gate
	// name is the hash of the own name, which tells this entry VM from others at the limiter.
	name uint32
	// free hears that the limiter left and this entry VM is to follow.
	free chan struct{}

	mutex sync.Mutex
	pools map[string]*paquota.Pool
	// until is the uptime at which the claim ends, from the one at which the pools begin to fill.
	until, from time.Duration
	// left is what the former limiter's pools held, as of leftAt, for a claim that follows soon.
	left   map[string]int
	leftAt time.Duration
	// alone is the uptime at which the pools were given up because most others could not be reached.
	alone time.Duration
	// hint is who is said to follow the limiter, until hintEnd; guess counts whom else it was looked for at.
	hint    string
	hintEnd time.Duration
	guess   int

	// calls guards the connection to the limiter.
	calls  sync.Mutex
	conn   *drpcconn.Conn
	connTo pafleet.Entry
}

func newLimiter(g *Gate) *limiter {
	return &limiter{gate: g, name: uint32(xxhash.Sum64String(g.self.Name)), free: make(chan struct{}, 1), pools: map[string]*paquota.Pool{}, until: longAgo, alone: longAgo}
}

// run claims the pools when nobody keeps them, and keeps the claim.
func (l *limiter) run(ctx context.Context) {
	g := l.gate
	var missing time.Duration
	for ctx.Err() == nil {
		told := false
		select {
		case <-l.free:
			told = true
		case <-g.config.Clock.After(limiterLook):
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
			missing = max(g.uptime(), g.startedUp+limiterSettle)
		}
		if !own && !told && g.uptime()-missing < l.turn(s) {
			continue
		}
		missing = 0
		var was pafleet.Revision
		if own {
			was = s.limiterAt
		}
		if lease, ok := l.claim(ctx, was); ok {
			l.keep(ctx, lease)
		} else {
			g.sleep(ctx, limiterTurn)
		}
	}
}

// mayClaim says whether this entry VM may be the limiter, if there is anything to limit.
func (l *limiter) mayClaim(s *state) bool {
	return s.table != nil && s.table.HasRateLimit() && s.registered && !l.gate.leaving.Load()
}

// byLink orders entry VMs as limiters: those with a wider link come first, as all others call the limiter.
func byLink(a, b pafleet.Entry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
}

// turn returns how long this entry VM leaves pools that nobody keeps to others.
func (l *limiter) turn(s *state) time.Duration {
	turn := time.Duration(l.rank(s)) * limiterTurn
	if l.wasAlone() {
		turn += aloneTurn
	}
	return turn
}

// rank returns how many entry VMs come before this one.
func (l *limiter) rank(s *state) int {
	all := l.gate.live(s)
	slices.SortFunc(all, byLink)
	return slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == l.gate.self.Name })
}

// claim writes this entry VM into the store as the limiter.
func (l *limiter) claim(ctx context.Context, was pafleet.Revision) (paplatform.LeaseID, bool) {
	g := l.gate
	begun := g.uptime()
	lease, err := g.lease(ctx, max(limiterLife, g.config.Settings.MinLeaseTTL))
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
	l.pools, l.from = map[string]*paquota.Pool{}, g.uptime()
	if l.from-l.leftAt > leftLife {
		l.left = nil
	}
	if was > 0 && g.uptime()-g.startedUp < limiterLife {
		// Nobody kept them since the process started.
		l.from = g.startedUp
	}
	l.extend(begun)
	l.mutex.Unlock()
	g.record(paevent.LimiterClaimed{Revision: uint64(at)})
	g.post(ctx, limiterClaimed{at: at})
	return lease, true
}

// extend moves the end of the claim after the lease was renewed by a call that began at a time.
func (l *limiter) extend(begun time.Duration) {
	l.until = begun + max(limiterLife, l.gate.config.Settings.MinLeaseTTL) - limiterMargin
}

// keep renews the claim until it ends, and gives it up when the process leaves, reaches too few others, or is refused by
// a store that serves others.
func (l *limiter) keep(ctx context.Context, lease paplatform.LeaseID) {
	g := l.gate
	touched, next := g.uptime(), g.uptime()+limiterRenew
	// failedAt is when the first of the renewals failed that did since one succeeded.
	fails, failedAt := 0, time.Duration(0)
	for g.sleep(ctx, limiterLook) && !g.leaving.Load() {
		s, now := g.state.Load(), g.uptime()
		if l.wasAlone() || l.inTouch(s) {
			touched = now
		}
		switch {
		case now-touched > touchTime:
			l.giveUp(ctx, lease)
			return
		case fails > 0 && s.knownAt > failedAt && l.remaining(now) < handOverTime:
			l.offer(ctx, lease, l.end("the store serves others"))
			return
		case now < next:
			continue
		}
		switch err := l.renew(ctx, lease, now); {
		case paplatform.FaultOf(err) == paplatform.LeaseLapsed:
			l.end("the claim lapsed")
			return
		case err == nil:
			fails, next = 0, now+limiterRenew
		default:
			if fails == 0 {
				failedAt = now
			}
			fails, next = fails+1, now+renewAgain
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
	return l.until - now
}

// renew renews the claim by a call that begins now.
func (l *limiter) renew(ctx context.Context, lease paplatform.LeaseID, now time.Duration) error {
	ctx, cancel := l.gate.withTimeout(ctx, renewTimeout)
	defer cancel()
	err := l.gate.storeCall(ctx, "Renew", func(ctx context.Context) error { return l.gate.config.Registry.RenewLease(ctx, lease) })
	if err == nil {
		l.mutex.Lock()
		l.extend(now)
		l.mutex.Unlock()
	}
	return err
}

// end stops giving out tokens and returns what the pools hold.
func (l *limiter) end(reason string) (left []*pawire.Left) {
	l.mutex.Lock()
	l.until = longAgo
	for name, p := range l.pools {
		if n := p.Drain(l.gate.uptime()); n > 0 {
			left = append(left, &pawire.Left{Workspace: name, Tokens: uint32(n)})
		}
	}
	l.mutex.Unlock()
	l.gate.record(paevent.LimiterLost{Reason: reason})
	return left
}

// follow takes an entry VM for the limiter before the store's word of it comes.
func (l *limiter) follow(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hint, l.hintEnd = name, l.gate.uptime()+hintLife
}
