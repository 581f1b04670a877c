package pacredit

import (
	"slices"
	"time"

	"papayahead/pabundle"
)

// Holder keeps the credits of one source. Set Self before use and call Tick several times a second.
// It is not safe for concurrent use.
type Holder struct {
	// Self identifies this process.
	Self Identity

	sequence uint64
	granters map[pabundle.EntryName]*granterState
	lastTick time.Time
}

// granterState is a holder's state for one granter.
type granterState struct {
	incarnation uint64
	pending     []pendingAsk
	batches     []*heldBatch
}

// pendingAsk is an Ask that has not been answered.
type pendingAsk struct {
	sequence uint64
	sent     time.Time
}

// heldBatch is the unspent credits for one service from one grant; next is the index of the first.
type heldBatch struct {
	sequence    uint64
	service     pabundle.ServiceName
	next, count int
	expires     time.Time
}

// Ask returns a new request for credits to send to a granter. Sending it more than once is safe.
func (h *Holder) Ask(now time.Time, granter pabundle.EntryName, items []Item) Ask {
	h.Tick(now)
	o := h.granter(granter)
	h.sequence++
	o.pending = append(o.pending, pendingAsk{h.sequence, now})
	if len(o.pending) > maxPending {
		o.pending = o.pending[1:]
	}
	return Ask{Source: h.Self, Sequence: h.sequence, Items: items}
}

// Accept adds the credits of a grant and reports whether the grant was valid and not empty. It ignores
// grants that are unsolicited, duplicated, expired or of an earlier incarnation of either end.
func (h *Holder) Accept(now time.Time, g Grant) bool {
	h.Tick(now)
	o := h.granters[g.Granter.Name]
	if o == nil || g.Source != h.Self || g.Granter.Incarnation < o.incarnation {
		return false
	}
	i := slices.IndexFunc(o.pending, func(p pendingAsk) bool { return p.sequence == g.Sequence })
	if i < 0 {
		return false
	}
	asked := o.pending[i].sent
	o.pending = slices.Delete(o.pending, i, i+1)
	if g.Granter.Incarnation > o.incarnation {
		o.incarnation, o.batches = g.Granter.Incarnation, nil
	}
	// The term counts from when the Ask was sent: the time of the grant is not known here, but was later.
	until := asked.Add(min(g.Term, Term))
	if !now.Before(until) {
		return false
	}
	for _, x := range g.Items[:min(len(g.Items), maxItems)] {
		if x.Count > 0 && x.Count <= maxBatch {
			o.batches = append(o.batches, &heldBatch{sequence: g.Sequence, service: x.Service, count: x.Count, expires: until})
		}
	}
	return len(g.Items) > 0
}

// Spend removes and returns one credit of a granter for a service, the earliest accepted first. It
// returns false if none is left.
func (h *Holder) Spend(now time.Time, granter pabundle.EntryName, name pabundle.ServiceName) (CreditRef, bool) {
	h.Tick(now)
	o := h.granters[granter]
	if o == nil {
		return CreditRef{}, false
	}
	for _, b := range o.batches {
		if b.service == name && b.next < b.count && now.Before(b.expires) {
			r := CreditRef{Source: h.Self, Granter: o.incarnation, Sequence: b.sequence, Service: name, Index: b.next}
			b.next++
			return r, true
		}
	}
	return CreditRef{}, false
}

// Tick removes expired credits and unanswered asks. A process that was frozen for longer than a term
// finds its credits expired, because the clock went on.
//
// If the clock was set back, Tick voids all credits: they would otherwise be spent after their owner
// has given the slots to others. Every use of a credit calls Tick first, so the step is noticed in time.
func (h *Holder) Tick(now time.Time) {
	if now.Before(h.lastTick) {
		h.VoidAll()
	}
	h.lastTick = now
	for _, o := range h.granters {
		o.batches = slices.DeleteFunc(o.batches, func(b *heldBatch) bool { return b.next >= b.count || !now.Before(b.expires) })
		o.pending = slices.DeleteFunc(o.pending, func(p pendingAsk) bool { return now.Sub(p.sent) >= Term })
	}
}

// Void removes all credits of a granter and ignores grants still in transit. Call it after a network
// partition, or when the granter answered a credit with Void.
func (h *Holder) Void(granter pabundle.EntryName) {
	if o := h.granters[granter]; o != nil {
		o.batches, o.pending = nil, nil
	}
}

// VoidAll removes the credits of all granters.
func (h *Holder) VoidAll() {
	for n := range h.granters {
		h.Void(n)
	}
}

func (h *Holder) granter(n pabundle.EntryName) *granterState {
	if h.granters == nil {
		h.granters = make(map[pabundle.EntryName]*granterState)
	}
	o := h.granters[n]
	if o == nil {
		o = &granterState{}
		h.granters[n] = o
	}
	return o
}
