package pagate

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paplatform"
)

const (
	// minReadInterval is the least time between two readings of the store: changes that come together, as in a
	// roll-out of targets, share one call.
	minReadInterval = 600 * time.Millisecond
	// maxWatchTime is how long the store is known to have had no change at the most: a watch that waits costs one call
	// however long it is, but one whose connection went silent hears nothing for that time.
	maxWatchTime = time.Second
	// watchesPerRevocation is how many watches a bound on the age of what is known has room for.
	watchesPerRevocation = 10
	// maxAge is the age of what is known at which neighbours are asked for more, and the first of them reads the store
	// in the place of those that should have: a watch, a call by which a neighbour asks, and the ways of both.
	maxAge = maxWatchTime + syncInterval + 500*time.Millisecond
	// propagationMargin is how long before a change must be in force the last entry VM reads by itself.
	propagationMargin = 300 * time.Millisecond
	// storeTimeout bounds a call; the store answers in 4 ms, and a silent connection shows no error.
	storeTimeout = maxWatchTime + 500*time.Millisecond
	// minStoreReaders is how many entry VMs read the store for all, at the least, and entriesPerReader how many ask one
	// of them in a large deployment: twice a second each, about a hundredth of a core.
	minStoreReaders          = 2
	entriesPerReader = 50
	// registrationTTL is how long a registration outlives its entry VM; a look-up must not name a dead one
	// for more than 7 s.
	registrationTTL = 5 * time.Second
	// registrationRenewInterval is how often the lease is renewed: two renewals may fail.
	registrationRenewInterval = 1700 * time.Millisecond
)

// followStore keeps up with the store.
func (g *Gate) followStore(ctx context.Context) {
	var lostAt time.Time
	whole := !g.syncedAtStart(ctx)
	wait, fails := g.watchDuration(), 0
	for ctx.Err() == nil {
		if !whole && !g.shouldReadStore() {
			g.sleep(ctx, minReadInterval/4)
			continue
		}
		changed, err := g.readStore(ctx, whole, wait)
		now := g.config.Clock.Now()
		switch {
		case err == nil:
			whole, fails = false, 0
			if !lostAt.IsZero() {
				g.record(paevent.StoreReachable{OutageMilliseconds: now.Sub(lostAt).Milliseconds()})
				lostAt = time.Time{}
			}
		case paplatform.FaultOf(err) == paplatform.HistoryLost:
			whole = true
			continue
		default:
			fails++
			if paplatform.FaultOf(err) != paplatform.Limited {
				g.post(ctx, storeFailure{at: now})
			}
			if lostAt.IsZero() && ctx.Err() == nil {
				lostAt = now
				g.record(paevent.StoreUnreachable{Reason: err.Error()})
			}
		}
		wait = g.watchDuration()
		if changed || err != nil {
			g.sleep(ctx, g.readDelay(fails))
			wait = min(wait, max(0, wait+g.watchOffset(wait)-minReadInterval))
		}
	}
}

// watchOffset is how much later than the first reader of the store this one begins its watches, so that theirs end in watchOffset.
//
// Load: the store goes away, and all know what the last watch that ended said. Harm prevented: all readers' watches end
// together, and the last one was a whole watch ago.
func (g *Gate) watchOffset(watch time.Duration) time.Duration {
	all := g.storeReaders(g.state.Load())
	rank := slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	return watch * time.Duration(max(0, rank)) / time.Duration(max(1, len(all)))
}

// readDelay is the time to the next reading of the store after a number of failures.
//
// Load: the store is away, and a hundred entry VMs find what they know too old. Harm prevented: each asks it again
// twice a second. The readers do; for the others it is enough to ask before a change must be in force.
func (g *Gate) readDelay(fails int) time.Duration {
	if g.isStoreReader() {
		return minReadInterval
	}
	most := max(minReadInterval, g.config.Settings.MaxPropagation/2)
	return min(most, minReadInterval*time.Duration(1+fails))
}

const (
	// bootstrapSyncWait is how long a process waits at the first start of a deployment for a neighbour to tell what the
	// store holds, which is next to nothing.
	bootstrapSyncWait = 2 * time.Second
	// restartSyncWait is how long it waits at any other start: a neighbour of its own region tells all in a twentieth of
	// the bytes of a reading, and where all have just started there is none that could.
	restartSyncWait = 60 * time.Millisecond
	// startSyncPoll is the time between two looks for it.
	startSyncPoll = 5 * time.Millisecond
)

