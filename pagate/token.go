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

// Take answers an entry VM that asks for tokens.
func (l *limiter) Take(_ context.Context, q *pawire.TakeRequest) (*pawire.TakeReply, error) {
	return l.take(q.GetWanted(), q.GetFrom()), nil
}

// take gives out tokens of the pools; the reply is empty where this entry VM does not keep them.
func (l *limiter) take(all []*pawire.Wanted, from uint32) *pawire.TakeReply {
	s := l.gate.state.Load()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.gate.uptime()
	if now >= l.until || s.table == nil {
		return &pawire.TakeReply{Limiter: l.follows(s, now)}
	}
	r := &pawire.TakeReply{Limiter: l.gate.self.Name}
	for _, w := range all {
		granted, next := 0, limiterLook
		if pool := l.pool(s, w.GetWorkspace(), now); pool != nil {
			wanted := paquota.Demand{Waiting: int(w.GetWaiting()), Spare: int(w.GetSpare()), EntryID: uint64(from)}
			granted, next = pool.Take(wanted, now)
		}
		r.Granted = append(r.Granted, &pawire.Granted{Tokens: uint32(granted), NextMilliseconds: uint32(next.Milliseconds())})
	}
	return r
}

// pool returns the pool of a workspace as the state divides its limit; nil for one that has none here.
func (l *limiter) pool(s *state, name string, now time.Duration) *paquota.Pool {
	w := s.table.Workspace(name)
	if w == nil || !w.HasRateLimit() {
		delete(l.pools, name)
		return nil
	}
	bucket := l.gate.division(w, s).Pool
	p := l.pools[name]
	if p == nil {
		p = paquota.NewPool(bucket, l.gate.config.Settings.Quota, l.from)
		p.Add(l.left[name])
		delete(l.left, name)
		l.pools[name] = p
	}
	p.SetBucket(bucket, now)
	return p
}

// follows returns whom this entry VM takes for the limiter; mutex is held. Once hintEnd is past the store's word goes
// first, unless it names nobody, or this entry VM itself, which knows better.
func (l *limiter) follows(s *state, now time.Duration) string {
	if l.hint != "" && (now < l.hintEnd || s.limiter == "" || s.limiter == l.gate.self.Name) {
		return l.hint
	}
	return s.limiter
}

// ask takes tokens from the pools, wherever they are kept.
func (l *limiter) ask(ctx context.Context, s *state, wanted []*pawire.Wanted) ([]*pawire.Granted, error) {
	g := l.gate
	l.mutex.Lock()
	now := g.uptime()
	here, name := now < l.until, l.follows(s, now)
	l.mutex.Unlock()
	if here {
		return l.take(wanted, l.name).GetGranted(), nil
	}
	if name == "" {
		name = l.likely()
	}
	ctx, cancel := g.withTimeout(ctx, paquota.MaxCallTime)
	defer cancel()
	l.calls.Lock()
	defer l.calls.Unlock()
	e, ok := l.reach(s, name)
	if !ok || name == g.self.Name {
		return nil, trace.NotFound("no limiter")
	}
	r, err := l.call(ctx, e, &pawire.TakeRequest{Wanted: wanted, From: l.name})
	if err != nil {
		l.disconnect()
		l.follow("")
		return nil, trace.Wrap(err)
	}
	if len(r.GetGranted()) != len(wanted) {
		other := r.GetLimiter()
		if other == name {
			other = ""
		}
		l.follow(other)
		return nil, trace.NotFound("%s is not the limiter", name)
	}
	return r.GetGranted(), nil
}

// reach returns the entry VM of a name; calls is held. The one that was asked last counts also when its registration has
// lapsed: the store may have lost its renewals.
func (l *limiter) reach(s *state, name string) (pafleet.Entry, bool) {
	if i := slices.IndexFunc(s.entries, func(e pafleet.Entry) bool { return e.Name == name }); i >= 0 {
		return s.entries[i], true
	}
	return l.connTo, l.conn != nil && l.connTo.Name == name
}

// call asks an entry VM for tokens; calls is held.
func (l *limiter) call(ctx context.Context, e pafleet.Entry, q *pawire.TakeRequest) (*pawire.TakeReply, error) {
	c, err := l.connect(ctx, e)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := pawire.NewDRPCLimitingClient(c).Take(ctx, q)
	return r, trace.Wrap(err)
}

// likely returns, in turn, who is the limiter if anybody is: it answers, or says whom it follows.
//
// Load: the limiter's end is known and who followed it is not yet, as the store serves few readers. Harm prevented: all
// requests beyond the own few tokens are refused until the next word of the store, though there is a limiter.
func (l *limiter) likely() string {
	all := l.successors()
	if len(all) == 0 {
		return ""
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.guess++
	return all[l.guess%len(all)].Name
}

// connect returns a connection to an entry VM; calls is held.
func (l *limiter) connect(ctx context.Context, e pafleet.Entry) (*drpcconn.Conn, error) {
	if l.conn != nil && l.connTo.Peers == e.Peers {
		return l.conn, nil
	}
	l.disconnect()
	raw, err := l.gate.dialCounted(ctx, e.Peers, &l.gate.traffic.limiter)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.conn, l.connTo = drpcconn.New(raw), e
	return l.conn, nil
}

// disconnect closes the connection to the limiter; calls is held.
func (l *limiter) disconnect() {
	if l.conn == nil {
		return
	}
	if err := l.conn.Close(); err != nil {
		l.gate.meter.peerCloses.Inc()
	}
	l.conn = nil
}
