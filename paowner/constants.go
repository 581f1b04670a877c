package paowner

import "time"

const (
	// StandingRuns is the standing wait in mean run times. Load: saturation with slots that turn
	// over at random. Harm of less: slots idle between arrivals; of more: each answer waits longer
	// and gains nothing.
	StandingRuns = 1.0
	// MinStandingWait keeps the standing wait above the noise of timers for very short work.
	MinStandingWait = 5 * time.Millisecond
	// Deviations is how many mean deviations above the mean a run has to fit before the deadline.
	// Load: saturation, where waits reach up to the deadline. Harm of less: answers that come late;
	// of more: refusals of work that would have been in time.
	Deviations = 1.0
	// TakeoverRuns is how many typical runs a new owner waits for the work of a former one that is
	// gone, at most patarget.DefaultTakeover. Load: the loss of one of few entry VMs, found after
	// seconds of silence. Harm of less: long runs overlap with new ones; of more: half a region's
	// slots stand idle although nothing runs there.
	TakeoverRuns = 5
	// MinTakeover keeps the wait above the time that a closed connection takes to be noticed.
	MinTakeover = 250 * time.Millisecond
	// MinRetryAfter and MaxRetryAfter bound the time to come back. Harm of less: a refused caller
	// returns to the same backlog; of more: capacity that is free again stands unused.
	MinRetryAfter = 50 * time.Millisecond
	// MaxRetryAfter bounds the time to come back from above.
	MaxRetryAfter = 10 * time.Second
	// RetryAfterJitter is the random part of the time to come back, as a fraction added to it. Load:
	// hundreds of callers refused in one burst. Harm prevented: they return as one burst.
	RetryAfterJitter = 0.5
	// MaxAttempts bounds the attempts at one request, whatever the budget. Load: a service whose
	// targets all fail. Harm prevented: each request costs as many runs as there are targets.
	MaxAttempts = 3
	// idleOwnerInterval is the number of requests with room here of which one goes to an owner without work.
	// Harm of less: a hop within the region for nothing; of more: idle targets stay unknown for long.
	idleOwnerInterval = 16
	// estimateWeight is the weight of the newest run time in the prediction: about the last 20 count.
	estimateWeight = 0.05
	// defaultTypicalRun is the first guess of a service whose bundle gives none.
	defaultTypicalRun = 50 * time.Millisecond
)
