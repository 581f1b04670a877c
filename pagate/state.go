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
	// knownAt is the uptime at which it was last known that nothing newer was in the store.
	knownAt time.Duration
	entries []pafleet.Entry
	// fleetPeak is the most entry VMs that were registered lately; rate limits are divided among them.
	fleetPeak int
	// registered says that this entry VM is one of them.
	registered bool
	// limiter keeps the pools of rate limits, as of limiterAt.
	limiter   string
	limiterAt pafleet.Revision
}

// longBeforeStart is an uptime before the machine's start.
const longBeforeStart = -time.Hour

// age returns how long ago it was known that nothing newer than the state was in the store. Load the state first: what
// passes between the two counts.
func (g *Gate) age(s *state) time.Duration { return g.uptime() - s.knownAt }

// uptime is the time since the machine started. A suspended machine's steady clock stands still, and what is known
// would seem fresh when it wakes.
func (g *Gate) uptime() time.Duration {
	if g.config.Uptime != nil {
		return g.config.Uptime()
	}
	return g.config.Clock.Since(time.Unix(0, 0))
}

// startConfigWait is how long after its start a process lets requests wait for its first configuration: a reading of
// the store over a link that all that start use at once.
const startConfigWait = time.Second

// awaitConfig returns the state, and waits for the first configuration while the process starts.
//
// Load: all entry VMs lose power and come back under full load, and callers ask each as soon as it listens. Harm
// prevented: they are refused within the half second before anything is known, come back once, and many are refused
// again.
func (g *Gate) awaitConfig(ctx context.Context) *state {
	s := g.state.Load()
	left := startConfigWait - g.config.Clock.Since(g.startedAt)
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

// callerLimits returns what callers may send and how long they may take.
func (g *Gate) callerLimits() paroute.Limits {
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
