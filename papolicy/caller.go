package papolicy

import (
	"time"

	"papayahead/pabundle"
	"papayahead/patarget"
)

const (
	// callerAttempts is how often a caller tries a request that it was told did not run.
	callerAttempts = 3
	// callerPause is how long a caller waits that was not told when to come back.
	callerPause = 100 * time.Millisecond
	// returnTime is what a caller keeps of its timeout for the way of the answer.
	returnTime = 20 * time.Millisecond
	// reset is how soon a caller notices that its entry VM died.
	reset = 50 * time.Millisecond
	// blocks is the number of client blocks of evenly spread callers.
	blocks = 64
)

// call is one request as its caller sees it, over all attempts.
type call struct {
	world    *world
	traffic  *Traffic
	region   pabundle.RegionName
	class    int
	block    uint32
	need     time.Duration
	began    time.Time
	deadline time.Time
	attempts int
	measured bool
	over     bool
	// refused means that the latest attempt was refused.
	refused bool
	visit   *visit
	avoid   *host
}

// nextCall plans the next request of a region's callers for a service.
func (w *world) nextCall(t *Traffic, r pabundle.RegionName) {
	load := w.scenario.Load(w.now.Sub(w.began), t.Service, r)
	perSlot := float64(time.Second) / float64(t.meanRun())
	rate := load * perSlot * float64(w.deployment.capacity(t.Service, r))
	w.after(time.Duration(w.demand.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.now.Sub(w.began) < w.scenario.Warm+w.scenario.Length {
			w.call(t, r)
			w.nextCall(t, r)
		}
	})
}

func (w *world) call(t *Traffic, r pabundle.RegionName) {
	c := &call{world: w, traffic: t, region: r, began: w.now, deadline: w.now.Add(t.Timeout), measured: w.measuring()}
	draw := w.demand.Float64()
	for c.class = 0; c.class < len(t.Classes)-1 && draw > t.Classes[c.class].Share; c.class++ {
		draw -= t.Classes[c.class].Share
	}
	c.need = w.runTime(t.Classes[c.class].Run)
	c.block = uint32(w.demand.IntN(blocks))
	if w.scenario.Block != nil {
		c.block = w.scenario.Block(w.demand.Float64())
	}
	w.measure.called(c)
	w.after(t.Timeout, c.timeout)
	c.attempt()
}

// attempt sends the request to an entry VM that a look-up named.
func (c *call) attempt() {
	w := c.world
	h := w.lookUp(c)
	if h == nil {
		c.end(unreachable)
		return
	}
	c.attempts++
	v := &visit{call: c, host: h}
	c.visit = v
	w.after(w.deployment.Callers, func() { h.arrive(v) })
}

// lookUp names an entry VM of the caller's region by its share of the targets, or of another region
// when none is left.
func (w *world) lookUp(c *call) *host {
	var total float64
	for _, h := range w.hosts {
		total += h.weight(c)
	}
	draw := w.rand.Float64() * total
	for _, h := range w.hosts {
		if draw -= h.weight(c); draw < 0 {
			return h
		}
	}
	return nil
}

func (h *host) weight(c *call) float64 {
	home := h.Region == c.region
	if c.world.regions[c.region].lost {
		home = h.Region != c.region
	}
	if !home || h == c.avoid {
		return 0
	}
	return h.lookUpWeight
}

// answer is the end of an attempt that reached the caller.
func (c *call) answer(v *visit, o patarget.Outcome, comeBack time.Duration) {
	if c.over || c.visit != v {
		return
	}
	c.refused = false
	switch {
	case o == patarget.Answered:
		c.end(inTime)
	case o.DidNotRun():
		c.refused = true
		c.again(comeBack)
	default:
		c.end(failed)
	}
}

func (c *call) again(comeBack time.Duration) {
	if comeBack == 0 {
		comeBack = callerPause
	}
	if c.attempts >= callerAttempts || c.world.now.Add(comeBack).After(c.deadline) {
		c.end(refused)
		return
	}
	c.world.after(comeBack, func() {
		if !c.over {
			c.attempt()
		}
	})
}

// lost is the end of a connection to an entry VM that died.
func (c *call) lost(v *visit) {
	if c.over || c.visit != v {
		return
	}
	c.avoid = v.host
	if !c.traffic.Idempotent && v.sent {
		c.end(failed)
		return
	}
	c.attempt()
}

func (c *call) timeout() {
	if c.over {
		return
	}
	v := c.visit
	if c.refused {
		c.end(refused)
		return
	}
	c.end(late)
	if v != nil {
		v.host.leave(v)
	}
}

func (c *call) end(o outcome) {
	if c.over {
		return
	}
	c.over = true
	c.world.measure.ended(c, o)
}
