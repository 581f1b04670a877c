package pagate

import (
	"context"
	"net/http"

	"papayahead/pasteer"
)

// serve sends the request until there is an answer.
func (g *Gate) serve(ctx context.Context, w http.ResponseWriter, x *exchange) {
	g.steering.Lock()
	x.service = g.steer.PickService(x.route, x.arrived)
	g.steering.Unlock()
	for dials, sheds := 0, 0; ; {
		c := g.choose(x)
		if c.Target == "" {
			g.unplaced(w, x, c)
			return
		}
		r := g.send(ctx, x, c)
		g.finished(x, r)
		switch {
		case r.reply != nil && !g.again(x, r):
			g.answer(w, x, r)
			return
		case x.caller.Err() != nil:
			g.ended(x, 0, reasonGone)
			panic(http.ErrAbortHandler)
		}
		if r.reply != nil {
			x.failed = r.reply
		}
		x.mayHaveRun = x.mayHaveRun || !r.notRun
		if r.outcome == pasteer.Refused {
			if dials++; dials < dialsMost {
				x.tried = append(x.tried, c.Target)
				continue
			}
		}
		room := g.shedWithRoom(r)
		if r.reply == nil && (room && sheds >= shedsMost || !g.again(x, r)) {
			g.giveUp(w, x, r, room)
			return
		}
		if room {
			// Another target would run the object cold; this one takes the next request as likely.
			sheds++
			continue
		}
		x.tried = append(x.tried, c.Target)
	}
}

// dialsMost is how many targets are tried to which no connection opens. Nothing reached them, so that
// they are no attempts; a zone that just went dark has a handful of targets a service.
const dialsMost = 4

// shedsMost is how many times a request is sent again to a target that has room and turns it away.
const shedsMost = 2

// shedWithRoom says that a target with a free slot turned the request away.
func (g *Gate) shedWithRoom(r result) bool {
	g.steering.Lock()
	defer g.steering.Unlock()
	return g.steer.ShedWithFreeSlot(r.report)
}

// choose decides where the request goes next.
func (g *Gate) choose(x *exchange) pasteer.Choice {
	now := g.config.Clock.Now()
	g.steering.Lock()
	defer g.steering.Unlock()
	q := pasteer.Request{Route: x.route, Service: x.service, Object: x.object, Tried: x.tried, Deadline: x.limit, Regions: x.regions()}
	c := g.steer.Choose(q, now)
	x.last = c
	g.meter.choice(c)
	if c.Target != "" {
		g.steer.Start(c, q, now)
	}
	return c
}

// finished tells the steering how an attempt ended.
func (g *Gate) finished(x *exchange, r result) {
	g.steering.Lock()
	defer g.steering.Unlock()
	g.steer.Finish(r.report, g.config.Clock.Now())
	g.meter.attempt(x.route.Name, r.outcome)
}

// again says whether the request may be sent once more, and takes it from the budget.
//
// Only a request that may run twice, or that did not run, is sent again. A streamed body cannot be.
func (g *Gate) again(x *exchange, r result) bool {
	if r.reply != nil && r.outcome == pasteer.Answered {
		return false
	}
	if x.stream != nil || r.outcome == pasteer.Abandoned || !x.route.Idempotent && !r.notRun {
		return false
	}
	if len(x.tried)+1 >= x.route.MaxAttempts {
		return false
	}
	now := g.config.Clock.Now()
	if x.limit.Sub(now) < x.route.TargetLatency/retryShare {
		return false
	}
	g.steering.Lock()
	defer g.steering.Unlock()
	return g.steer.TakeRetry(x.service, now)
}

// retryShare is the part of the target latency that must be left for another attempt: warm work takes
// about that.
const retryShare = 3
