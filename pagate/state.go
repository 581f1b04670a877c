package pagate

import (
	"context"
	"time"

	"papayahead/pafleet"
	"papayahead/paroute"
)

// state is what requests and the other goroutines read; it is never changed.
type state struct {
	table    *paroute.Table
	revision pafleet.Revision
	// readAt is when it was last known that nothing newer was in the store.
	readAt  time.Time
	entries []pafleet.Entry
}

// startWait is how long after its start a process lets requests wait for its first configuration: a reading of
// the store over a link that all that start use at once.
const startWait = time.Second

// configured returns the state, and waits for the first configuration while the process starts.
//
// Load: all entry VMs lose power and come back under full load, and callers ask each as soon as it listens. Harm
// prevented: they are refused within the half second before anything is known, come back once, and many are refused
// again.
func (g *Gate) configured(ctx context.Context) *state {
	s := g.state.Load()
	left := startWait - g.config.Clock.Since(g.startedAt)
	if s.table != nil || left <= 0 {
		return s
	}
	ctx, cancel := g.withTimeout(ctx, left)
	defer cancel()
	select {
	case <-g.firstConfig:
	case <-ctx.Done():
	}
	return g.state.Load()
}

// configVersion returns the version in force, or 0.
func (s *state) configVersion() int64 {
	if s.table == nil {
		return 0
	}
	return s.table.Config.Version
}

// limits returns what callers may send and how long they may take.
func (g *Gate) limits() paroute.Limits {
	l := paroute.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s := g.state.Load()
	if s.table == nil {
		return l
	}
	c := s.table.Config.Limits
	l.MaxHeader, l.MaxBody = c.MaxHeader, c.MaxBody
	if c.HeaderTimeout > 0 {
		l.HeaderTimeout = c.HeaderTimeout
	}
	if c.IdleTimeout > 0 {
		l.IdleTimeout = c.IdleTimeout
	}
	return l
}
