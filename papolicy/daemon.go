package papolicy

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/pacontrol"
	"papayahead/palink"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paplatform"
	"papayahead/paroom"
	"papayahead/patarget"
)

const (
	// listEvery is how often an entry VM reads the platform's VM list, listLag how far the list is behind.
	listEvery = 2 * time.Second
	listLag   = 5 * time.Second
	// measureEvery is how often an entry VM measures its processors.
	measureEvery = 100 * time.Millisecond
	// budgetRetry is the pause of a long transfer while the region has not agreed on who shares the link.
	budgetRetry = 100 * time.Millisecond
	// storeTime is a round trip to the platform's store.
	storeTime = 5 * time.Millisecond
	// maxHeld is the most requests that an entry VM holds.
	maxHeld = 4000
)

// daemon is the whole control state of an entry VM as it runs in production, with messages between
// entry VMs in place of what the other systems take for granted.
type daemon struct {
	host    *host
	control *pacontrol.Control
	address netip.AddrPort
	// credits go with the forwarded requests.
	credits map[paowner.RequestID]string
	members int
	budgets map[pabundle.RegionName]*palink.Budget
	// taken counts requests since the last measurement of the processors.
	taken int
}

func newDaemon(h *host, n int) *daemon {
	d := &daemon{
		host: h, credits: map[paowner.RequestID]string{}, budgets: map[pabundle.RegionName]*palink.Budget{},
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n + 1)}), 7000),
	}
	w := h.world
	self := pamember.Identity{
		Name: h.Name, Zone: h.Zone, Region: h.Region, PeerAddress: d.address, CallerAddress: d.address,
		Incarnation: pamember.Incarnation(w.began.UnixMilli()),
	}
	k, err := pacontrol.New(pacontrol.Config{
		Self: self, Deployment: w.deployment.Bundle.Deployment, Random: rand.New(rand.NewPCG(w.setup.Seed, uint64(n))),
		Started: w.began, Room: paroom.Limits{Requests: maxHeld}, TimeToLive: 5 * time.Second, ListLag: listLag,
	})
	if err != nil {
		panic("papolicy: " + err.Error())
	}
	d.control = k
	return d
}

// start begins what a daemon does by itself.
func (d *daemon) start() {
	d.list()
	d.measure()
	d.tell(pacontrol.HeadFound{Head: d.host.world.head})
}

func (d *daemon) list() {
	w := d.host.world
	if d.host.dead {
		return
	}
	var all []paplatform.VM
	for _, h := range w.hosts {
		if h.dead && w.now.Sub(h.died) > listLag {
			continue
		}
		all = append(all, paplatform.VM{
			Name: string(h.Name), Kind: paplatform.Entry, Zone: string(h.Zone), State: paplatform.Live,
			CallerAddress: h.daemon.address, PeerAddress: h.daemon.address,
		})
	}
	d.tell(pacontrol.VMsListed{VMs: all})
	w.after(listEvery, d.list)
}

func (d *daemon) measure() {
	w := d.host.world
	if d.host.dead {
		return
	}
	busy := float64(d.taken) / (w.deployment.EntryRate * measureEvery.Seconds())
	d.taken = 0
	d.tell(pacontrol.CPUMeasured{Busy: min(1, busy)})
	w.after(measureEvery, d.measure)
}

// tell hands an event that concerns no request of its own to the control state.
func (d *daemon) tell(e pacontrol.Event) {
	if d.host.dead {
		return
	}
	d.host.step(func(into []paowner.Decision) []paowner.Decision { return d.apply(e, into) })
}

// apply takes one event, carries out what concerns other machines and returns the rest as decisions.
func (d *daemon) apply(e pacontrol.Event, into []paowner.Decision) []paowner.Decision {
	out := d.control.Step(d.host.world.now, e)
	if out.Snapshot != nil {
		d.members = out.Snapshot.Members
	}
	for _, x := range slices.Clone(out.Effects) {
		into = d.carryOut(x, into)
	}
	return into
}

func (d *daemon) carryOut(x pacontrol.Effect, into []paowner.Decision) []paowner.Decision {
	switch x := x.(type) {
	case pacontrol.Start:
		return append(into, paowner.Start{Request: x.Request, Target: x.Target, Attempt: x.Attempt})
	case pacontrol.Forward:
		d.credits[x.Request] = x.Credit
		return append(into, paowner.Forward{Request: x.Request, Entry: x.Entry, Region: x.Region, Attempt: x.Attempt})
	case pacontrol.Refuse:
		into = append(into, paowner.Refuse{Request: x.Request, RetryAfter: x.RetryAfter})
		return d.apply(pacontrol.RequestDone{Request: x.Request}, into)
	case pacontrol.Fail:
		into = append(into, paowner.Fail{Request: x.Request, Outcome: x.Outcome})
		return d.apply(pacontrol.RequestDone{Request: x.Request}, into)
	case pacontrol.Probe:
		return append(into, paowner.Probe{Target: x.Target})
	case pacontrol.FetchPiece:
		d.fetch(x)
	default:
		d.send(x)
	}
	return into
}

func (d *daemon) fetch(x pacontrol.FetchPiece) {
	w := d.host.world
	w.after(storeTime, func() {
		d.tell(pacontrol.PieceFetched{From: x.From, Digest: x.Digest, Data: w.pieces[x.Digest]})
	})
}

