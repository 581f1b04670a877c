package papolicy

import (
	"time"

	"papayahead/pabundle"
	"papayahead/paowner"
)

// baselineQueue bounds the queue of LeastOutstanding at each entry VM and service.
const baselineQueue = 64

// baseline is a decider as load balancers commonly have it: every entry VM sends to every target of
// its region, without a count of what the others send, and knows no deadlines.
type baseline struct {
	host     *host
	system   System
	services map[pabundle.ServiceName]*pool
	flying   map[paowner.RequestID]baselineFlight
}

type pool struct {
	machines []*machine
	counts   []int
	next     int
	waiting  []paowner.RequestID
}

type baselineFlight struct {
	pool *pool
	// machine is the place in the pool, or -1 while the request waits.
	machine int
}

func newBaseline(h *host, s System) *baseline {
	b := &baseline{host: h, system: s, services: map[pabundle.ServiceName]*pool{}, flying: map[paowner.RequestID]baselineFlight{}}
	for _, m := range h.world.list {
		if m.region != h.Region {
			continue
		}
		p := b.services[m.service]
		if p == nil {
			p = &pool{}
			b.services[m.service] = p
		}
		p.machines = append(p.machines, m)
		p.counts = append(p.counts, 0)
	}
	return b
}

// Offer starts, queues or refuses a request.
func (b *baseline) Offer(_ time.Time, r paowner.Request, into []paowner.Decision) []paowner.Decision {
	p := b.services[r.Service]
	if b.system == RoundRobin {
		p.next = (p.next + 1) % len(p.machines)
		return b.start(p, r.ID, p.next, into)
	}
	if n, ok := p.least(); ok {
		return b.start(p, r.ID, n, into)
	}
	if len(p.waiting) >= baselineQueue {
		return append(into, paowner.Refuse{Request: r.ID, Reason: paowner.QueueFull})
	}
	p.waiting = append(p.waiting, r.ID)
	b.flying[r.ID] = baselineFlight{pool: p, machine: -1}
	return into
}

// Finish frees the target and starts what waits.
func (b *baseline) Finish(_ time.Time, id paowner.RequestID, r paowner.Result, into []paowner.Decision) []paowner.Decision {
	f, ok := b.flying[id]
	if !ok || f.machine < 0 {
		return into
	}
	delete(b.flying, id)
	f.pool.counts[f.machine]--
	switch {
	case r.Outcome.DidNotRun():
		into = append(into, paowner.Refuse{Request: id, Reason: paowner.NoTarget})
	case r.Outcome != 0:
		into = append(into, paowner.Fail{Request: id, Outcome: r.Outcome})
	}
	for b.system == LeastOutstanding && len(f.pool.waiting) > 0 {
		n, ok := f.pool.least()
		if !ok {
			break
		}
		next := f.pool.waiting[0]
		f.pool.waiting = f.pool.waiting[1:]
		into = b.start(f.pool, next, n, into)
	}
	return into
}

// Cancel forgets a request that waits.
func (b *baseline) Cancel(_ time.Time, id paowner.RequestID, into []paowner.Decision) []paowner.Decision {
	f, ok := b.flying[id]
	if !ok || f.machine >= 0 {
		return into
	}
	delete(b.flying, id)
	for n, w := range f.pool.waiting {
		if w == id {
			f.pool.waiting = append(f.pool.waiting[:n], f.pool.waiting[n+1:]...)
			break
		}
	}
	return into
}

// Tick does nothing: a baseline has no timers.
func (b *baseline) Tick(_ time.Time, into []paowner.Decision) []paowner.Decision { return into }

func (b *baseline) start(p *pool, id paowner.RequestID, n int, into []paowner.Decision) []paowner.Decision {
	p.counts[n]++
	b.flying[id] = baselineFlight{pool: p, machine: n}
	return append(into, paowner.Start{Request: id, Target: p.machines[n].target.Name, Attempt: 1})
}

// least is the target with the fewest own requests, if that is below its slots.
func (p *pool) least() (int, bool) {
	best := 0
	for n := range p.machines {
		if p.counts[n] < p.counts[best] {
			best = n
		}
	}
	return best, p.counts[best] < p.machines[best].target.Slots
}
