package paowner

import "time"

const (
	// StandingRuns is the wait to which a standing queue is shortened, in mean run times. It matters at
	// saturation, when slots become free at random times: lower values leave slots idle between
	// arrivals; higher values delay each answer without any gain in throughput.
	StandingRuns = 1.0
	// MinStandingWait keeps that wait above timer jitter for requests with very short run times.
	MinStandingWait = 5 * time.Millisecond
	// Deviations is the safety margin of run time predictions: a request is accepted only if the mean
	// run time plus this many mean deviations fits before the deadline. It matters at saturation,
	// where waits reach up to the deadline: lower values produce late answers; higher values refuse
	// requests that would have completed in time.
	Deviations = 1.0
	// TakeoverRuns is how many typical run times a new owner waits for requests of a lost former owner
	// to end, at most patarget.DefaultTakeover. It matters when one of few entry VMs is lost, which is
	// detected only after seconds of silence: with lower values long requests of the former owner
	// overlap with new ones; with higher values half of a region's slots stay idle although nothing
	// runs there.
	TakeoverRuns = 5
	// MinTakeover keeps that wait above the time that it takes to detect a closed connection.
	MinTakeover = 250 * time.Millisecond
	// MinRetryAfter is the lower bound of the retry delay given to refused callers. With lower values
	// they return to the same backlog.
	MinRetryAfter = 50 * time.Millisecond
	// MaxRetryAfter is the upper bound of the retry delay before jitter. With higher values capacity
	// that has become free stays unused.
	MaxRetryAfter = 10 * time.Second
	// RetryAfterJitter is the largest random part added to the retry delay, as a fraction of it. Without
	// jitter, hundreds of callers refused in one burst return as one burst.
	RetryAfterJitter = 0.5
	// MaxAttempts limits the attempts per request regardless of the retry budget. Without it, each
	// request to a service whose targets all fail would run once on every target.
	MaxAttempts = 3
	// idleOwnerInterval is how often a request that could start here goes to an idle owner instead: one
	// in this many. Lower values add unnecessary hops within the region; with higher values the health
	// of idle targets stays unknown for longer.
	idleOwnerInterval = 16
	// estimateWeight is the weight of the newest run time in the moving average, which thus covers
	// about the last 20 run times.
	estimateWeight = 0.05
	// defaultTypicalRun is the initial run time of a service for which the bundle gives none.
	defaultTypicalRun = 50 * time.Millisecond
)
