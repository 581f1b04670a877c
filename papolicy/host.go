package papolicy

import (
	"math/rand/v2"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/pacontrol"
	"papayahead/paowner"
	"papayahead/patarget"
)

// roomBacklog is the processing backlog above which an entry VM refuses for lack of own room.
const roomBacklog = 20 * time.Millisecond

// host is an entry VM with its decider.
type host struct {
	Entry
	world   *world
	decider decider
	// daemon is set for Papayahead, owner for OwnersOnly.
	daemon *daemon
	owner  *paowner.Owner
	view   *view
	dead   bool
	died   time.Time
	ids    paowner.RequestID
	visits map[paowner.RequestID]*visit
	owned  []*machine
	had    map[*machine]bool
	// lookUpWeight is the part of callers that look-ups send here.
	lookUpWeight float64
	// busy is up to when the entry VM is busy with what it took in.
	busy    time.Time
	stepped time.Time
	// abroad counts callers of other regions that arrived, and those of them that were let in.
	abroad, letIn float64
}

// visit is one attempt of a call at one entry VM.
type visit struct {
	call *call
	host *host
	id   paowner.RequestID
	// from is the visit at the entry VM that forwarded this one.
	from        *visit
	fromAttempt int
	patience    time.Duration
	credit      string
	child       *visit
	run         *run
	sent        bool
	over        bool
	attempts    int
	arrived     time.Time
	offered     time.Time
}

func newHost(w *world, e Entry) *host {
	h := &host{Entry: e, world: w, visits: map[paowner.RequestID]*visit{}, had: map[*machine]bool{}}
	if w.setup.System == Papayahead {
		h.daemon = newDaemon(h, len(w.hosts))
		h.decider = h.daemon
		return h
	}
	if w.setup.System != OwnersOnly {
		h.decider = newBaseline(h, w.setup.System)
		return h
	}
	h.view = &view{host: h, reports: map[*host]report{}}
	h.owner = paowner.New(paowner.Config{
		Policy:   w.deployment.Bundle.Policy,
		Services: w.deployment.Bundle.Services,
		Others:   h.view,
		Rand:     rand.New(rand.NewPCG(w.setup.Seed, uint64(len(w.hosts)))),
		Order:    w.setup.Order,
		Tuning:   w.setup.Tuning,
	})
	h.decider = h.owner
	return h
}

func (h *host) start() {
	h.world.after(tickEvery, h.tick)
	if h.daemon != nil {
		h.daemon.start()
	}
	if h.view != nil {
		h.world.after(time.Duration(h.world.rand.Int64N(int64(gossipEvery))), h.gossip)
	}
}

func (h *host) own(m *machine) { h.owned = append(h.owned, m) }

// setTargets tells the decider what it owns now; what was another's came by that one's loss.
func (h *host) setTargets() {
	owned := h.owned
	h.owned = nil
	h.lookUpWeight = 0
	var all []paowner.OwnedTarget
	for _, m := range owned {
		w := paowner.OwnedTarget{Target: m.target, Service: m.service, Join: patarget.Warm}
		if h.world.now.After(h.world.began) {
			w.Join = patarget.Orphaned
		}
		w.Connections = m.target.MaxConnections / len(h.world.hosts)
		h.lookUpWeight += float64(m.target.Slots)
		all = append(all, w)
	}
	if h.owner != nil && !h.dead {
		h.step(func(into []paowner.Decision) []paowner.Decision {
			return h.owner.SetTargets(h.world.now, all, into)
		})
	}
}

// step runs a command and carries its decisions out.
func (h *host) step(command func(into []paowner.Decision) []paowner.Decision) {
	ds := command(nil)
	gap := h.world.now.Sub(h.stepped)
	h.stepped = h.world.now
	for _, d := range ds {
		h.carryOut(d, gap)
	}
}

func (h *host) tick() {
	if h.dead {
		return
	}
	h.step(func(into []paowner.Decision) []paowner.Decision { return h.decider.Tick(h.world.now, into) })
	h.world.after(h.tickEvery(), h.tick)
}

func (h *host) tickEvery() time.Duration {
	if h.daemon != nil {
		return pacontrol.TickInterval
	}
	return tickEvery
}

