package paconn

import (
	"context"
	"sync"
)

// Cancels ends the attempts that wait for a peer. The zero value is ready for use.
type Cancels struct {
	mutex  sync.Mutex
	byName map[string]map[*context.CancelCauseFunc]bool
}

// Add registers an attempt; done removes it.
func (c *Cancels) Add(ctx context.Context, peer string) (attemptCtx context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byName == nil {
		c.byName = map[string]map[*context.CancelCauseFunc]bool{}
	}
	if c.byName[peer] == nil {
		c.byName[peer] = map[*context.CancelCauseFunc]bool{}
	}
	c.byName[peer][&cancel] = true
	return ctx, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		// The context itself ends with the request: the rest of a long response may still be on its way.
		if delete(c.byName[peer], &cancel); len(c.byName[peer]) == 0 {
			delete(c.byName, peer)
		}
	}
}

// Cancel ends the attempts that wait for a peer.
func (c *Cancels) Cancel(peer string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for cancel := range c.byName[peer] {
		(*cancel)(ErrPeerLost)
	}
}
