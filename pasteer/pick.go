package pasteer

import (
	"slices"
	"time"
)

// usableOf returns the candidates that may get the request now.
func (s *Balancer) usableOf(all []candidate) []candidate {
	usable := s.scratchUsable[:0]
	for _, c := range all {
		if c.usable {
			usable = append(usable, c)
		}
	}
	s.scratchUsable = usable
	return usable
}

// pick takes the candidate with the least cost, or refuses where none can answer in time.
//
// Load: a burst, or targets that came back, so that the targets of an object have no free slot for a
// while. Harm prevented: sending the request to any free target looks quick, but there it takes three
// times the slot time of warm work and pushes another object out; soon all work everywhere is cold
// and the service has a third of its capacity, long after the burst. So waiting at a warm target is
// preferred until it costs more than the cold run and what that takes from others.
func (s *Balancer) pick(g *service, all []candidate, q Request, now time.Time) Choice {
	var best Choice
	var least time.Duration
	if t := s.newcomer(g, all, q, now); t != nil {
		return Choice{Target: t.member.ID, Address: t.member.Address, Born: t.member.Born, finish: s.expected(q, false)}
	}
	usable := s.usableOf(all)
	region := s.settled(g, all, usable, q, now)
	held := region != "" && !s.mayShift(now)
	if held {
		usable = s.withFirstIn(g, region, usable, q, now)
	}
	first := s.firstHome(g, usable, q, now)
	for i, c := range usable {
		shifts := region != "" && c.target.region != region
		if held && shifts {
			continue
		}
		warm := c.target.warm.has(q.key(), now)
		// Where the request is held in its region, the first target there may run the object cold.
		if q.bound() && !warm && !s.Config.Off.WarmWait && !s.mayBeHome(g, usable, first, i, q, now) && !(held && best.Target == "") {
			continue
		}
		e := s.estimate(c.target, q, warm, now)
		// What waits there waits longer for each request that could have gone elsewhere.
		e.cost += 2 * s.pressOf(g, c.target.region, q, now)
		if best.Target == "" || e.cost < least {
			least = e.cost
			best = Choice{
				Target: c.target.member.ID, Address: c.target.member.Address, Born: c.target.member.Born,
				Warm: warm, Load: e.load, wait: e.wait, finish: e.finish, Shifted: shifts, Held: held,
			}
		}
	}
	if s.tooLate(best, q, now) {
		return Choice{Reason: ReasonFull, RetryAfter: comeBackFull + best.wait/2, Load: best.Load, Held: held}
	}
	return best
}

// withFirstIn adds the first target of a region where none of the ranking's first is in it: a request that is held
// there may run cold at it.
func (s *Balancer) withFirstIn(g *service, region string, usable []candidate, q Request, now time.Time) []candidate {
	for _, c := range usable {
		if c.target.region == region && !c.target.warm.has(q.key(), now) {
			return usable
		}
	}
	t := s.firstIn(g, region, q, now)
	if t == nil || t.warm.has(q.key(), now) {
		return usable
	}
	usable = append(usable, candidate{ranked: ranked{t, rendezvous(q.key(), t.hash)}, usable: true})
	slices.SortFunc(usable, byRank)
	return usable
}

// estimate is what a request is taken to meet at a target.
type estimate struct {
	load         float64
	wait, finish time.Duration
	cost         time.Duration
}

// wayTime is the time to a target and back, by its distance. It only decides between targets that are alike otherwise.
var wayTime = [...]time.Duration{nearZone: 0, nearRegion: 0, nearNone: 70 * time.Millisecond}

func (s *Balancer) estimate(t *target, q Request, warm bool, now time.Time) estimate {
	load := t.load(now)
	e := estimate{load: load / t.slots()}
	if t.errors > greyErrors && !s.Config.Off.GreyTargets {
		e.load += greyPenalty
	}
	work := s.expected(q, true)
	e.wait = time.Duration(max(0, (e.load*t.slots()+1-t.slots())/t.slots()) * float64(work))
	run := s.expected(q, warm)
	e.finish = wayTime[t.near] + e.wait + run
	e.cost = e.finish + time.Duration(coldCost*float64(run-work))
	return e
}

// coldCost is how much the slot time that a cold run takes beyond a warm one weighs against the
// request's own wait.
const coldCost = 2.0

const (
	// greyErrors is the smoothed share of failures above which a target is avoided. Targets fail under
	// one in a hundred requests by themselves; a single failure raises the share by errorWeight.
	greyErrors = 0.3
	// greyPenalty is the load that a failing target counts as having besides its own.
	greyPenalty = 1.5
)

func (t *target) slots() float64 { return float64(max(1, t.member.Slots)) }

// othersLife is how long what a target told of its load counts: about a run of warm work.
const othersLife = 500 * time.Millisecond

// load estimates the requests that the target has.
func (t *target) load(now time.Time) float64 {
	if now.Sub(t.othersAt) > othersLife {
		return float64(t.inFlight)
	}
	return float64(t.inFlight) + t.others
}
