package pagate

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paplatform"
	"papayahead/pawire"
)

// What operators write, configurations and evacuations, takes two ways to each entry VM besides that of all other changes: several
// entry VMs of each region watch the operators' keys in the store, and entry VMs tell each other the revision of the latest such
// change in each call, so that one that lacks it asks for it. Both take one small reading, however many targets there are.

const (
	// minOperatorWatchers is the least number of entry VMs of a region that watch the operators' keys. In a large region one of
	// entriesPerOperatorWatcher does: the store may refuse a third of them at once.
	minOperatorWatchers       = 4
	entriesPerOperatorWatcher = 8
	// operatorWatchTime is how long a watch of the operators' keys waits; it costs one call whatever its length, but one whose
	// connection went silent learns nothing for that time.
	operatorWatchTime = 10 * time.Second
	// operatorReadInterval is the least time between two reads: changes that come together then share a call.
	operatorReadInterval = 100 * time.Millisecond
	// operatorFetchTimeout bounds a call to a neighbour for what operators wrote. A configuration of hundreds of routes takes a
	// tenth of a second on a link of 10 Mbit/s, which requests use too.
	operatorFetchTimeout = time.Second
)

// followOperator keeps what operators wrote up to date with the store while this entry VM should watch it.
func (g *Gate) followOperator(ctx context.Context) {
	whole, failures := false, 0
	for ctx.Err() == nil {
		if g.state.Load().revision == 0 || !g.watchesOperator() {
			g.sleep(ctx, minReadInterval/4)
			continue
		}
		err := g.readOperator(ctx, whole)
		switch {
		case err == nil:
			whole, failures = false, 0
			g.sleep(ctx, operatorReadInterval)
		case paplatform.FaultOf(err) == paplatform.HistoryLost:
			whole = true
		default:
			failures++
			g.sleep(ctx, g.operatorRetryDelay(failures))
		}
	}
}

// operatorRetryDelay returns the time to wait after a number of failed reads in a row.
func (g *Gate) operatorRetryDelay(failures int) time.Duration {
	longest := max(minReadInterval, g.config.Settings.MaxPropagation/2)
	return min(longest, operatorReadInterval<<min(failures, 8))
}

// watchesOperator reports whether this entry VM should watch the operators' keys: because it is one of its region's watchers,
// or because it found its state too old, asked the store for changes, and the store had lost them.
func (g *Gate) watchesOperator() bool {
	if g.historyLost.Load() {
		return true
	}
	rank, n := g.rankInRegion(g.state.Load())
	return rank < max(minOperatorWatchers, n/entriesPerOperatorWatcher)
}

// readOperator reads the operators' keys once, by listing or by a watch.
func (g *Gate) readOperator(ctx context.Context, whole bool) error {
	since := g.state.Load().operatorRevision
	update := operatorUpdate{since: since, source: sourceStore}
	if whole {
		ctx, cancel := g.withTimeout(ctx, storeTimeout)
		defer cancel()
		g.meter.countStoreCall("ListOperator")
		changes, r, err := g.config.Registry.List(ctx, OperatorKeys)
		if err != nil {
			return trace.Wrap(err)
		}
		state := pafleet.NewOperatorState(changes, r)
		update.state = &state
	} else {
		ctx, cancel := g.withTimeout(ctx, operatorWatchTime+storeTimeout-maxWatchTime)
		defer cancel()
		g.meter.countStoreCall("WatchOperator")
		var err error
		update.changes, update.revision, err = g.config.Registry.Watch(ctx, OperatorKeys, since, operatorWatchTime)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	g.post(ctx, update)
	return nil
}

// fetchOperator asks an entry VM for what operators wrote, if it knows of a later change than this one and no other entry VM is
// being asked: a configuration may have hundreds of routes.
func (p *peers) fetchOperator(ctx context.Context, e pafleet.Entry, change pafleet.Revision) {
	since := p.gate.state.Load().operatorRevision
	if change <= since || !p.operatorFetching.CompareAndSwap(false, true) {
		return
	}
	defer p.operatorFetching.Store(false)
	state, err := p.operatorOf(ctx, e, since)
	if err != nil {
		p.gate.meter.operatorFetchErrors.Inc()
		return
	}
	p.gate.post(ctx, operatorUpdate{state: state, source: e.Name})
}

// operatorSettleTime is how long after a change by an operator other entry VMs are given to learn of it.
const operatorSettleTime = time.Second

// settledOperatorChange returns the revision of the operators' latest change, or 0 while others may not know it yet.
func (g *Gate) settledOperatorChange() pafleet.Revision {
	s := g.state.Load()
	if g.uptime()-s.operatorChangedAt < operatorSettleTime {
		return 0
	}
	return s.operatorChange
}

// fetchFromCaller asks an entry VM that called for what operators wrote, if it knows of a later change.
func (p *peers) fetchFromCaller(q *pawire.SyncRequest) {
	change := pafleet.Revision(q.GetOperatorChange())
	if change <= p.gate.state.Load().operatorRevision {
		return
	}
	p.mutex.Lock()
	k := p.known[q.GetName()]
	p.mutex.Unlock()
	if k != nil {
		go p.fetchOperator(p.gate.requestsCtx, k.entry, change)
	}
}

// operatorOf calls an entry VM for what operators wrote.
func (p *peers) operatorOf(ctx context.Context, e pafleet.Entry, since pafleet.Revision) (*pafleet.OperatorState, error) {
	ctx, cancel := p.gate.withTimeout(ctx, operatorFetchTimeout)
	defer cancel()
	c := p.conn(e.Peers)
	if !c.busy.lock(ctx) {
		return nil, trace.Wrap(ctx.Err())
	}
	defer c.busy.unlock()
	if err := p.connect(ctx, c, e); err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := pawire.NewDRPCSyncingClient(c.conn).Operator(ctx, &pawire.OperatorRequest{Since: uint64(since)})
	if err != nil {
		c.disconnect(p.gate)
		return nil, trace.Wrap(err)
	}
	p.gate.traffic.changes.Add(uint64(len(r.GetState())))
	state := &pafleet.OperatorState{}
	if err := pawire.DecodeGzip(r.GetState(), state); err != nil {
		p.gate.record(paevent.NeighbourUnreadable{Reason: err.Error()})
		return nil, trace.Wrap(err)
	}
	return state, nil
}

// Operator handles a neighbour's call for what operators wrote.
func (p *peers) Operator(ctx context.Context, q *pawire.OperatorRequest) (*pawire.OperatorReply, error) {
	replies := make(chan pafleet.OperatorState, 1)
	p.gate.post(ctx, operatorRequest{since: pafleet.Revision(q.GetSince()), reply: replies})
	select {
	case state := <-replies:
		b, err := pawire.EncodeGzip(state)
		return &pawire.OperatorReply{State: b}, trace.Wrap(err)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
