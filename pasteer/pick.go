package pasteer

import (
	"slices"
	"time"
)

// filterUsable returns the candidates that may get the request now.
func (b *Balancer) filterUsable(all []candidate) []candidate {
	usable := b.scratchUsable[:0]
	for _, c := range all {
		if c.usable {
			usable = append(usable, c)
		}
	}
	b.scratchUsable = usable
	return usable
}

// pick takes the candidate with the least cost, or refuses where none can answer in time.
//
// Load: a burst, or targets that came back, so that the targets of an object have no free slot for a
// while. Harm prevented: sending the request to any free target looks quick, but there it takes three
// times the slot time of warm work and pushes another object out; soon all work everywhere is cold
// and the service has a third of its capacity, long after the burst. So waiting at a warm target is
// preferred until it costs more than the cold run and what that takes from others.
func (b *Balancer) pick(svc *service, all []candidate, q Request, now time.Time) Choice {
	var best Choice
	var least time.Duration
	if t := b.pickNewTarget(svc, all, q, now); t != nil {
		return Choice{Target: t.member.ID, Address: t.member.Address, Born: t.member.Born, finish: b.expectedRun(q, false)}
	}
	usable := b.filterUsable(all)
	region := b.currentRegion(svc, all, usable, q, now)
	held := region != "" && !b.mayShift(now)
	if held {
		usable = b.withRegionHome(svc, region, usable, q, now)
	}
	first := b.firstUncongested(svc, usable, q, now)
	for i, c := range usable {
		shifts := region != "" && c.target.region != region
		if held && shifts {
			continue
		}
		warm := c.target.warm.has(q.key(), now)
		// Where the request is held in its region, the first target there may run the object cold.
		if q.hasAffinity() && !warm && !b.Config.Off.WarmWait && !b.mayRunCold(svc, usable, first, i, q, now) && !(held && best.Target == "") {
			continue
		}
		e := b.estimate(c.target, q, warm, now)
		// What waits there waits longer for each request that could have gone elsewhere.
		e.cost += 2 * b.congestion(svc, c.target.region, q, now)
		if best.Target == "" || e.cost < least {
			least = e.cost
			best = Choice{
				Target: c.target.member.ID, Address: c.target.member.Address, Born: c.target.member.Born,
				Warm: warm, Load: e.load, wait: e.wait, finish: e.finish, Shifted: shifts, Held: held,
			}
		}
	}
	if b.shouldRefuse(best, q, now) {
		return Choice{Reason: ReasonFull, RetryAfter: retryAfterFull + best.wait/2, Load: best.Load, Held: held}
	}
	return best
}

// withRegionHome adds the first target of a region where none of the ranking's first is in it: a request that is held
// there may run cold at it.
func (b *Balancer) withRegionHome(svc *service, region string, usable []candidate, q Request, now time.Time) []candidate {
	for _, c := range usable {
		if c.target.region == region && !c.target.warm.has(q.key(), now) {
			return usable
		}
	}
	t := b.bestInRegion(svc, region, q, now)
	if t == nil || t.warm.has(q.key(), now) {
		return usable
	}
	usable = append(usable, candidate{ranked: ranked{t, rendezvousWeight(q.key(), t.hash)}, usable: true})
	slices.SortFunc(usable, byRank)
	return usable
}

// estimate is what a request is taken to meet at a target.
type estimate struct {
	load         float64
	wait, finish time.Duration
	cost         time.Duration
}

// roundTripTime is the time to a target and back, by its distance. It only decides between targets that are alike otherwise.
var roundTripTime = [...]time.Duration{sameZone: 0, sameRegion: 0, otherRegion: 70 * time.Millisecond}

func (b *Balancer) estimate(t *target, q Request, warm bool, now time.Time) estimate {
	load := t.load(now)
	e := estimate{load: load / t.slots()}
	if t.errorRate > maxErrorRate && !b.Config.Off.GreyTargets {
		e.load += errorRatePenalty
	}
	work := b.expectedRun(q, true)
	e.wait = time.Duration(max(0, (e.load*t.slots()+1-t.slots())/t.slots()) * float64(work))
	run := b.expectedRun(q, warm)
	e.finish = roundTripTime[t.distance] + e.wait + run
	e.cost = e.finish + time.Duration(coldCostWeight*float64(run-work))
	return e
}

// coldCostWeight is how much the slot time that a cold run takes beyond a warm one weighs against the
// request's own wait.
const coldCostWeight = 2.0

const (
	// maxErrorRate is the smoothed share of failures above which a target is avoided. Targets fail under
	// one in a hundred requests by themselves; a single failure raises the share by errorWeight.
	maxErrorRate = 0.3
	// errorRatePenalty is the load that a failing target counts as having besides its own.
	errorRatePenalty = 1.5
)

func (t *target) slots() float64 { return float64(max(1, t.member.Slots)) }

// otherLoadTTL is how long what a target told of its load counts: about a run of warm work.
const otherLoadTTL = 500 * time.Millisecond

// load estimates the requests that the target has.
func (t *target) load(now time.Time) float64 {
	if now.Sub(t.otherLoadAt) > otherLoadTTL {
		return float64(t.inFlight)
	}
	return float64(t.inFlight) + t.otherLoad
}
