package pagate

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paplatform"
)

const (
	// readPace is the time between two readings of the store: changes that come together, as in a
	// roll-out of targets, share one call. Bound: a target that drains gets nothing 2.5 s after the
	// store took its word, of which a reading by a neighbour takes another syncPace.
	readPace = 600 * time.Millisecond
	// maxAge is the age of what is known at which an entry VM reads the store by itself, because its
	// neighbours that should have done so did not.
	maxAge = watchTime + readPace + syncPace + 100*time.Millisecond
	// watchTime is how long a watch waits for a change. A waiting watch costs one call however long it
	// is, but one whose connection went silent hears nothing for that time.
	watchTime = time.Second
	// storeTimeout bounds a call; the store answers in 4 ms, and a silent connection shows no error.
	storeTimeout = watchTime + 500*time.Millisecond
	// readers is how many entry VMs read the store for all, at the least, and entriesPerReader how many ask one
	// of them in a large deployment: twice a second each, about a hundredth of a core.
	readers          = 2
	entriesPerReader = 50
	// leaseLife is how long a registration outlives its entry VM; a look-up must not name a dead one
	// for more than 7 s.
	leaseLife = 5 * time.Second
	// renewPace is how often the lease is renewed: two renewals may fail.
	renewPace = 1700 * time.Millisecond
)

// follow keeps up with the store.
func (g *Gate) follow(ctx context.Context) {
	var lostAt time.Time
	whole := true
	for ctx.Err() == nil {
		if !whole && !g.dutyToRead() {
			g.sleep(ctx, readPace/4)
			continue
		}
		err := g.read(ctx, whole)
		now := g.config.Clock.Now()
		switch {
		case err == nil:
			whole = false
			if !lostAt.IsZero() {
				g.record(paevent.StoreReachable{OutageMilliseconds: now.Sub(lostAt).Milliseconds()})
				lostAt = time.Time{}
			}
		case paplatform.FaultOf(err) == paplatform.HistoryLost:
			whole = true
			continue
		default:
			if paplatform.FaultOf(err) != paplatform.Limited {
				g.post(ctx, storeFailed{at: now})
			}
			if lostAt.IsZero() && ctx.Err() == nil {
				lostAt = now
				g.record(paevent.StoreUnreachable{Reason: err.Error()})
			}
		}
		g.sleep(ctx, readPace)
	}
}

// dutyToRead says whether this entry VM reads the store now: as one of those that do so for all, or
// because what it heard from them is too old.
func (g *Gate) dutyToRead() bool {
	s := g.state.Load()
	if g.config.Clock.Since(s.readAt) > maxAge {
		return true
	}
	for _, e := range g.readers(s) {
		if e.Name == g.self.Name {
			return true
		}
	}
	return false
}

// read reads the store once.
func (g *Gate) read(ctx context.Context, whole bool) error {
	at := g.config.Clock.Now()
	ctx, cancel := g.withTimeout(ctx, storeTimeout)
	defer cancel()
	var all []pafleet.Change
	var r pafleet.Revision
	var err error
	if whole {
		g.meter.storeCall("List")
		all, r, err = g.config.Registry.List(ctx)
	} else {
		g.meter.storeCall("Watch")
		all, r, err = g.config.Registry.Watch(ctx, g.state.Load().revision, watchTime)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if !whole && len(all) == 0 && g.config.Clock.Since(at) >= watchTime {
		// Nothing had changed when the watch ended.
		at = at.Add(watchTime)
	}
	g.post(ctx, storeRead{changes: all, revision: r, whole: whole, at: at})
	return nil
}

// announce keeps the registration in the store.
func (g *Gate) announce(ctx context.Context) {
	var l paplatform.LeaseID
	written := false
	life := max(leaseLife, g.config.Settings.MinLease)
	for ctx.Err() == nil && !g.leaving.Load() {
		var err error
		switch {
		case l == "":
			l, err = g.lease(ctx, life)
			written = false
			if err == nil {
				continue
			}
		case !written:
			err = g.storeCall(ctx, "Announce", func(ctx context.Context) error { return g.config.Registry.Announce(ctx, g.self, l) })
			written = err == nil
		default:
			err = g.storeCall(ctx, "Renew", func(ctx context.Context) error { return g.config.Registry.Renew(ctx, l) })
		}
		if paplatform.FaultOf(err) == paplatform.LeaseLapsed {
			l = ""
			continue
		}
		select {
		case <-g.config.Clock.After(renewPace):
		case <-g.announced:
			if written && !g.sleep(ctx, readPace) {
				return
			}
			written = false
		case <-ctx.Done():
		}
	}
	if l != "" && g.leaving.Load() {
		if err := g.storeCall(ctx, "End", func(ctx context.Context) error { return g.config.Registry.End(ctx, l) }); err != nil {
			g.record(paevent.StoreUnreachable{Reason: err.Error()})
		}
	}
}

func (g *Gate) lease(ctx context.Context, life time.Duration) (l paplatform.LeaseID, err error) {
	err = g.storeCall(ctx, "Lease", func(ctx context.Context) error {
		l, err = g.config.Registry.Lease(ctx, life)
		return err
	})
	return l, err
}

func (g *Gate) storeCall(ctx context.Context, name string, call func(ctx context.Context) error) error {
	g.meter.storeCall(name)
	ctx, cancel := g.withTimeout(ctx, storeTimeout)
	defer cancel()
	return call(ctx)
}