// arrive is a request that reached the entry VM.
func (h *host) arrive(v *visit) {
	w := h.world
	if h.dead {
		w.after(reset, func() { v.lost() })
		return
	}
	v.arrived = w.now
	if h.busy.Before(w.now) {
		h.busy = w.now
	}
	if h.daemon == nil && v.from == nil && h.refusesFirst(v) {
		return
	}
	h.busy = h.busy.Add(time.Duration(float64(time.Second) / w.deployment.EntryRate))
	w.after(h.busy.Sub(w.now), func() {
		if !h.dead {
			h.offer(v)
		}
	})
}

// refusesFirst stands for what the daemon checks before it offers: its own room, and how many
// callers of another region it may take, which the bundle caps for the baselines as well.
func (h *host) refusesFirst(v *visit) bool {
	w := h.world
	full := h.owner != nil && h.busy.Sub(w.now) > roomBacklog
	if !full && v.call.region != h.Region {
		h.abroad++
		full = h.letIn >= h.abroad*w.moved(v.call.traffic.Service)
		if !full {
			h.letIn++
		}
	}
	if full {
		w.measure.refusedAfter(v, 0, true)
		v.end(patarget.NotRun, time.Second+time.Duration(w.rand.Int64N(int64(time.Second))))
	}
	return full
}

func (h *host) offer(v *visit) {
	w := h.world
	h.ids++
	v.id = h.ids
	h.visits[v.id] = v
	v.offered = w.now
	c := v.call
	work := c.traffic.Classes[c.class]
	r := paowner.Request{
		ID: v.id, Service: c.traffic.Service, Deadline: c.deadline.Add(-returnTime), Idempotent: c.traffic.Idempotent,
		Attempt: c.attempts - 1, Class: uint8(c.class), Block: c.block, Bytes: work.Request + work.Answer,
	}
	if v.from != nil {
		r.MaxWait = v.patience
		r.Origin = paowner.Peer
		if v.from.host.Region != h.Region {
			r.Origin = paowner.Remote
		}
	}
	h.step(func(into []paowner.Decision) []paowner.Decision { return h.decider.Offer(w.now, r, into) })
}

func (h *host) carryOut(d paowner.Decision, gap time.Duration) {
	switch d := d.(type) {
	case paowner.Start:
		h.send(h.visits[d.Request], d)
	case paowner.Forward:
		h.pass(h.visits[d.Request], d)
	case paowner.Refuse:
		v := h.visits[d.Request]
		h.world.measure.refusedAfter(v, gap, v.offered.Equal(h.world.now))
		v.end(patarget.NotRun, d.RetryAfter)
	case paowner.Fail:
		h.visits[d.Request].end(d.Outcome, 0)
	case paowner.Probe:
		h.probe(h.world.machines[d.Target])
	}
}

// send puts a request on its way to a target.
func (h *host) send(v *visit, d paowner.Start) {
	w := h.world
	m := w.machines[d.Target]
	v.sent = true
	v.attempts++
	r := &run{visit: v, attempt: d.Attempt, machine: m, need: v.call.need}
	if h.owner != nil || h.daemon != nil {
		r.deadline = v.call.deadline.Add(-returnTime)
	}
	sizes := v.call.traffic.Classes[v.call.class]
	r.reply = func(o patarget.Outcome, took time.Duration) {
		w.after(w.network(m.target.Zone, h.Zone, sizes.Answer), func() { h.finish(v, d.Attempt, o, took, 0) })
	}
	v.run = r
	w.after(w.network(h.Zone, m.target.Zone, sizes.Request), func() { m.arrive(r) })
}

// pass forwards a request to another owner.
func (h *host) pass(v *visit, d paowner.Forward) {
	w := h.world
	i := slices.IndexFunc(w.hosts, func(o *host) bool { return o.Name == d.Entry })
	to := w.hosts[i]
	if h.view != nil {
		h.view.charge(v, to)
	}
	v.sent = true
	v.child = &visit{call: v.call, host: to, from: v, fromAttempt: d.Attempt, patience: d.MaxWait}
	child := v.child
	if h.daemon != nil {
		child.credit = h.daemon.credits[d.Request]
		delete(h.daemon.credits, d.Request)
	}
	h.transmit(to, v.call.traffic.Classes[v.call.class].Request, func() { to.arrive(child) })
}

