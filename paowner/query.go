package paowner

import (
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/paplacement"
	"papayahead/paqueue"
	"papayahead/patarget"
)

// targetEstimateWeight is the weight of the newest run time in what is known of one target for its peers:
// about the last 20 count, so that the chance of a few short runs makes no peer look slow.
const targetEstimateWeight = 0.05

// Running is the number of requests at a target, as a handover tells it.
type Running struct {
	Target   pabundle.TargetName
	Requests int
}

// FreeSlots returns how many more requests of a service could start now, less for failing targets.
func (o *Owner) FreeSlots(now time.Time, name pabundle.ServiceName) int {
	s := o.services[name]
	if s == nil || s.queue.Len() > 0 {
		return 0
	}
	n := 0.0
	for _, t := range s.targets {
		n += float64(t.Room(now)) * (1 - t.Failures())
	}
	return int(n)
}

// Slots returns how many slots of a service are in use or could be.
func (o *Owner) Slots(now time.Time, name pabundle.ServiceName) int {
	if s := o.services[name]; s != nil {
		return s.slots(now)
	}
	return 0
}

// Full says whether the owner refuses ordinary requests of a service now, as others should know.
func (o *Owner) Full(now time.Time, name pabundle.ServiceName) bool {
	s := o.services[name]
	if s == nil {
		return true
	}
	return s.queue.Standing() && s.queue.DrainTime(s.slots(now)) >= s.standingWait()
}

// InFlight returns how many requests of a service run at own targets, probes included.
func (o *Owner) InFlight(name pabundle.ServiceName) int {
	n := 0
	for _, t := range o.targets {
		if t.service.spec.Name == name {
			n += t.InFlight()
		}
	}
	return n
}

// PredictedWait returns how long an ordinary request of a service would wait now.
func (o *Owner) PredictedWait(now time.Time, name pabundle.ServiceName) time.Duration {
	s := o.services[name]
	if s == nil {
		return 0
	}
	rs := &requestState{request: Request{Service: name}, arrived: now}
	rs.cost, rs.maxCost = s.predictAnyRun()
	return s.wait(now, rs)
}

// PredictedRun returns the usual run time of a service's requests.
func (o *Owner) PredictedRun(name pabundle.ServiceName) time.Duration {
	s := o.services[name]
	if s == nil {
		return 0
	}
	mean, _ := s.predictAnyRun()
	return mean
}

// ActiveRequests returns how many requests have been offered and not ended.
func (o *Owner) ActiveRequests() int { return len(o.requests) }

// Phase returns the phase of an own target; ok is false for a target that is not owned.
func (o *Owner) Phase(name pabundle.TargetName) (p patarget.Phase, ok bool) {
	t := o.targets[name]
	if t == nil {
		return 0, false
	}
	return t.Phase(), true
}

