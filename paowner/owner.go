package paowner

import (
	"math/rand/v2"
	"time"

	"papayahead/pabundle"
	"papayahead/paplacement"
	"papayahead/paqueue"
	"papayahead/paretry"
	"papayahead/patarget"
)

// CandidateSource names the places outside this entry VM that could answer a request.
type CandidateSource interface {
	// Candidates appends the places for a service to a slice and returns it. A Forward to one of
	// them has to be charged before the next call.
	Candidates(now time.Time, s pabundle.ServiceName, into []paplacement.Candidate) []paplacement.Candidate
}

// Config is what an Owner is made from.
type Config struct {
	// Policy weighs headroom against latency.
	Policy pabundle.Policy
	// Services are the services of the bundle; their Targets are not used.
	Services []pabundle.Service
	// Candidates may be nil: then only own targets are used.
	Candidates CandidateSource
	// Rand is the source of jitter and of random choices.
	Rand *rand.Rand
	// Order chooses the queue order; the zero value is the one that the measurements support.
	Order paqueue.Order
	// Tuning replaces constants, for trials.
	Tuning Tuning
	// QueueLimit bounds each service's queue; zero means paqueue.DefaultLimit.
	QueueLimit int
}

// Tuning replaces constants by other values; zero fields keep the constant.
type Tuning struct {
	// StandingRuns stands for the constant of that name, Interval for paqueue.DefaultInterval.
	StandingRuns float64
	Interval     time.Duration
	// Aging stands for paqueue.DefaultAging.
	Aging float64
	// Deviations stands for the constant of that name.
	Deviations float64
	// Ramp and Takeover stand for patarget.DefaultRamp and patarget.DefaultTakeover.
	Ramp, Takeover time.Duration
}

// Limits is the entry VM's own room.
type Limits struct {
	// Requests is the most requests it holds at once, running, waiting and forwarded; zero means
	// no bound.
	Requests int
	// Bytes is the most expected bytes of them; zero means no bound.
	Bytes int64
}

// OwnedTarget is a target that this entry VM owns from now on.
type OwnedTarget struct {
	Target  pabundle.Target
	Service pabundle.ServiceName
	// Connections is this entry VM's part of Target.MaxConnections; zero means no bound.
	Connections int
	// Join says how the target came here, Running how many requests its former owner still has there.
	Join    patarget.Join
	Running int
	// Leaving says that it is known to be about to stop.
	Leaving bool
}

// Owner is the decision state of one entry VM. It is made by New and used by one goroutine.
type Owner struct {
	config   Config
	services map[pabundle.ServiceName]*service
	order    []*service
	targets  map[pabundle.TargetName]*target
	// dropped are targets that were given up and where something may still run.
	dropped  []*target
	requests map[RequestID]*requestState
	// freeStates are flights that ended, kept so that a request allocates nothing.
	freeStates []*requestState
	limits     Limits
	bytes      int64
	stopping   bool
	// scratch slices live between calls so that decisions allocate nothing.
	candidates []paplacement.Candidate
	options    []paplacement.Option
}

// service is the state of one service.
type service struct {
	spec     pabundle.Service
	tuning   Tuning
	queue    paqueue.Queue
	targets  []*target
	budget   paretry.Budget
	classes  [Classes]estimate
	anyClass estimate
	// nextReturn is up to when refused callers were already asked to come back.
	nextReturn time.Time
	// starts counts the starts at own targets, offers the callers' requests that found room here, and
	// sentToIdle those of them that went to another owner all the same.
	starts, offers, sentToIdle uint64
}

// target is an own target and what only its owner compares.
type target struct {
	patarget.Target
	name    pabundle.TargetName
	service *service
	classes [Classes]estimate
	dropped bool
	// reported is the phase that the last Changed reported.
	reported patarget.Phase
	// lastStart is the number of the service's start that was the target's last.
	lastStart uint64
}

// requestState is a request between its offer and its end.
type requestState struct {
	request Request
	// cost is the predicted run time, maxCost the one that is rarely passed.
	cost, maxCost time.Duration
	// target or entry is where the attempt runs; both are unset while the request waits.
	target    *target
	entry     pabundle.EntryName
	lastTried *target
	attempt   int
	// starts counts the attempts at own targets; what another owner sent back has not started.
	starts    int
	arrived   time.Time
	abandoned bool
	// forwardDistance is how far away the owner was that sent the request back.
	forwardDistance paplacement.Distance
}

// New returns an Owner without targets.
func New(c Config) *Owner {
	c.Tuning = c.Tuning.withDefaults()
	o := &Owner{
		config:   c,
		services: map[pabundle.ServiceName]*service{},
		targets:  map[pabundle.TargetName]*target{},
		requests: map[RequestID]*requestState{},
	}
	o.setServices(c.Services)
	return o
}

// withDefaults puts the constants in for what is zero.
func (t Tuning) withDefaults() Tuning {
	if t.StandingRuns == 0 {
		t.StandingRuns = StandingRuns
	}
	if t.Deviations == 0 {
		t.Deviations = Deviations
	}
	return t
}

func (o *Owner) setServices(services []pabundle.Service) {
	o.order = o.order[:0]
	kept := map[pabundle.ServiceName]*service{}
	for _, spec := range services {
		s := o.services[spec.Name]
		if s == nil {
			s = &service{tuning: o.config.Tuning}
			s.queue.Interval = o.config.Tuning.Interval
			s.queue.Aging = o.config.Tuning.Aging
			s.queue.Order = o.config.Order
			s.queue.Limit = o.config.QueueLimit
		}
		s.spec = spec
		kept[spec.Name] = s
		o.order = append(o.order, s)
	}
	o.services = kept
}
