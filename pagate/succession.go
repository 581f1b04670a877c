package pagate

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paplatform"
	"papayahead/paquota"
	"papayahead/pawire"
)

const (
	// successorsMost is how many are told to follow a limiter, one after the other.
	successorsMost = 3
	// leftLife is how long what a limiter left may be claimed. A claim of somebody else in between has given it out; it
	// cannot begin and lapse in that time.
	leftLife = time.Second
)

// handOver gives up the claim and tells the entry VM that comes first to claim it.
//
// Load: entry VMs are stopped and started in turn. Harm prevented: until the others read in the store that nobody is
// the limiter, and one claims it, requests beyond the shares are refused.
func (l *limiter) handOver(ctx context.Context, lease paplatform.LeaseID) {
	left := l.end("shutdown")
	if l.release(ctx, lease) {
		l.offer(ctx, "", left)
	}
}

// offer tells those that come first, one after the other, to follow, until one does, and what the pools hold. One that
// is given a lease ends it in the store; of several that heard, one can claim.
//
// Load: the store refuses the limiter and serves others. Harm prevented: nobody may claim the pools until its claim has
// lapsed, seconds after it stopped.
func (l *limiter) offer(ctx context.Context, lease paplatform.LeaseID, left []*pawire.Left) {
	g := l.gate
	l.calls.Lock()
	defer l.calls.Unlock()
	for _, e := range l.successors() {
		ctx, cancel := g.withTimeout(ctx, paquota.MaxCallTime)
		c, err := l.connect(ctx, e)
		if err == nil {
			_, err = pawire.NewDRPCLimitingClient(c).TakeOver(ctx, &pawire.TakeOverRequest{Lease: string(lease), Left: left})
		}
		cancel()
		if err == nil {
			l.follow(e.Name)
			return
		}
		l.disconnect()
	}
}

// release ends a claim in the store, and says whether it has ended.
func (l *limiter) release(ctx context.Context, lease paplatform.LeaseID) bool {
	err := l.gate.storeCall(ctx, "End", func(ctx context.Context) error { return l.gate.config.Registry.RevokeLease(ctx, lease) })
	if err != nil {
		l.gate.record(paevent.StoreUnreachable{Reason: err.Error()})
	}
	return err == nil
}

// giveUp leaves the pools to an entry VM that reaches more others.
func (l *limiter) giveUp(ctx context.Context, lease paplatform.LeaseID) {
	l.end("out of touch")
	l.mutex.Lock()
	l.alone = l.gate.uptime()
	l.mutex.Unlock()
	l.release(ctx, lease)
}

// successors returns the first of the other entry VMs.
func (l *limiter) successors() []pafleet.Entry {
	g := l.gate
	all := slices.DeleteFunc(g.live(g.state.Load()), func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	slices.SortFunc(all, byLink)
	return all[:min(len(all), successorsMost)]
}

// TakeOver answers the limiter that leaves.
func (l *limiter) TakeOver(ctx context.Context, q *pawire.TakeOverRequest) (*pawire.TakeOverReply, error) {
	s := l.gate.state.Load()
	if !l.mayClaim(s) {
		return nil, trace.AccessDenied("%s may not be the limiter", l.gate.self.Name)
	}
	if lease := paplatform.LeaseID(q.GetLease()); lease != "" && !l.release(ctx, lease) {
		return nil, trace.ConnectionProblem(nil, "the store does not serve %s", l.gate.self.Name)
	}
	l.mutex.Lock()
	l.left, l.leftAt = map[string]int{}, l.gate.uptime()
	for _, w := range q.GetLeft() {
		if s.table.Workspace(w.GetWorkspace()) != nil {
			l.left[w.GetWorkspace()] = int(w.GetTokens())
		}
	}
	l.mutex.Unlock()
	select {
	case l.free <- struct{}{}:
	default:
	}
	return &pawire.TakeOverReply{}, nil
}
