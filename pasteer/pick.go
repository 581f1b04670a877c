package pasteer

import (
	"slices"
	"time"
)

// filterUsable returns the usable candidates. The result is valid until the next call.
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

// pick selects the candidate with the lowest cost, or refuses the request if it cannot be answered in time.
//
// After a burst or a restart the targets of an object may have no free slot for a while. Sending the request to any free
// target seems faster, but a cold run occupies the slot three times as long as a warm one and evicts another object from
// that target; soon all runs are cold, and the service has a third of its capacity long after the burst. So the request
// waits for a warm target until that costs more than a cold run, including what a cold run takes from other requests.
func (b *Balancer) pick(svc *service, all []candidate, q Request, now time.Time) Choice {
	var best Choice
	var lowestCost time.Duration
	if t := b.pickNewTarget(svc, all, q, now); t != nil {
		return Choice{Target: t.state.ID, Address: t.state.Address, Born: t.state.Born, finish: b.expectedRun(q, false)}
	}
	if t := b.pickLimitAsk(svc, q, now); t != nil {
		return Choice{Target: t.state.ID, Address: t.state.Address, Born: t.state.Born, finish: b.expectedRun(q, false)}
	}
	usable := b.filterUsable(all)
	region := b.currentRegion(svc, all, usable, q, now)
	held := region != "" && !b.mayShift(now)
	if held {
		usable = b.withRegionHome(svc, region, usable, q, now)
	}
	// An object that has to move may go anywhere, and the callers of relayed requests are another entry VM's.
	bounded, crowded := region != "" && !q.Direct, false
	first := b.firstUncongested(svc, usable, q, now)
	for i, c := range usable {
		shifted := region != "" && c.target.region != region
		if held && shifted {
			continue
		}
		if bounded && !b.mayRunIn(c.target.region, now) {
			crowded = true
			continue
		}
		warm := c.target.warm.has(q.key(), now)
		// If the request is held in its region, the first target there may run the object cold.
		if q.hasAffinity() && !warm && !b.Config.Off.WarmWait && !b.mayRunCold(svc, usable, first, i, q, now) &&
			!(held && best.Target == "") {
			continue
		}
		e := b.estimate(c.target, q, warm, now)
		// In a congested region the request also delays those that can run nowhere else.
		e.cost += 2 * b.congestion(svc, c.target.region, q, now)
		if best.Target == "" || e.cost < lowestCost {
			lowestCost = e.cost
			best = Choice{
				Target: c.target.state.ID, Address: c.target.state.Address, Born: c.target.state.Born,
				Warm: warm, Load: e.load, wait: e.wait, finish: e.finish, Shifted: shifted, Held: held,
				Relay: c.target.viaRelay, Avoided: c.avoided,
			}
		}
	}
	if best.Target == "" && crowded {
		return Choice{Reason: ReasonCrowded, RetryAfter: retryAfterFull, Held: held}
	}
	if !best.Relay && b.shouldRefuse(best, q, now) {
		return Choice{Reason: ReasonFull, RetryAfter: retryAfterFull + best.wait/2, Load: best.Load, Held: held}
	}
	return best
}

// withRegionHome adds the best target of a region to the candidates unless they contain one there that is not warm for the
// object. A request that is held in the region may run cold at it.
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

// estimate is what a request is expected to encounter at a target.
type estimate struct {
	// load is the load per slot, with a penalty for failures. wait and finish are those of Choice; cost is finish plus
	// the weighted slot time that a cold run takes beyond a warm one.
	load         float64
	wait, finish time.Duration
	cost         time.Duration
}

// roundTripTime is the network round-trip time to a target by its distance. It only matters between targets that are
// otherwise alike.
var roundTripTime = [...]time.Duration{sameZone: 0, sameRegion: 0, otherRegion: 70 * time.Millisecond}

// estimate returns the expected load, times and cost of sending the request to the target. warm is whether the target is
// warm for the request's object.
func (b *Balancer) estimate(t *target, q Request, warm bool, now time.Time) estimate {
	load := t.load(now) + b.waitingAhead(t, q, now)
	if t.viaRelay {
		// What is outstanding here has lost its path, and reports do not arrive.
		load = 0
	}
	e := estimate{load: load / t.slots()}
	if t.errors.at(now) > maxErrorRate && !b.Config.Off.GreyTargets {
		e.load += errorRatePenalty
	}
	slowness := t.slowness(now)
	warmRun := scaled(b.expectedRun(q, true), slowness)
	e.wait = time.Duration(max(0, (e.load*t.slots()+1-t.slots())/t.slots()) * float64(warmRun))
	run := scaled(b.expectedRun(q, warm), slowness)
	e.finish = roundTripTime[t.distance] + e.wait + run
	e.cost = e.finish + time.Duration(coldCostWeight*float64(run-warmRun))
	return e
}

// coldCostWeight is the weight, relative to the request's own wait, of the slot time that a cold run takes beyond a warm
// one.
const coldCostWeight = 2.0

const (
	// maxErrorRate is the average failure rate above which a target is avoided. Healthy targets fail less than one in a
	// hundred requests; a single failure raises the average by errorWeight.
	maxErrorRate = 0.3
	// errorRatePenalty is the load per slot that is added to that of a target above maxErrorRate.
	errorRatePenalty = 1.5
)

// slots returns the number of slots of the target, at least 1.
func (t *target) slots() float64 { return float64(max(1, t.state.Slots)) }

// otherLoadTTL is how long a target's load report counts: about the time of a warm run.
const otherLoadTTL = 500 * time.Millisecond

// remainingLoad is load without the requests that may have come since the last report: a request waits for none of those.
func (t *target) remainingLoad(now time.Time) float64 {
	if m := t.loadModel(); m != nil {
		return float64(t.inFlight) + t.belief.Remaining(m, t.slots(), now)
	}
	return t.load(now)
}

// load estimates the number of requests at the target, of this and of other entry VMs.
func (t *target) load(now time.Time) float64 {
	if m := t.loadModel(); m != nil {
		return float64(t.inFlight) + t.belief.Others(m, t.slots(), now)
	}
	if now.Sub(t.otherLoadAt) > otherLoadTTL {
		return float64(t.inFlight)
	}
	return float64(t.inFlight) + t.otherLoad
}
