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
	// minReadInterval is the least time between two reads of the store: changes that come together, as in a
	// rolling update of targets, then share one call.
	minReadInterval = 600 * time.Millisecond
	// maxWatchTime bounds how long a watch waits. Each watch costs one call whatever its length, but one whose
	// connection went silent learns nothing for that time.
	maxWatchTime = time.Second
	// watchesPerRevocation is how many watches fit into the time within which a revoked key must be rejected.
	watchesPerRevocation = 10
	// maxAge is the age of the state from which an entry VM asks further neighbours, and the first of them reads
	// the store in place of the store readers. It covers a watch, the interval of calls to neighbours, and the
	// network delays of both.
	maxAge = maxWatchTime + syncInterval + 500*time.Millisecond
	// propagationMargin is how long before MaxPropagation the last entry VM reads the store itself.
	propagationMargin = 300 * time.Millisecond
	// storeTimeout bounds a call to the store. The store responds within 4 ms; a connection that went silent
	// reports no error.
	storeTimeout = maxWatchTime + 500*time.Millisecond
	// minStoreReaders is the least number of entry VMs that read the store for all. In a large deployment there
	// is one for every entriesPerReader entry VMs: each asks twice a second, which costs the reader about a
	// hundredth of a core.
	minStoreReaders  = 2
	entriesPerReader = 50
)