func (h *host) probe(m *machine) {
	w := h.world
	r := &run{machine: m, need: probeTime, probe: true}
	r.reply = func(o patarget.Outcome, _ time.Duration) {
		w.after(w.network(m.target.Zone, h.Zone, 0), func() {
			if !h.dead {
				h.step(func(into []paowner.Decision) []paowner.Decision {
					if h.daemon != nil {
						return h.daemon.apply(pacontrol.Probed{Target: m.target.Name, OK: o == patarget.Answered}, into)
					}
					return h.owner.Probed(w.now, m.target.Name, o == patarget.Answered, into)
				})
			}
		})
	}
	w.after(w.network(h.Zone, m.target.Zone, 0), func() { m.arrive(r) })
}

// finish is the end of an attempt, at a target or at another owner.
func (h *host) finish(v *visit, attempt int, o patarget.Outcome, took, comeBack time.Duration) {
	if h.dead || h.visits[v.id] != v {
		return
	}
	res := paowner.Result{Attempt: attempt, Outcome: o, Run: took, RetryAfter: comeBack}
	if o == patarget.Answered {
		v.end(o, 0)
	}
	h.step(func(into []paowner.Decision) []paowner.Decision {
		return h.decider.Finish(h.world.now, v.id, res, into)
	})
	if o == patarget.Answered || o == patarget.Abandoned {
		delete(h.visits, v.id)
	}
}

// leave is a caller that went away: the daemon closes the connection to the target.
func (h *host) leave(v *visit) {
	w := h.world
	if v.over || h.dead || w.setup.System == RoundRobin {
		return
	}
	v.over = true
	if v.child != nil && !v.child.over {
		child := v.child
		w.after(w.network(h.Zone, child.host.Zone, 0), func() { child.host.leave(child) })
	}
	h.step(func(into []paowner.Decision) []paowner.Decision { return h.decider.Cancel(w.now, v.id, into) })
	if r := v.run; r != nil && !r.over {
		w.after(w.network(h.Zone, r.machine.target.Zone, 0), func() { r.machine.cancel(r) })
		return
	}
	if v.child == nil {
		delete(h.visits, v.id)
	}
}

// die ends the entry VM: its connections close, and whoever waits on them notices.
func (h *host) die() {
	h.dead = true
	h.died = h.world.now
	h.lookUpWeight = 0
	w := h.world
	for id := paowner.RequestID(1); id <= h.ids; id++ {
		v := h.visits[id]
		if v == nil {
			continue
		}
		if v.run != nil && !v.run.over {
			r := v.run
			r.reply = nil
			w.after(w.deployment.Zones, func() { r.machine.cancel(r) })
		}
		w.after(reset, v.lost)
	}
	h.visits = nil
}

// end sends the outcome back to where the visit came from.
func (v *visit) end(o patarget.Outcome, comeBack time.Duration) {
	h := v.host
	w := h.world
	if o != patarget.Answered {
		delete(h.visits, v.id)
	}
	if v.over {
		return
	}
	v.over = true
	if v.from == nil {
		w.after(w.deployment.Callers, func() { v.call.answer(v, o, comeBack) })
		return
	}
	from := v.from
	var bytes int64
	if o == patarget.Answered {
		bytes = v.call.traffic.Classes[v.call.class].Answer
	}
	from.attempts += v.attempts
	h.transmit(from.host, bytes, func() { from.back(v, o, comeBack) })
}

// back is the end of a forwarded attempt.
func (v *visit) back(child *visit, o patarget.Outcome, comeBack time.Duration) {
	h := v.host
	if h.dead {
		return
	}
	if h.view != nil {
		h.view.returned(child.host, v.call.traffic.Service)
	}
	took := h.world.now.Sub(child.arrived)
	h.finish(v, child.fromAttempt, o, took, comeBack)
}

// lost is the end of a visit by the death of its entry VM.
func (v *visit) lost() {
	if v.over {
		return
	}
	v.over = true
	if v.from == nil {
		v.call.lost(v)
		return
	}
	o := patarget.Unknown
	if v.arrived.IsZero() {
		o = patarget.NotRun
	}
	v.from.back(v, o, 0)
}

// moved is the part of another region's callers that may be taken now: stand-in for the shift cap.
func (w *world) moved(s pabundle.ServiceName) float64 {
	for _, sv := range w.deployment.Bundle.Services {
		if sv.Name != s {
			continue
		}
		for _, f := range w.scenario.Faults {
			if f.LoseRegion != "" {
				since := w.now.Sub(w.began) - f.At
				return min(1, sv.Shift.Share*float64(since)/float64(sv.Shift.Window.Duration))
			}
		}
	}
	return 1
}
