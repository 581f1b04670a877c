package pagate

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"

	"papayahead/pafleet"
	"papayahead/paquota"
	"papayahead/pawire"
)

// Take handles an entry VM's request for tokens.
func (l *limiter) Take(_ context.Context, q *pawire.TakeRequest) (*pawire.TakeReply, error) {
	return l.grant(q.GetWanted(), q.GetFrom()), nil
}

// grant grants tokens of the pools; the reply has none if this entry VM is not the limiter.
func (l *limiter) grant(all []*pawire.Wanted, from uint32) *pawire.TakeReply {
	s := l.gate.state.Load()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.gate.uptime()
	if now >= l.claimEnd || s.table == nil {
		return &pawire.TakeReply{Limiter: l.currentLimiter(s, now)}
	}
	r := &pawire.TakeReply{Limiter: l.gate.self.Name}
	for _, w := range all {
		granted, next := 0, claimPollInterval
		if pool := l.pool(s, w.GetWorkspace(), now); pool != nil {
			wanted := paquota.Demand{Waiting: int(w.GetWaiting()), Spare: int(w.GetSpare()), EntryID: uint64(from)}
			granted, next = pool.Take(wanted, now)
		}
		r.Granted = append(r.Granted, &pawire.Granted{Tokens: uint32(granted), NextMilliseconds: uint32(next.Milliseconds())})
	}
	return r
}

// pool returns the pool of a workspace, sized by the state; nil if the workspace is unknown or has no limit. The
// mutex must be held.
func (l *limiter) pool(s *state, name string, now time.Duration) *paquota.Pool {
	w := s.table.Workspace(name)
	if w == nil || !w.HasRateLimit() {
		delete(l.pools, name)
		return nil
	}
	bucket := l.gate.division(w, s).Pool
	p := l.pools[name]
	if p == nil {
		p = paquota.NewPool(bucket, l.gate.config.Settings.Quota, l.fillFrom)
		p.Add(l.inherited[name])
		delete(l.inherited, name)
		l.pools[name] = p
	}
	p.SetBucket(bucket, now)
	return p
}

// currentLimiter returns the presumed limiter. After hintUntil the limiter key in the store has priority over the hint,
// unless it is empty, or names this entry VM, whose claim has ended. The mutex must be held.
func (l *limiter) currentLimiter(s *state, now time.Duration) string {
	if l.hint != "" && (now < l.hintUntil || s.limiter == "" || s.limiter == l.gate.self.Name) {
		return l.hint
	}
	return s.limiter
}

// takeTokens requests tokens from the limiter, which may be this entry VM.
func (l *limiter) takeTokens(ctx context.Context, s *state, wanted []*pawire.Wanted) ([]*pawire.Granted, error) {
	g := l.gate
	l.mutex.Lock()
	now := g.uptime()
	own, name := now < l.claimEnd, l.currentLimiter(s, now)
	l.mutex.Unlock()
	if own {
		return l.grant(wanted, l.nameHash).GetGranted(), nil
	}
	if name == "" {
		name = l.nextCandidate()
	}
	ctx, cancel := g.withTimeout(ctx, paquota.MaxCallTime)
	defer cancel()
	l.connMutex.Lock()
	defer l.connMutex.Unlock()
	for range maxRedirects + 1 {
		granted, other, err := l.takeFrom(ctx, s, name, wanted)
		if err != nil || granted != nil {
			return granted, err
		}
		name = other
	}
	return nil, trace.NotFound("%s is not the limiter", name)
}

// maxRedirects is how many entry VMs that are not the limiter are believed in one call which one is. Requests beyond the own few
// tokens are refused for a while after a call that failed.
const maxRedirects = 2

// takeFrom requests tokens from the entry VM with a name. If that is not the limiter, it returns whom it names instead; "" if
// nobody. connMutex must be held.
func (l *limiter) takeFrom(ctx context.Context, s *state, name string, wanted []*pawire.Wanted) (granted []*pawire.Granted, other string, err error) {
	e, ok := l.findEntry(s, name)
	if !ok || name == l.gate.self.Name {
		return nil, "", trace.NotFound("no limiter known")
	}
	r, err := l.callTake(ctx, e, &pawire.TakeRequest{Wanted: wanted, From: l.nameHash})
	if err != nil {
		l.disconnect()
		l.setHint("")
		return nil, "", trace.Wrap(err)
	}
	if len(r.GetGranted()) == len(wanted) {
		return r.GetGranted(), "", nil
	}
	if other = r.GetLimiter(); other == name {
		other = ""
	}
	l.setHint(other)
	return nil, other, nil
}

// findEntry returns the entry VM with a name. The one that is connected is found also if its registration expired, as
// the store may have lost its renewals. connMutex must be held.
func (l *limiter) findEntry(s *state, name string) (pafleet.Entry, bool) {
	if i := slices.IndexFunc(s.entries, func(e pafleet.Entry) bool { return e.Name == name }); i >= 0 {
		return s.entries[i], true
	}
	return l.connEntry, l.conn != nil && l.connEntry.Name == name
}

// callTake requests tokens from an entry VM. connMutex must be held.
func (l *limiter) callTake(ctx context.Context, e pafleet.Entry, q *pawire.TakeRequest) (*pawire.TakeReply, error) {
	c, err := l.connect(ctx, e)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := pawire.NewDRPCLimitingClient(c).Take(ctx, q)
	return r, trace.Wrap(err)
}

// nextCandidate returns one of the entry VMs that rank first, a different one at each call: it is the limiter, or
// replies which one it presumes.
//
// The end of a limiter's claim may be known here before its successor, as the store serves only few readers. If
// nobody were asked, all requests beyond the own few tokens would be refused until the next update from the store.
func (l *limiter) nextCandidate() string {
	all := l.successors()
	if len(all) == 0 {
		return ""
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.probes++
	return all[l.probes%len(all)].Name
}

// connect returns a connection to an entry VM. connMutex must be held.
func (l *limiter) connect(ctx context.Context, e pafleet.Entry) (*drpcconn.Conn, error) {
	if l.conn != nil && l.connEntry.Peers == e.Peers {
		return l.conn, nil
	}
	l.disconnect()
	raw, err := l.gate.dialCounted(ctx, e.Peers, &l.gate.traffic.limiter)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.conn, l.connEntry = drpcconn.New(raw), e
	return l.conn, nil
}

// disconnect closes the connection to the limiter. connMutex must be held.
func (l *limiter) disconnect() {
	if l.conn == nil {
		return
	}
	if err := l.conn.Close(); err != nil {
		l.gate.meter.peerCloseErrors.Inc()
	}
	l.conn = nil
}
