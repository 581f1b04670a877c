package paroll

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/paplatform"
)

const (
	// watchWait is the timeout of one long poll of the head. A connection that silently stopped delivering
	// data hides a roll-out until the timeout, so it is below the ten seconds within which a change must be
	// in force; a shorter timeout would only cost more calls.
	watchWait = 8 * time.Second
	// minBackoff and maxBackoff limit the delay after a failed call to the store. With two watching
	// daemons in each of 83 zones, maxBackoff limits the load of a recovering store to some 50 calls per
	// second, and a daemon notices within maxBackoff that the store is reachable again.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// readInterval is the time between reads by a daemon that has no bundle yet and does not watch the
	// store. It usually receives the head from a neighbour sooner.
	readInterval = 2 * time.Second
)

// Recorder records events.
type Recorder interface {
	Record(e paevent.Event)
}

// HeadWatch follows the head of a deployment in the store. With SetFollowing(true) it watches the head by
// long polling; otherwise it reads the head periodically until SetHeadKnown is called. Set the exported
// fields, then call Run. The other methods are safe for concurrent use, also before Run.
type HeadWatch struct {
	Deployment string
	Store      paplatform.Store
	Clock      clockwork.Clock
	// Random is the source of jitter for delays; only the goroutine of Run uses it.
	Random *rand.Rand
	// OnHead is called with each head read from the store, in the goroutine of Run. It can be called with
	// the same head again after an outage.
	OnHead func(pabundle.Head)
	// Events records events; nil discards them.
	Events Recorder

	mutex     sync.Mutex
	following bool
	known     bool
	downSince time.Time
	counts    HeadWatchCounts
	changed   notifier
}

// HeadWatchCounts counts the calls of a HeadWatch to the store.
type HeadWatchCounts struct{ Watches, Reads uint64 }

// Counts returns the number of calls so far.
func (w *HeadWatch) Counts() HeadWatchCounts {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.counts
}

// Following reports whether the store is being watched.
func (w *HeadWatch) Following() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.following
}

// SetFollowing sets whether to watch the store. It has no effect if nothing changes: daemons call it
// periodically, and that must not cut short the delay after a failed call.
func (w *HeadWatch) SetFollowing(following bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.following != following {
		w.following = following
		w.changed.notify()
	}
}

// SetHeadKnown reports that the daemon has a head, from any source; this stops the reads without a watch.
func (w *HeadWatch) SetHeadKnown() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.known {
		w.known = true
		w.changed.notify()
	}
}

// Run follows the head until ctx is done.
func (w *HeadWatch) Run(ctx context.Context) {
	pause := backoff{random: w.Random}
	var after paplatform.Revision
	for ctx.Err() == nil {
		following, known, changed := w.state()
		var err error
		switch {
		case following:
			after, err = w.watch(ctx, after)
		case !known:
			err = w.read(ctx)
		default:
			// A later watch starts with the head at that time.
			after = 0
			sleep(ctx, w.Clock, 0, changed)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.recordReachability(err)
		switch {
		case err != nil:
			// The store may have lost writes, so the last revision may not be valid any more.
			after = 0
			sleep(ctx, w.Clock, pause.next(), changed)
		case !following:
			pause.reset()
			sleep(ctx, w.Clock, readInterval, changed)
		default:
			pause.reset()
		}
	}
}

// state returns the state that Run acts on, and a channel that is closed when it changes.
func (w *HeadWatch) state() (following, known bool, changed <-chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.following, w.known, w.changed.next()
}

// watch waits for a change of the head after a revision and handles it. It returns the new revision.
func (w *HeadWatch) watch(ctx context.Context, after paplatform.Revision) (paplatform.Revision, error) {
	w.mutex.Lock()
	w.counts.Watches++
	w.mutex.Unlock()
	r, err := w.Store.Watch(ctx, paplatform.WatchRequest{Key: HeadKey(w.Deployment), After: after, Wait: watchWait})
	if err != nil {
		return 0, err
	}
	for _, c := range r.Changes {
		if !c.Deleted {
			w.handleHead(c.Data)
		}
	}
	return r.Revision, nil
}

// read reads the head once.
func (w *HeadWatch) read(ctx context.Context) error {
	w.mutex.Lock()
	w.counts.Reads++
	w.mutex.Unlock()
	v, found, err := w.Store.Get(ctx, HeadKey(w.Deployment))
	if err == nil && found {
		w.handleHead(v.Data)
	}
	return err
}

// handleHead decodes a head and passes it to OnHead.
func (w *HeadWatch) handleHead(data []byte) {
	h, err := decodeHead(data)
	if err != nil {
		record(w.Events, paevent.HeadRefused{Source: "store", Reason: err.Error()})
		return
	}
	w.OnHead(h)
}

// recordReachability records when the store becomes unreachable and reachable again; err is the result of a call.
func (w *HeadWatch) recordReachability(err error) {
	w.mutex.Lock()
	since := w.downSince
	switch {
	case err != nil && since.IsZero():
		w.downSince = w.Clock.Now()
	case err == nil:
		w.downSince = time.Time{}
	}
	w.mutex.Unlock()
	switch {
	case err != nil && since.IsZero():
		record(w.Events, paevent.StoreUnreachable{Reason: string(paplatform.FaultOf(err))})
	case err == nil && !since.IsZero():
		record(w.Events, paevent.StoreReachable{OutageMilliseconds: w.Clock.Since(since).Milliseconds()})
	}
}

// record records an event unless r is nil.
func record(r Recorder, e paevent.Event) {
	if r != nil {
		r.Record(e)
	}
}
