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
	// maxSuccessors is how many entry VMs are offered the role, one after the other.
	maxSuccessors = 3
	// inheritedTTL is how long the tokens that a limiter handed over may be claimed. Another limiter in between
	// could have granted them again, but its claim cannot begin and expire in that time.
	inheritedTTL = time.Second
)

// handOver revokes the claim and offers the role to the next in rank. In a rolling restart of entry VMs, requests
// beyond the shares would otherwise be refused until another entry VM reads in the store that the role is vacant, and
// claims it.
func (l *limiter) handOver(ctx context.Context, lease paplatform.LeaseID) {
	left := l.endClaim("shutdown")
	if l.revokeClaim(ctx, lease) {
		l.offerTakeOver(ctx, "", left)
	}
}

// offerTakeOver offers the role and the pools' tokens to the next in rank, one after the other, until one accepts. If
// a lease is given, the successor revokes it in the store; if several got the offer, only one can claim the role.
//
// A limiter that the store refuses, while it serves others, cannot revoke its own claim. Without the offer nobody
// could claim the role until the claim expires, seconds after the limiter stopped.
func (l *limiter) offerTakeOver(ctx context.Context, lease paplatform.LeaseID, left []*pawire.Left) {
	g := l.gate
	l.connMutex.Lock()
	defer l.connMutex.Unlock()
	for _, e := range l.successors() {
		ctx, cancel := g.withTimeout(ctx, paquota.MaxCallTime)
		c, err := l.connect(ctx, e)
		if err == nil {
			_, err = pawire.NewDRPCLimitingClient(c).TakeOver(ctx, &pawire.TakeOverRequest{Lease: string(lease), Left: left})
		}
		cancel()
		if err == nil {
			l.setHint(e.Name)
			return
		}
		l.disconnect()
	}
}

// revokeClaim revokes a claim's lease in the store, and reports whether that succeeded.
func (l *limiter) revokeClaim(ctx context.Context, lease paplatform.LeaseID) bool {
	err := l.gate.storeCall(ctx, "End", func(ctx context.Context) error { return l.gate.config.Registry.RevokeLease(ctx, lease) })
	if err != nil {
		l.gate.record(paevent.StoreUnreachable{Reason: err.Error()})
	}
	return err == nil
}

// abandonClaim resigns in favour of an entry VM that reaches more others.
func (l *limiter) abandonClaim(ctx context.Context, lease paplatform.LeaseID) {
	l.endClaim("reached fewer than half of the other entry VMs")
	l.mutex.Lock()
	l.isolatedAt = l.gate.uptime()
	l.mutex.Unlock()
	l.revokeClaim(ctx, lease)
}

// successors returns the entry VMs that rank first among the others.
func (l *limiter) successors() []pafleet.Entry {
	g := l.gate
	all := slices.DeleteFunc(g.liveEntries(g.state.Load()), func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	slices.SortFunc(all, byBandwidth)
	return all[:min(len(all), maxSuccessors)]
}

// TakeOver handles the offer of a limiter that resigns. It returns an error if this entry VM cannot become the
// limiter.
func (l *limiter) TakeOver(ctx context.Context, q *pawire.TakeOverRequest) (*pawire.TakeOverReply, error) {
	s := l.gate.state.Load()
	if !l.mayClaim(s) {
		return nil, trace.AccessDenied("%s is not eligible as the limiter", l.gate.self.Name)
	}
	if lease := paplatform.LeaseID(q.GetLease()); lease != "" && !l.revokeClaim(ctx, lease) {
		return nil, trace.ConnectionProblem(nil, "%s cannot revoke the former limiter's lease in the store", l.gate.self.Name)
	}
	l.mutex.Lock()
	l.inherited, l.inheritedAt = map[string]int{}, l.gate.uptime()
	for _, w := range q.GetLeft() {
		if s.table.Workspace(w.GetWorkspace()) != nil {
			l.inherited[w.GetWorkspace()] = int(w.GetTokens())
		}
	}
	l.mutex.Unlock()
	select {
	case l.takeOver <- struct{}{}:
	default:
	}
	return &pawire.TakeOverReply{}, nil
}
