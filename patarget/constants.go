package patarget

import "time"

const (
	// DefaultRamp is how long a cold target takes to get all its slots. Load: large moves onto cold
	// caches, when every request is slow at first. Harm of less: a cold target at full slots answers
	// late; of more: capacity stands idle after a deploy.
	DefaultRamp = 10 * time.Second
	// DefaultTakeover bounds how long a new owner supposes that the former owner's work still runs.
	// Harm of less: the target runs more than its slots; of more: a zone serves below its capacity
	// after each loss of an entry VM.
	DefaultTakeover = 2 * time.Second
	// DefaultLinger bounds how long a slot stays taken after an answer was lost or given up. Targets
	// stop at the request's deadline or when its connection closes; the bound is for a target that
	// takes a while to notice. Harm of less: slots are overrun; of more: each lost answer costs capacity.
	DefaultLinger = 500 * time.Millisecond
	// ReportAge is the age at which a load report counts no more. Measurements lag: an older one
	// says nothing about now, and holding on to it would starve or flood the target.
	ReportAge = 3 * time.Second
	// ProbeIdle is how long a target may go without proof of life before it is probed. A probe costs
	// about 6 ms of one of three slots at Kartuli: 0.04 % of the target.
	ProbeIdle = 5 * time.Second
	// EjectFailures is the failure rate that ejects a target. Below it a target still does more
	// good than harm, since failed idempotent requests are tried again.
	EjectFailures = 0.5
	// EjectSamples is the least number of outcomes before a target is ejected. Harm of less: two
	// unlucky requests take a sixth of a zone's capacity away; of more: a fast failure attracts more work.
	EjectSamples = 4
	// EjectFirst is how long the first ejection lasts, EjectMost the longest; each one doubles.
	// Harm of less: callers pay for trials; of more: a recovered target stands idle.
	EjectFirst = time.Second
	// EjectMost bounds the doubling of EjectFirst.
	EjectMost = 30 * time.Second
	// TrialPasses is how many requests in a row a target on trial has to answer.
	TrialPasses = 3
	// SlowFactor is how many times slower than its peers a target has to be to count as slow.
	// Harm of less: ordinary spread sets targets aside; of more: callers wait for the slow one.
	SlowFactor = 3
	// SlowSamples is the least number of run times before a target counts as slow.
	SlowSamples = 4
	// SlowPause is how long a slow target is left alone before one request tries it again.
	SlowPause = 2 * time.Second
	// outcomeWeight is the weight of the newest outcome in the failure rate: about the last five count.
	outcomeWeight = 0.2
	// runWeight is the weight of the newest run time: about the last ten count. Run times of one kind
	// of work vary by a factor of three; at 0.2 healthy targets were taken for slow ones, while a
	// target ten times slower shows in three runs at 0.1 as well.
	runWeight = 0.1
)
