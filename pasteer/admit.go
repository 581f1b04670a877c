package pasteer

import (
	"time"

	"papayahead/paroute"
)

// shouldRefuse reports whether to refuse the request rather than send it to the chosen target: the target would shed it,
// or would answer too late. A standing queue also counts where the choice knows of no wait, since the target's last load
// report is then older than a run.
func (b *Balancer) shouldRefuse(c Choice, q Request, now time.Time) bool {
	t := b.targets[c.Target]
	if c.Load >= maxLoad && !(t != nil && b.waitsHere(t)) {
		return true
	}
	if c.wait > 0 && now.Add(c.finish).After(q.Deadline) {
		return true
	}
	if q.waiting != nil {
		return false
	}
	return t != nil && !b.Config.Off.StandingQueues && t.hasStandingQueue(now, q.Route) && b.missesTargetLatency(t, q, c, now)
}

// hasStandingQueue reports whether the target has had no free slot for longer than a burst lasts.
//
// Under an overload of some seconds the queue would otherwise grow until each request is answered just before its
// deadline and none within the target latency, with no more work done than with a short queue. So a standing queue takes
// only requests that can still be answered within the target latency, while the queue of a burst takes all that can be
// answered before their deadline.
func (t *target) hasStandingQueue(now time.Time, r *paroute.Route) bool {
	return !t.fullSince.IsZero() && now.Sub(t.fullSince) > standingQueueFactor*r.TargetLatency
}

// standingLoadTTL is how long a load report counts while the target has a standing queue. It is longer than otherLoadTTL
// because such a target answers each entry VM less often, and a queue that is forgotten between two answers fills up.
const standingLoadTTL = 2 * time.Second

// missesTargetLatency reports whether the request would wait in the target's queue and be answered after its target latency.
func (b *Balancer) missesTargetLatency(t *target, q Request, c Choice, now time.Time) bool {
	load := float64(t.inFlight) + t.queuedOtherLoad(now, c.wait > 0) + b.waitingAhead(t, q, now)
	wait := max(0, (load+1-t.slots())/t.slots()) * float64(scaled(b.expectedRun(q, true), t.slowness(now)))
	if wait <= 0 {
		return false
	}
	return c.finish-c.wait+time.Duration(wait) > q.Route.TargetLatency
}

// queuedOtherLoad estimates how many requests of other entry VMs are at a target with a standing queue. Where the choice
// knows of no wait, the last load report is old and the reported load is taken to decrease linearly.
func (t *target) queuedOtherLoad(now time.Time, waitKnown bool) float64 {
	if m := t.loadModel(); m != nil {
		return t.belief.Remaining(m, t.slots(), now)
	}
	age := now.Sub(t.otherLoadAt)
	switch {
	case age > standingLoadTTL:
		return 0
	case waitKnown:
		return t.otherLoad
	default:
		return t.otherLoad * (1 - float64(age)/float64(standingLoadTTL))
	}
}

// standingQueueFactor is how many target latencies a queue may last before it counts as standing. Cold runs after a start
// and bursts of some seconds are over by then; refusing earlier loses answers that callers still accept.
const standingQueueFactor = 8

// maxLoad is the load per slot at which a target sheds requests: one running and three queued.
const maxLoad = 4.0