// send carries messages between entry VMs. While measurements are silent, facts and credits are lost.
func (d *daemon) send(x pacontrol.Effect) {
	w := d.host.world
	silent := w.now.Before(w.silentTill)
	switch x := x.(type) {
	case pacontrol.Send:
		m := x.Envelope.Message
		if silent {
			m.LoadReports = nil
		}
		d.to(x.Envelope.Address, func(o *daemon) { o.tell(pacontrol.MemberMessage{Message: m}) })
	case pacontrol.OfferHead:
		d.to(x.Address, func(o *daemon) {
			head := o.control.Head()
			o.tell(pacontrol.HeadOffered{Peer: d.host.Name, Head: x.Head})
			o.to(d.address, func(back *daemon) { back.tell(pacontrol.HeadOffered{Peer: o.host.Name, Head: head}) })
		})
	case pacontrol.Announce:
		d.to(x.Address, func(o *daemon) {
			o.answer(pacontrol.Announced{Announcement: x.Announcement}, d.address, func(e pacontrol.Effect) pacontrol.Event {
				if r, ok := e.(pacontrol.ReplyAnnounce); ok {
					return pacontrol.Announced(r)
				}
				return nil
			})
		})
	case pacontrol.AskCredit:
		if silent {
			return
		}
		d.to(x.Address, func(o *daemon) {
			o.answer(pacontrol.CreditAsked{Ask: x.Ask, Ahead: x.Ahead}, d.address, func(e pacontrol.Effect) pacontrol.Event {
				if r, ok := e.(pacontrol.ReplyGrant); ok {
					return pacontrol.CreditGranted(r)
				}
				return nil
			})
		})
	}
}

// answer takes a question and sends the reply among its effects back.
func (d *daemon) answer(question pacontrol.Event, to netip.AddrPort, reply func(pacontrol.Effect) pacontrol.Event) {
	d.host.step(func(into []paowner.Decision) []paowner.Decision {
		out := d.control.Step(d.host.world.now, question)
		for _, x := range slices.Clone(out.Effects) {
			if e := reply(x); e != nil {
				d.to(to, func(o *daemon) { o.deliver(e) })
				continue
			}
			into = d.carryOut(x, into)
		}
		return into
	})
}

// deliver takes a reply; an announcement that replies is not replied to again.
func (d *daemon) deliver(e pacontrol.Event) {
	d.host.step(func(into []paowner.Decision) []paowner.Decision {
		out := d.control.Step(d.host.world.now, e)
		for _, x := range slices.Clone(out.Effects) {
			if _, ok := x.(pacontrol.ReplyAnnounce); !ok {
				into = d.carryOut(x, into)
			}
		}
		return into
	})
}

// to runs f at the entry VM of an address when a message has got there.
func (d *daemon) to(a netip.AddrPort, f func(*daemon)) {
	w := d.host.world
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.daemon.address == a })
	if i < 0 {
		return
	}
	o := w.hosts[i]
	w.after(w.network(d.host.Zone, o.Zone, 0), func() {
		if !o.dead {
			f(o.daemon)
		}
	})
}

// Offer implements decider.
func (d *daemon) Offer(_ time.Time, r paowner.Request, into []paowner.Decision) []paowner.Decision {
	v := d.host.visits[r.ID]
	e := pacontrol.Offered{Request: r, Identity: fmt.Sprintf("%s-%d", d.host.Name, r.ID), Repeat: r.Attempt > 0}
	if v.from != nil {
		e.Origin, e.Credit = v.from.host.Name, v.credit
	} else {
		e.From = v.call.region
	}
	d.taken++
	return d.apply(e, into)
}

// Finish implements decider.
func (d *daemon) Finish(_ time.Time, id paowner.RequestID, r paowner.Result, into []paowner.Decision) []paowner.Decision {
	into = d.apply(pacontrol.Ended{Request: id, Result: r}, into)
	if r.Outcome == patarget.Answered || r.Outcome == patarget.Abandoned {
		into = d.apply(pacontrol.RequestDone{Request: id}, into)
	}
	return into
}

// Cancel implements decider.
func (d *daemon) Cancel(_ time.Time, id paowner.RequestID, into []paowner.Decision) []paowner.Decision {
	return d.apply(pacontrol.RequestDone{Request: id}, into)
}

// Tick implements decider.
func (d *daemon) Tick(_ time.Time, into []paowner.Decision) []paowner.Decision {
	return d.apply(pacontrol.Tick{}, into)
}

// budget is the line of the link to a region, at the rate that the region's agreement allows.
func (d *daemon) budget(r pabundle.RegionName) *palink.Budget {
	b := d.budgets[r]
	if b == nil {
		b = &palink.Budget{}
		d.budgets[r] = b
	}
	w := d.host.world
	n := palink.LinkShare{
		Capacity: w.links[direction{d.host.Region, r}].capacity, Reserve: w.deployment.Bundle.Policy.Reserve, Members: d.members,
	}
	b.SetRate(w.now, n.Rate())
	return b
}

// transmit sends bytes to another entry VM and calls then when all have arrived.
func (h *host) transmit(to *host, bytes int64, then func()) {
	w := h.world
	if h.daemon == nil || to.Region == h.Region {
		w.after(w.network(h.Zone, to.Zone, bytes), then)
		return
	}
	b := h.daemon.budget(to.Region)
	if bytes <= int64(palink.MaxShort) {
		if k := b.Reserve(w.now, palink.Short, palink.Bytes(bytes)); k.Decision != palink.Refuse {
			w.after(k.Wait, func() { w.after(w.network(h.Zone, to.Zone, bytes), then) })
			return
		}
	}
	chunk := min(bytes, int64(palink.MaxChunk))
	wait, ok := b.PaceChunk(w.now, palink.Bytes(chunk))
	if !ok {
		w.after(budgetRetry, func() { h.transmit(to, bytes, then) })
		return
	}
	w.after(wait, func() {
		d := w.network(h.Zone, to.Zone, chunk)
		if bytes == chunk {
			w.after(d, then)
			return
		}
		h.transmit(to, bytes-chunk, then)
	})
}
