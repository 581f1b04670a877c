package pagate

import (
	"context"
	"time"

	"papayahead/pafleet"
	"papayahead/paroute"
)

// state is an immutable snapshot for requests and other goroutines.
type state struct {
	table    *paroute.Table
	revision pafleet.Revision
	// verifiedAt is the uptime at which the store was last known to hold nothing newer.
	verifiedAt time.Duration
	entries    []pafleet.Entry
	// fleetPeak is the peak number of registered entry VMs; rate limits are divided by it.
	fleetPeak int
	// registered says that this entry VM is registered.
	registered bool
	// limiter is the entry VM that keeps the token pools of rate limits, as of the store's revision limiterAt.
	limiter   string
	limiterAt pafleet.Revision
	// evacuated are the evacuated availability zones, ordered by name.
	evacuated []string
	// operatorRevision is the revision up to which all that operators wrote is known, operatorChange that of their latest
	// change.
	operatorRevision, operatorChange pafleet.Revision
	// operatorChangedAt is the uptime at which that change became known.
	operatorChangedAt time.Duration
}

// longBeforeStart is an uptime before the machine's start.
const longBeforeStart = -time.Hour

// age returns how long ago the state was known to be current. The state must be loaded first, so that time passing
// between the two counts.
func (g *Gate) age(s *state) time.Duration { return g.uptime() - s.verifiedAt }

// uptime is the time since the machine started. It includes suspended time, unlike the monotonic clock, by which the
// state would seem fresh when the machine resumes.
func (g *Gate) uptime() time.Duration {
	if g.config.Uptime != nil {
		return g.config.Uptime()
	}
	return g.config.Clock.Since(time.Unix(0, 0))
}

// startConfigWait is how long after its start a process lets requests wait for the first configuration: a read of the
// store over a link that all entry VMs that start use at once.
const startConfigWait = time.Second

// awaitConfig returns the state; shortly after the start it waits for the first configuration.
//
// After a power failure of all entry VMs under full load, clients connect to each as soon as it listens. Refused
// within the half second before there is a configuration, they would return once, and many would be refused again.
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

// configVersion returns the configuration's version, or 0 if there is none.
func (s *state) configVersion() int64 {
	if s.table == nil {
		return 0
	}
	return s.table.Config.Version
}

// clientLimits returns the limits on clients' requests, with defaults for the timeouts.
func (g *Gate) clientLimits() paroute.Limits {
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
