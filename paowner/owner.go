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

// CandidateSource lists the other owners and regions that could serve a request.
type CandidateSource interface {
	// Candidates appends the candidates for a service to a slice and returns it. A Forward to one of
	// them has to be accounted for, in its free slots and credits, before the next call.
	Candidates(now time.Time, s pabundle.ServiceName, into []paplacement.Candidate) []paplacement.Candidate
}

// Config holds the parameters of an Owner.
type Config struct {
	// Policy chooses whether headroom or latency comes first.
	Policy pabundle.Policy
	// Services are the services of the bundle; their Targets are not used.
	Services []pabundle.Service
	// Others lists the places to forward to; with nil only the owner's own targets are used.
	Others CandidateSource
	// Rand is the source of jitter and of random choices.
	Rand *rand.Rand
	// Order is the queue order. The zero value is AgedShortest.
	Order paqueue.Order
	// Tuning overrides constants, for experiments.
	Tuning Tuning
	// QueueLimit bounds each service's queue; zero means paqueue.DefaultLimit.
	QueueLimit int
}

// Tuning overrides constants; a zero field keeps the constant.
type Tuning struct {
	// StandingRuns overrides the constant of that name, Interval paqueue.DefaultInterval.
	StandingRuns float64
	Interval     time.Duration
	// Aging overrides paqueue.DefaultAging.
	Aging float64
	// Deviations overrides the constant of that name.
	Deviations float64
	// Ramp and Takeover override patarget.DefaultRamp and patarget.DefaultTakeover.
	Ramp, Takeover time.Duration
}

// Limits bounds what the entry VM itself may hold.
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
	// Join says how this entry VM came to own the target, Running how many requests of its former owner
	// still run there.
	Join    patarget.Join
	Running int
	// Leaving says that the target is known to be about to stop.
	Leaving bool
}

// Owner is the decision state of one entry VM. It is made by New and used by one goroutine.
type Owner struct {
	config   Config
	services map[pabundle.ServiceName]*service
	order    []*service
	targets  map[pabundle.TargetName]*target
	// dropped are targets no longer owned on which requests may still run.
	dropped  []*target
	requests map[RequestID]*requestState
	// freeStates are the states of ended requests, reused so that a new request allocates no memory.
	freeStates []*requestState
	limits     Limits
	bytes      int64
	stopping   bool
	// candidates and options are scratch slices, kept between calls so that decisions allocate no memory.
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
	// nextReturn is the time up to which retries of refused callers are already scheduled.
	nextReturn time.Time
	// starts counts attempts started at this owner's targets. offers counts the first attempts of callers'
	// requests that could start here at once, sentToIdle those of them forwarded to an idle owner instead.
	starts, offers, sentToIdle uint64
}

// target is a target of this owner, with the data for comparisons with the service's other targets.
type target struct {
	patarget.Target
	name    pabundle.TargetName
	service *service
	classes [Classes]estimate
	dropped bool
	// reported is the phase of the last PhaseChanged.
	reported patarget.Phase
	// lastStart is the value of service.starts at the target's last start; zero before the first.
	lastStart uint64
}

// requestState is the state of a request between its offer and its end.
type requestState struct {
	request Request
	// cost is the predicted run time, maxCost the high estimate of it.
	cost, maxCost time.Duration
	// target or entry is where the attempt runs; both are unset while the request is queued.
	target    *target
	entry     pabundle.EntryName
	lastTried *target
	attempt   int
	// starts counts the attempts at this owner's targets, without those that were forwarded.
	starts    int
	arrived   time.Time
	abandoned bool
	// forwardDistance is the distance of the owner that the request was last forwarded to; Own if none.
	forwardDistance paplacement.Distance
}

// New returns an Owner that owns no targets yet.
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

// withDefaults replaces the zero fields that paqueue and patarget don't default themselves.
func (t Tuning) withDefaults() Tuning {
	if t.StandingRuns == 0 {
		t.StandingRuns = StandingRuns
	}
	if t.Deviations == 0 {
		t.Deviations = Deviations
	}
	return t
}

// setServices replaces the services and keeps the state of those that stay.
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
