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
	// readPace is the least time between two readings of the store: changes that come together, as in a
	// roll-out of targets, share one call.
	readPace = 600 * time.Millisecond
	// watchMost is how long the store is known to have had no change at the most: a watch that waits costs one call
	// however long it is, but one whose connection went silent hears nothing for that time.
	watchMost = time.Second
	// watchesPerBound is how many watches a bound on the age of what is known has room for.
	watchesPerBound = 10
	// maxAge is the age of what is known at which neighbours are asked for more, and the first of them reads the store
	// in the place of those that should have: a watch, a call by which a neighbour asks, and the ways of both.
	maxAge = watchMost + syncPace + 500*time.Millisecond
	// latestMargin is how long before a change must be in force the last entry VM reads by itself.
	latestMargin = 300 * time.Millisecond
	// storeTimeout bounds a call; the store answers in 4 ms, and a silent connection shows no error.
	storeTimeout = watchMost + 500*time.Millisecond
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
	whole := !g.toldAtStart(ctx)
	wait, fails := g.watchTime(), 0
	for ctx.Err() == nil {
		if !whole && !g.dutyToRead() {
			g.sleep(ctx, readPace/4)
			continue
		}
		changed, err := g.read(ctx, whole, wait)
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
				g.post(ctx, storeFailed{at: now})
			}
			if lostAt.IsZero() && ctx.Err() == nil {
				lostAt = now
				g.record(paevent.StoreUnreachable{Reason: err.Error()})
			}
		}
		wait = g.watchTime()
		if changed || err != nil {
			g.sleep(ctx, g.pause(fails))
			wait = min(wait, max(0, wait+g.turn(wait)-readPace))
		}
	}
}

// turn is how much later than the first reader of the store this one begins its watches, so that theirs end in turn.
//
// Load: the store goes away, and all know what the last watch that ended said. Harm prevented: all readers' watches end
// together, and the last one was a whole watch ago.
func (g *Gate) turn(watch time.Duration) time.Duration {
	all := g.readers(g.state.Load())
	rank := slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	return watch * time.Duration(max(0, rank)) / time.Duration(max(1, len(all)))
}

// pause is the time to the next reading of the store after a number of failures.
//
// Load: the store is away, and a hundred entry VMs find what they know too old. Harm prevented: each asks it again
// twice a second. The readers do; for the others it is enough to ask before a change must be in force.
func (g *Gate) pause(fails int) time.Duration {
	if g.isReader() {
		return readPace
	}
	most := max(readPace, g.config.Settings.MaxPropagation/2)
	return min(most, readPace*time.Duration(1+fails))
}

const (
	// firstPatience is how long a process waits at the first start of a deployment for a neighbour to tell what the
	// store holds, which is next to nothing.
	firstPatience = 2 * time.Second
	// startPatience is how long it waits at any other start: a neighbour of its own region tells all in a twentieth of
	// the bytes of a reading, and where all have just started there is none that could.
	startPatience = 60 * time.Millisecond
	// startPace is the time between two looks for it.
	startPace = 5 * time.Millisecond
)

// toldAtStart waits for a neighbour to tell what the store holds, and says whether one did. Entry VMs that others ask
// at a start do not wait.
func (g *Gate) toldAtStart(ctx context.Context) bool {
	s := g.config.Settings
	if len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.Peers) {
		return false
	}
	patience := startPatience
	if s.Bootstrap {
		patience = firstPatience
	}
	until := g.config.Clock.Now().Add(patience)
	for g.config.Clock.Now().Before(until) && g.sleep(ctx, startPace) {
		if g.state.Load().revision > 0 {
			return true
		}
	}
	return false
}

// dutyToRead says whether this entry VM reads the store now: as one of those that do so for all, or
// because what it heard from them is too old.
func (g *Gate) dutyToRead() bool {
	s := g.state.Load()
	if g.isReader() {
		return true
	}
	all := g.byHash(s)
	rank := slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	return g.age(s) > staleAfter(rank, len(all), g.config.Settings.MaxPropagation)
}

// staleAfter returns the age of what is known at which the entry VM with a rank among n reads the store by itself.
//
// Load: the readers are gone or cut off, and a hundred entry VMs find what they know too old at the same moment. Harm
// prevented: all of them read the store at once. They come one after the other, and most have heard of what the
// first ones read before their turn; the last one's is before a change must be in force.
func staleAfter(rank, n int, change time.Duration) time.Duration {
	last := max(maxAge, change-latestMargin)
	return maxAge + (last-maxAge)*time.Duration(rank)/time.Duration(max(1, n))
}

// watchTime is how long a watch of the store waits. Keys are out of use once what is known is older than a revocation
// may take, less a watch: short ones leave more of that time for an outage of the store.
func (g *Gate) watchTime() time.Duration {
	if bound := g.config.Settings.MaxRevocation; bound > 0 {
		return min(watchMost, bound/watchesPerBound)
	}
	return watchMost
}

// read reads the store once, waiting for a change if it is no whole reading, and says whether there was one.
func (g *Gate) read(ctx context.Context, whole bool, wait time.Duration) (changed bool, err error) {
	at, begun := g.uptime(), g.config.Clock.Now()
	ctx, cancel := g.withTimeout(ctx, storeTimeout)
	defer cancel()
	var all []pafleet.Change
	var r pafleet.Revision
	since := g.state.Load().revision
	if whole {
		g.meter.storeCall("List")
		all, r, err = g.config.Registry.List(ctx)
	} else {
		g.meter.storeCall("Watch")
		all, r, err = g.config.Registry.Watch(ctx, since, wait)
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	if !whole && len(all) == 0 && g.config.Clock.Since(begun) >= wait {
		// Nothing had changed when the watch ended.
		at += wait
	}
	g.post(ctx, storeRead{changes: all, since: since, revision: r, whole: whole, at: at})
	return whole || len(all) > 0, nil
}

// announce keeps the registration in the store.
func (g *Gate) announce(ctx context.Context) {
	var l paplatform.LeaseID
	written := false
	life := max(leaseLife, g.config.Settings.MinLeaseTTL)
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
		if err := g.storeCall(ctx, "End", func(ctx context.Context) error { return g.config.Registry.RevokeLease(ctx, l) }); err != nil {
			g.record(paevent.StoreUnreachable{Reason: err.Error()})
		}
	}
}

func (g *Gate) lease(ctx context.Context, life time.Duration) (l paplatform.LeaseID, err error) {
	err = g.storeCall(ctx, "Lease", func(ctx context.Context) error {
		l, err = g.config.Registry.GrantLease(ctx, life)
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