// Handover returns what runs at each own target, in the order of their names.
func (o *Owner) Handover() []Running {
	var all []Running
	for _, t := range o.targets {
		all = append(all, Running{Target: t.name, Requests: t.InFlight()})
	}
	slices.SortFunc(all, func(a, b Running) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return all
}

// NextTick returns when Tick has something to do at the latest.
func (o *Owner) NextTick(now time.Time) time.Time {
	next := now.Add(patarget.ProbeIdle)
	for _, s := range o.order {
		for _, t := range s.targets {
			if u := t.NextTick(now); u.Before(next) {
				next = u
			}
		}
		if u, ok := s.queue.NextChange(); ok && u.Before(next) {
			next = u
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

func (rs *requestState) item() paqueue.Item {
	return paqueue.Item{
		ID:       uint64(rs.request.ID),
		Arrived:  rs.arrived,
		Deadline: rs.request.Deadline,
		Cost:     rs.cost,
		Retry:    rs.request.Attempt > 0 || rs.starts > 0,
		Flow:     rs.flow(),
	}
}

// flow keeps remote work and client blocks apart: half of the flows are for callers' blocks, half
// for those of other entry VMs' callers.
func (rs *requestState) flow() uint8 {
	b := uint8(rs.request.Block % (paqueue.Flows / 2))
	if rs.request.Origin == Caller {
		return b
	}
	return b + paqueue.Flows/2
}

func (rs *requestState) service(o *Owner) *service {
	return o.services[rs.request.Service]
}

func (s *service) typicalRun() time.Duration {
	if s.spec.TypicalRun.Duration > 0 {
		return s.spec.TypicalRun.Duration
	}
	return defaultTypicalRun
}

// predictAnyRun predicts the run time of a request of any class.
func (s *service) predictAnyRun() (mean, high time.Duration) {
	return s.anyClass.predict(s.typicalRun(), s.tuning.Deviations)
}

// predictRun predicts a request's run time from its class.
func (s *service) predictRun(r Request) (mean, high time.Duration) {
	if r.Cost > 0 {
		return r.Cost, r.Cost
	}
	fallback, _ := s.predictAnyRun()
	return s.classes[r.Class%Classes].predict(fallback, s.tuning.Deviations)
}

// slots is the number of slots that the service's targets offer, taken ones included.
func (s *service) slots(now time.Time) int {
	n := 0
	for _, t := range s.targets {
		n += t.Limit(now)
	}
	return n
}

func (s *service) freeSlots(now time.Time) int {
	n := 0
	for _, t := range s.targets {
		n += t.Room(now)
	}
	return n
}

func (s *service) hasFreeSlot(now time.Time) bool {
	for _, t := range s.targets {
		if t.Room(now) > 0 {
			return true
		}
	}
	return false
}

// load is the part of the slots in use, above 1 while requests wait.
func (s *service) load(now time.Time) float64 {
	slots := s.slots(now)
	if slots == 0 {
		return 1
	}
	busy := slots - s.freeSlots(now) + s.queue.Len()
	return float64(busy) / float64(slots)
}

// wait predicts how long a request waits for a slot: the work that runs before it, and the time
// until the next slot is free, shared by the slots.
func (s *service) wait(now time.Time, rs *requestState) time.Duration {
	slots := s.slots(now)
	if slots == 0 {
		return 0
	}
	if s.queue.Len() == 0 && s.hasFreeSlot(now) {
		return 0
	}
	mean, _ := s.predictAnyRun()
	return (s.queue.WorkAhead(rs.item())+mean)/time.Duration(slots) + s.nextSlot(now)
}

// nextSlot is how long until a target has room again whose slots are all taken by work that is not
// the owner's own.
func (s *service) nextSlot(now time.Time) time.Duration {
	var least time.Duration
	for n, t := range s.targets {
		d := t.Opens(now)
		if n == 0 || d < least {
			least = d
		}
	}
	return least
}

// takeoverWait is how long the work of a former owner is supposed to run.
func (s *service) takeoverWait() time.Duration {
	if s.tuning.Takeover > 0 {
		return s.tuning.Takeover
	}
	return min(patarget.DefaultTakeover, max(MinTakeover, TakeoverRuns*s.typicalRun()))
}

// standingWait is the wait to which a queue that stands is shortened.
func (s *service) standingWait() time.Duration {
	mean, _ := s.predictAnyRun()
	return max(MinStandingWait, time.Duration(s.tuning.StandingRuns*float64(mean)))
}

func (s *service) waitRefusal() Reason {
	if s.queue.Standing() {
		return QueueStands
	}
	return DeadlineTooNear
}

// peerRun is what the service's other targets need for work of a class: their lower median, or
// zero when none of them is known well enough.
func (s *service) peerRun(except *target, class uint8) time.Duration {
	var known [maxPeers]float64
	n := 0
	for _, t := range s.targets {
		e := &t.classes[class]
		if t == except || e.samples < patarget.SlowSamples || n == maxPeers {
			continue
		}
		known[n] = e.mean
		n++
	}
	if n == 0 {
		return 0
	}
	slices.Sort(known[:n])
	return time.Duration(known[(n-1)/2])
}

// maxPeers is how many peers a target is compared with: more say nothing new.
const maxPeers = 16

// isOnly says whether no other target of the service takes work.
func (s *service) isOnly(now time.Time, except *target) bool {
	for _, t := range s.targets {
		if t != except && t.Limit(now) > 0 {
			return false
		}
	}
	return true
}

// option is the target as a place for a request that failed at another or the same one before.
func (t *target) option(now time.Time, tried *target) paplacement.Option {
	p := paplacement.Option{Room: t.Room(now), Limit: t.Limit(now), Failures: t.Failures(), LastStart: t.lastStart}
	if t == tried {
		// Another target first: this one has just failed the request.
		p.Failures = 1
	}
	return p
}

// Waiting returns how many requests of a service wait for a slot.
func (o *Owner) Waiting(name pabundle.ServiceName) int {
	s := o.services[name]
	if s == nil {
		return 0
	}
	return s.queue.Len()
}
