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
	// limiterMargin is how long before its claim may end the limiter stops.
	limiterMargin = 200 * time.Millisecond
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
	// hint is who is said to follow the limiter, until hintEnd.
	hint    string
	hintEnd time.Duration

	// calls guards the connection to the limiter.
	calls  sync.Mutex
	conn   *drpcconn.Conn
	connTo string
}

func newLimiter(g *Gate) *limiter {
	return &limiter{gate: g, name: uint32(xxhash.Sum64String(g.self.Name)), free: make(chan struct{}, 1), pools: map[string]*paquota.Pool{}, until: longAgo}
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
		if turn := time.Duration(l.rank(s)) * limiterTurn; !own && !told && g.uptime()-missing < turn {
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
	return s.table != nil && s.table.Limited() && s.registered && !l.gate.leaving.Load()
}

// byLink orders entry VMs as limiters: those with a wider link come first, as all others call the limiter.
func byLink(a, b pafleet.Entry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
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
	lease, err := g.lease(ctx, max(limiterLife, g.config.Settings.MinLease))
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
	l.until = begun + max(limiterLife, l.gate.config.Settings.MinLease) - limiterMargin
}

// keep renews the claim until it ends, and gives it up when the process leaves.
func (l *limiter) keep(ctx context.Context, lease paplatform.LeaseID) {
	g := l.gate
	for g.sleep(ctx, limiterRenew) && !g.leaving.Load() {
		begun := g.uptime()
		err := g.storeCall(ctx, "Renew", func(ctx context.Context) error { return g.config.Registry.Renew(ctx, lease) })
		if paplatform.FaultOf(err) == paplatform.LeaseLapsed {
			l.end("the claim lapsed")
			return
		}
		if err == nil {
			l.mutex.Lock()
			l.extend(begun)
			l.mutex.Unlock()
		}
	}
	if ctx.Err() == nil {
		l.handOver(ctx, lease)
	}
}

// end stops giving out tokens.
func (l *limiter) end(reason string) {
	l.mutex.Lock()
	l.until = longAgo
	l.mutex.Unlock()
	l.gate.record(paevent.LimiterLost{Reason: reason})
}

// handOver gives up the claim and tells the entry VM that comes first to claim it.
//
// Load: entry VMs are stopped and started in turn. Harm prevented: until the others read in the store that nobody is
// the limiter, and one claims it, requests beyond the shares are refused.
func (l *limiter) handOver(ctx context.Context, lease paplatform.LeaseID) {
	g := l.gate
	l.end("shutdown")
	err := g.storeCall(ctx, "End", func(ctx context.Context) error { return g.config.Registry.End(ctx, lease) })
	if err != nil {
		g.record(paevent.StoreUnreachable{Reason: err.Error()})
		return
	}
	next, ok := l.successor()
	if !ok {
		return
	}
	ctx, cancel := g.withTimeout(ctx, paquota.CallTime)
	defer cancel()
	l.calls.Lock()
	defer l.calls.Unlock()
	c, err := l.connect(ctx, next)
	if err == nil {
		_, err = pawire.NewDRPCLimitingClient(c).TakeOver(ctx, &pawire.TakeOverRequest{})
	}
	if err != nil {
		g.peers.failed(next)
		return
	}
	l.follow(next.Name)
}

// follow takes an entry VM for the limiter before the store's word of it comes.
func (l *limiter) follow(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hint, l.hintEnd = name, l.gate.uptime()+hintLife
}

// successor returns the first of the other entry VMs.
func (l *limiter) successor() (pafleet.Entry, bool) {
	g := l.gate
	all := slices.DeleteFunc(g.live(g.state.Load()), func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	if len(all) == 0 {
		return pafleet.Entry{}, false
	}
	return slices.MinFunc(all, byLink), true
}

// TakeOver answers the limiter that leaves.
func (l *limiter) TakeOver(context.Context, *pawire.TakeOverRequest) (*pawire.TakeOverReply, error) {
	select {
	case l.free <- struct{}{}:
	default:
	}
	return &pawire.TakeOverReply{}, nil
}