// followStore keeps the state up to date with the store: with a full read first, unless a neighbour sent its state,
// and then by watches while this entry VM should read the store.
func (g *Gate) followStore(ctx context.Context) {
	f := storeFollower{gate: g, whole: !g.syncedAtStart(ctx), wait: g.watchDuration()}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// storeFollower reads the store again and again.
type storeFollower struct {
	gate *Gate
	// whole says that everything is to be read, as the store no longer tells what changed after the revision lostAfter.
	whole     bool
	lostAfter pafleet.Revision
	// wait is how long the next watch waits.
	wait time.Duration
	// failures is how many reads in a row failed, and failingSince when the first of them did.
	failures     int
	failingSince time.Time
}

// step reads the store once, if this entry VM should, and waits until it may be read again.
func (f *storeFollower) step(ctx context.Context) {
	g := f.gate
	since := g.state.Load().revision
	// What neighbours told meanwhile may be after what the store lost.
	f.whole = f.whole && since <= f.lostAfter
	g.historyLost.Store(f.whole && since > 0)
	if f.whole && !g.mayList() || !f.whole && !g.shouldReadStore() {
		g.sleep(ctx, minReadInterval/4)
		return
	}
	begun := g.config.Clock.Now()
	changed, err := g.readStore(ctx, f.whole, f.wait)
	now := g.config.Clock.Now()
	if paplatform.FaultOf(err) == paplatform.HistoryLost {
		f.whole, f.lostAfter = true, since
		return
	}
	f.noteRead(ctx, err, now)
	f.wait = g.watchDuration()
	if !changed && err == nil {
		return
	}
	delay := g.readDelay(f.failures)
	if err != nil {
		delay -= now.Sub(begun)
	}
	g.sleep(ctx, delay)
	f.wait = min(f.wait, max(0, f.wait+g.watchOffset(f.wait)-minReadInterval))
}

// noteRead records whether a read succeeded.
func (f *storeFollower) noteRead(ctx context.Context, err error, now time.Time) {
	g := f.gate
	if err == nil {
		if !f.failingSince.IsZero() {
			g.record(paevent.StoreReachable{OutageMilliseconds: now.Sub(f.failingSince).Milliseconds()})
		}
		f.whole, f.failures, f.failingSince = false, 0, time.Time{}
		return
	}
	f.failures++
	if paplatform.FaultOf(err) != paplatform.Limited {
		g.post(ctx, storeFailure{at: now})
	}
	if f.failingSince.IsZero() && ctx.Err() == nil {
		f.failingSince = now
		g.record(paevent.StoreUnreachable{Reason: err.Error()})
	}
}

// watchOffset is how much later than the first store reader this one starts its watches, so that the watches of all
// readers end evenly spread. When the store fails, the state is as old as the last watch that ended; if all watches
// ended together, it would be up to a full watch old for everyone.
func (g *Gate) watchOffset(watch time.Duration) time.Duration {
	readers := g.storeReaders(g.state.Load())
	rank := slices.IndexFunc(readers, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	return watch * time.Duration(max(0, rank)) / time.Duration(max(1, len(readers)))
}

// readDelay returns the time to wait before the next read of the store after a number of failures in a row. Only
// store readers retry at minReadInterval during an outage; a hundred others would add two calls a second each, though
// it is enough for them to ask within MaxPropagation.
func (g *Gate) readDelay(failures int) time.Duration {
	if g.isStoreReader() {
		return minReadInterval
	}
	longest := max(minReadInterval, g.config.Settings.MaxPropagation/2)
	return min(longest, minReadInterval*time.Duration(1+failures))
}

const (
	// bootstrapSyncWait is how long a process waits at the first start of a deployment for a neighbour to send
	// its state; the store holds next to nothing then.
	bootstrapSyncWait = 2 * time.Second
	// restartSyncWait is how long it waits at any other start. A neighbour in its own region sends the state in a
	// twentieth of the bytes of a full read; where all have just started, no neighbour can.
	restartSyncWait = 60 * time.Millisecond
	// startSyncPoll is the interval of checks for that state.
	startSyncPoll = 5 * time.Millisecond
)

// syncedAtStart waits for a neighbour to send its state and reports whether one did. Seeds do not wait, as others get
// their state from them.
func (g *Gate) syncedAtStart(ctx context.Context) bool {
	s := g.config.Settings
	if len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.Peers) {
		return false
	}
	wait := restartSyncWait
	if s.Bootstrap {
		wait = bootstrapSyncWait
	}
	until := g.config.Clock.Now().Add(wait)
	for g.config.Clock.Now().Before(until) && g.sleep(ctx, startSyncPoll) {
		if g.state.Load().revision > 0 {
			return true
		}
	}
	return false
}

// shouldReadStore reports whether this entry VM should read the store now: because it is a store reader, or because
// its state is too old.
func (g *Gate) shouldReadStore() bool {
	s := g.state.Load()
	if g.isStoreReader() {
		return true
	}
	all := g.liveByHash(s)
	rank := slices.IndexFunc(all, func(e pafleet.Entry) bool { return e.Name == g.self.Name })
	return g.age(s) > maxAgeOfRank(rank, len(all), g.config.Settings.MaxPropagation)
}

// maxAgeOfRank returns the age of the state at which the entry VM with a rank among n reads the store itself,
// although it is no store reader.
//
// If the store readers fail or are partitioned, a hundred entry VMs find their state too old at the same moment. The
// staggered ages keep them from reading the store all at once: most get the changes from the first ones before their
// own turn, and the last one still reads before MaxPropagation.
func maxAgeOfRank(rank, n int, maxPropagation time.Duration) time.Duration {
	last := max(maxAge, maxPropagation-propagationMargin)
	return maxAge + (last-maxAge)*time.Duration(rank)/time.Duration(max(1, n))
}

// watchDuration returns how long a watch of the store waits. API keys are rejected once the state is older than
// MaxRevocation less a watch, so that shorter watches leave more time to ride out an outage of the store.
func (g *Gate) watchDuration() time.Duration {
	if bound := g.config.Settings.MaxRevocation; bound > 0 {
		return min(maxWatchTime, bound/watchesPerRevocation)
	}
	return maxWatchTime
}

// readStore reads the store once, by a full read or by a watch of at most the time wait, and reports whether there
// were changes. A full read always counts as a change.
func (g *Gate) readStore(ctx context.Context, whole bool, wait time.Duration) (changed bool, err error) {
	verifiedAt, start := g.uptime(), g.config.Clock.Now()
	var changes []pafleet.Change
	var revision pafleet.Revision
	since := g.state.Load().revision
	if whole {
		// Without a timeout: a reading that makes progress goes on, however slow the links are, as another would be no faster.
		g.meter.countStoreCall("List")
		// What a process reads at its start tells nobody else what changed.
		g.listing.Store(since > 0)
		defer g.listing.Store(false)
		changes, revision, err = g.config.Registry.List(ctx, AllKeys)
	} else {
		ctx, cancel := g.withTimeout(ctx, storeTimeout)
		defer cancel()
		g.meter.countStoreCall("Watch")
		changes, revision, err = g.config.Registry.Watch(ctx, AllKeys, since, wait)
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	if !whole && len(changes) == 0 && g.config.Clock.Since(start) >= wait {
		// The watch ended without a change, so that the state was current at its end.
		verifiedAt += wait
	}
	g.post(ctx, storeUpdate{changes: changes, since: since, revision: revision, whole: whole, verifiedAt: verifiedAt})
	return whole || len(changes) > 0, nil
}
