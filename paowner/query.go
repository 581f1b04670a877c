package paowner

import (
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/paplacement"
	"papayahead/paqueue"
	"papayahead/patarget"
)

// targetEstimateWeight is the weight of the newest run time in a target's own estimate, to which other
// targets are compared. The average covers about the last 20 run times, so that a few short ones by
// chance don't make the other targets look slow.
const targetEstimateWeight = 0.05

// Running is the number of requests that run at a target, for a handover to its next owner.
type Running struct {
	Target   pabundle.TargetName
	Requests int
}

// FreeSlots returns how many more requests of a service could start now. The free slots of a target
// are weighted by its success rate. It is zero while requests are queued.
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

// Slots returns the number of usable slots of a service, those in use included.
func (o *Owner) Slots(now time.Time, name pabundle.ServiceName) int {
	if s := o.services[name]; s != nil {
		return s.slots(now)
	}
	return 0
}

// Full says whether the owner would refuse a first attempt without further constraints now, which other
// owners take into account before they forward requests here.
func (o *Owner) Full(now time.Time, name pabundle.ServiceName) bool {
	s := o.services[name]
	if s == nil {
		return true
	}
	return s.queue.Standing() && s.queue.DrainTime(s.slots(now)) >= s.standingWait()
}

// InFlight returns how many requests of a service run at this owner's targets, probes included.
func (o *Owner) InFlight(name pabundle.ServiceName) int {
	n := 0
	for _, t := range o.targets {
		if t.service.spec.Name == name {
			n += t.InFlight()
		}
	}
	return n
}

// PredictedWait returns how long a first attempt of average cost would wait for a slot now.
func (o *Owner) PredictedWait(now time.Time, name pabundle.ServiceName) time.Duration {
	s := o.services[name]
	if s == nil {
		return 0
	}
	rs := &requestState{request: Request{Service: name}, arrived: now}
	rs.cost, rs.maxCost = s.predictAnyRun()
	return s.wait(now, rs)
}

// PredictedRun returns the predicted mean run time of a service's requests.
func (o *Owner) PredictedRun(name pabundle.ServiceName) time.Duration {
	s := o.services[name]
	if s == nil {
		return 0
	}
	mean, _ := s.predictAnyRun()
	return mean
}

// ActiveRequests returns how many requests were accepted and have not ended, queued, running and
// forwarded ones.
func (o *Owner) ActiveRequests() int { return len(o.requests) }

// Phase returns the phase of a target; ok is false for a target that is not owned.
func (o *Owner) Phase(name pabundle.TargetName) (p patarget.Phase, ok bool) {
	t := o.targets[name]
	if t == nil {
		return 0, false
	}
	return t.Phase(), true
}

// Handover returns the number of requests that run at each target, sorted by target name.
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

// NextTick returns the time by which Tick has to be called; it is never before now.
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

// flow returns the queue flow of a request. Half of the flows are for client blocks of requests that
// callers sent here, the other half for client blocks of requests that other entry VMs forwarded.
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

// predictAnyRun predicts the run time of a request of unknown class.
func (s *service) predictAnyRun() (mean, high time.Duration) {
	return s.anyClass.predict(s.typicalRun(), s.tuning.Deviations)
}

// predictRun returns the request's own cost if it is known, else a prediction from its class.
func (s *service) predictRun(r Request) (mean, high time.Duration) {
	if r.Cost > 0 {
		return r.Cost, r.Cost
	}
	fallback, _ := s.predictAnyRun()
	return s.classes[r.Class%Classes].predict(fallback, s.tuning.Deviations)
}

// slots returns the number of usable slots of the service's targets, those in use included.
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

// load returns the fraction of the slots in use, with queued requests counted as slots in use.
func (s *service) load(now time.Time) float64 {
	slots := s.slots(now)
	if slots == 0 {
		return 1
	}
	busy := slots - s.freeSlots(now) + s.queue.Len()
	return float64(busy) / float64(slots)
}

// wait predicts how long a request waits for a slot: the work queued ahead of it plus one mean run,
// divided by the number of slots, plus the time until any target has a slot to give.
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

// nextSlot returns the shortest time for which a target's slots are all taken by requests that this
// owner didn't start, such as those of a former owner. It is zero if any target has a free slot or runs
// requests of this owner.
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

// takeoverWait returns how long requests of a former owner are assumed to run.
func (s *service) takeoverWait() time.Duration {
	if s.tuning.Takeover > 0 {
		return s.tuning.Takeover
	}
	return min(patarget.DefaultTakeover, max(MinTakeover, TakeoverRuns*s.typicalRun()))
}

// standingWait returns the wait to which a standing queue is shortened.
func (s *service) standingWait() time.Duration {
	mean, _ := s.predictAnyRun()
	return max(MinStandingWait, time.Duration(s.tuning.StandingRuns*float64(mean)))
}

// waitRefusal returns the reason for refusing a request because its predicted wait is too long.
func (s *service) waitRefusal() Reason {
	if s.queue.Standing() {
		return QueueStands
	}
	return DeadlineTooNear
}

// peerRun returns the run time of a class at the service's other targets: the lower median of their
// means, or zero if none of them has enough samples.
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

// maxPeers limits how many targets a target is compared with; more would not change the median much.
const maxPeers = 16

// isOnly says whether no other target of the service accepts requests.
func (s *service) isOnly(now time.Time, except *target) bool {
	for _, t := range s.targets {
		if t != except && t.Limit(now) > 0 {
			return false
		}
	}
	return true
}

// option describes the target to paplacement.PickTarget; tried is the target that failed the request
// before, or nil.
func (t *target) option(now time.Time, tried *target) paplacement.Option {
	p := paplacement.Option{Room: t.Room(now), Limit: t.Limit(now), Failures: t.Failures(), LastStart: t.lastStart}
	if t == tried {
		// The target has just failed the request, so that any other one is preferred.
		p.Failures = 1
	}
	return p
}

// Waiting returns how many requests of a service are queued.
func (o *Owner) Waiting(name pabundle.ServiceName) int {
	s := o.services[name]
	if s == nil {
		return 0
	}
	return s.queue.Len()
}