// syncedAtStart waits for a neighbour to tell what the store holds, and says whether one did. Entry VMs that others ask
// at a start do not wait.
func (g *Gate) syncedAtStart(ctx context.Context) bool {
	s := g.config.Settings
	if len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.Peers) {
		return false
	}
	patience := restartSyncWait
	if s.Bootstrap {
		patience = bootstrapSyncWait
	}
	until := g.config.Clock.Now().Add(patience)
	for g.config.Clock.Now().Before(until) && g.sleep(ctx, startSyncPoll) {
		if g.state.Load().revision > 0 {
			return true
		}
	}
	return false
}

// shouldReadStore says whether this entry VM reads the store now: as one of those that do so for all, or
// because what it heard from them is too old.
func (g *Gate) shouldReadStore() bool {
	s := g.state.Load()
	if g.isStoreReader() {
		return true
	}
	all := g.liveByHash(s)
	rank := slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	return g.age(s) > maxAgeOfRank(rank, len(all), g.config.Settings.MaxPropagation)
}

// maxAgeOfRank returns the age of what is known at which the entry VM with a rank among n reads the store by itself.
//
// Load: the readers are gone or cut off, and a hundred entry VMs find what they know too old at the same moment. Harm
// prevented: all of them read the store at once. They come one after the other, and most have heard of what the
// first ones read before their turn; the last one's is before a change must be in force.
func maxAgeOfRank(rank, n int, change time.Duration) time.Duration {
	last := max(maxAge, change-propagationMargin)
	return maxAge + (last-maxAge)*time.Duration(rank)/time.Duration(max(1, n))
}

// watchDuration is how long a watch of the store waits. Keys are out of use once what is known is older than a revocation
// may take, less a watch: short ones leave more of that time for an outage of the store.
func (g *Gate) watchDuration() time.Duration {
	if bound := g.config.Settings.MaxRevocation; bound > 0 {
		return min(maxWatchTime, bound/watchesPerRevocation)
	}
	return maxWatchTime
}

// readStore reads the store once, waiting for a change if it is no whole reading, and says whether there was one.
func (g *Gate) readStore(ctx context.Context, whole bool, wait time.Duration) (changed bool, err error) {
	at, begun := g.uptime(), g.config.Clock.Now()
	ctx, cancel := g.withTimeout(ctx, storeTimeout)
	defer cancel()
	var all []pafleet.Change
	var r pafleet.Revision
	since := g.state.Load().revision
	if whole {
		g.meter.countStoreCall("List")
		all, r, err = g.config.Registry.List(ctx)
	} else {
		g.meter.countStoreCall("Watch")
		all, r, err = g.config.Registry.Watch(ctx, since, wait)
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	if !whole && len(all) == 0 && g.config.Clock.Since(begun) >= wait {
		// Nothing had changed when the watch ended.
		at += wait
	}
	g.post(ctx, storeUpdate{changes: all, since: since, revision: r, whole: whole, verifiedAt: at})
	return whole || len(all) > 0, nil
}

// keepRegistered keeps the registration in the store.
func (g *Gate) keepRegistered(ctx context.Context) {
	var l paplatform.LeaseID
	written := false
	life := max(registrationTTL, g.config.Settings.MinLeaseTTL)
	for ctx.Err() == nil && !g.shuttingDown.Load() {
		var err error
		switch {
		case l == "":
			l, err = g.grantLease(ctx, life)
			written = false
			if err == nil {
				continue
			}
		case !written:
			err = g.storeCall(ctx, "Announce", func(ctx context.Context) error { return g.config.Registry.Register(ctx, g.self, l) })
			written = err == nil
		default:
			err = g.storeCall(ctx, "Renew", func(ctx context.Context) error { return g.config.Registry.RenewLease(ctx, l) })
		}
		if paplatform.FaultOf(err) == paplatform.LeaseLapsed {
			l = ""
			continue
		}
		select {
		case <-g.config.Clock.After(registrationRenewInterval):
		case <-g.reregister:
			if written && !g.sleep(ctx, minReadInterval) {
				return
			}
			written = false
		case <-ctx.Done():
		}
	}
	if l != "" && g.shuttingDown.Load() {
		if err := g.storeCall(ctx, "End", func(ctx context.Context) error { return g.config.Registry.RevokeLease(ctx, l) }); err != nil {
			g.record(paevent.StoreUnreachable{Reason: err.Error()})
		}
	}
}

func (g *Gate) grantLease(ctx context.Context, life time.Duration) (l paplatform.LeaseID, err error) {
	err = g.storeCall(ctx, "Lease", func(ctx context.Context) error {
		l, err = g.config.Registry.GrantLease(ctx, life)
		return err
	})
	return l, err
}

func (g *Gate) storeCall(ctx context.Context, name string, call func(ctx context.Context) error) error {
	g.meter.countStoreCall(name)
	ctx, cancel := g.withTimeout(ctx, storeTimeout)
	defer cancel()
	return call(ctx)
}
