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
	// watchWait is how long one watch of the head stays open. A connection that went silent hides
	// a roll-out until the wait ends, so it is below the ten seconds in which a change must be in
	// force; shorter ones would only cost calls.
	watchWait = 8 * time.Second
	// minBackoff and lastBackoff bound the pause after a failed call to the store. At two
	// watching daemons in each of 83 zones, the last one means some 50 calls a second at a store
	// that is coming back, and a healed cut is noticed within it.
	minBackoff = 250 * time.Millisecond
	maxBackoff  = 4 * time.Second
	// readInterval is the pause between the reads of a daemon that has no bundle yet and does not
	// watch: its neighbours usually tell it sooner.
	readInterval = 2 * time.Second
)

// Recorder takes events.
type Recorder interface {
	Record(e paevent.Event)
}

// HeadWatch follows the head of a deployment in the store: by long-polling watches while it is told
// to Follow, and else by single reads until a head is Known. Fill the exported fields, then call
// Run; the other methods may be called from any goroutine, also before.
type HeadWatch struct {
	Deployment string
	Store      paplatform.Store
	Clock      clockwork.Clock
	// Random jitters pauses; only Run's goroutine uses it.
	Random *rand.Rand
	// OnHead is called with each head that the store names, from Run's goroutine; the same head may
	// come again after an outage.
	OnHead func(pabundle.Head)
	// Events takes what happens; nil drops it.
	Events Recorder

	mutex     sync.Mutex
	following bool
	known     bool
	downSince      time.Time
	counts    HeadWatchCounts
	changed   notifier
}

// HeadWatchCounts counts the calls to the store.
type HeadWatchCounts struct{ Watches, Reads uint64 }

// Counts returns the calls so far.
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

// SetFollowing says whether to watch the store. Saying the same again changes nothing: daemons say it with
// every step of theirs, and a pause after a failed call must not end by that.
func (w *HeadWatch) SetFollowing(following bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.following != following {
		w.following = following
		w.changed.notify()
	}
}

// SetHeadKnown says that some head is known, from whatever side; reads without a watch end then.
func (w *HeadWatch) SetHeadKnown() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.known {
		w.known = true
		w.changed.notify()
	}
}

// Run follows the head until the context ends.
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
			// A later watch begins with the head as it is then.
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
			// The store may have lost writes: its revisions say nothing any more.
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

// state returns what Run acts on, and the channel that closes when it changes.
func (w *HeadWatch) state() (following, known bool, changed <-chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.following, w.known, w.changed.next()
}

// watch waits for the head to change and tells of it.
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

// handleHead passes on a head as the store wrote it.
func (w *HeadWatch) handleHead(data []byte) {
	h, err := decodeHead(data)
	if err != nil {
		record(w.Events, paevent.HeadRefused{Source: "store", Reason: err.Error()})
		return
	}
	w.OnHead(h)
}

// recordReachability records the start and the end of an outage.
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

// record passes an event on if anyone takes it.
func record(r Recorder, e paevent.Event) {
	if r != nil {
		r.Record(e)
	}
}
