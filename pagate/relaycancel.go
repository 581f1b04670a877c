package pagate

import (
	"context"
	"sync"

	"papayahead/paconn"
)

// relayCancels ends the attempts that wait for a relay. The zero value is ready for use.
type relayCancels struct {
	mutex  sync.Mutex
	byName map[string]map[*context.CancelCauseFunc]bool
}

// add registers an attempt; done removes it.
func (r *relayCancels) add(ctx context.Context, relay string) (attemptCtx context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.byName == nil {
		r.byName = map[string]map[*context.CancelCauseFunc]bool{}
	}
	if r.byName[relay] == nil {
		r.byName[relay] = map[*context.CancelCauseFunc]bool{}
	}
	r.byName[relay][&cancel] = true
	return ctx, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		// The context itself ends with the request: the rest of a long response may still be on its way.
		if delete(r.byName[relay], &cancel); len(r.byName[relay]) == 0 {
			delete(r.byName, relay)
		}
	}
}

// cancel ends the attempts that wait for a relay.
func (r *relayCancels) cancel(relay string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for c := range r.byName[relay] {
		(*c)(paconn.ErrPeerLost)
	}
}
