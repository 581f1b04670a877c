package pacredit

import (
	"slices"
	"time"

	"papayahead/pabundle"
)

// Holder keeps the credits of one source. Set Self before use; it is used by one goroutine, and
// Tick is called several times a second.
type Holder struct {
	// Self is this entry VM and its start.
	Self Identity

	sequence uint64
	granters map[pabundle.EntryName]*granted
	last     time.Time
}

// granted is what a holder has from one granter.
type granted struct {
	incarnation uint64
	pending     []pending
	lots        []*heldLot
}

// pending is an Ask without an answer.
type pending struct {
	sequence uint64
	at       time.Time
}

type heldLot struct {
	sequence    uint64
	service     pabundle.ServiceName
	next, count int
	until       time.Time
}

// Ask returns the message that asks a granter for credits; it can be sent more than once.
func (h *Holder) Ask(now time.Time, granter pabundle.EntryName, items []Item) Ask {
	h.Tick(now)
	o := h.granter(granter)
	h.sequence++
	o.pending = append(o.pending, pending{h.sequence, now})
	if len(o.pending) > maxPending {
		o.pending = o.pending[1:]
	}
	return Ask{Source: h.Self, Sequence: h.sequence, Items: items}
}

// Accept takes a grant and says whether any of it can be spent. Grants that were not asked for,
// came twice, belong to an earlier start of either end or are past their term are dropped.
func (h *Holder) Accept(now time.Time, g Grant) bool {
	h.Tick(now)
	o := h.granters[g.Granter.Name]
	if o == nil || g.Source != h.Self || g.Granter.Incarnation < o.incarnation {
		return false
	}
	i := slices.IndexFunc(o.pending, func(p pending) bool { return p.sequence == g.Sequence })
	if i < 0 {
		return false
	}
	asked := o.pending[i].at
	o.pending = slices.Delete(o.pending, i, i+1)
	if g.Granter.Incarnation > o.incarnation {
		o.incarnation, o.lots = g.Granter.Incarnation, nil
	}
	// The term counts from the asking: when the grant was made is not known here, but it was later.
	until := asked.Add(min(g.Term, Term))
	if !now.Before(until) {
		return false
	}
	for _, x := range g.Items[:min(len(g.Items), maxItems)] {
		if x.Count > 0 && x.Count <= maxLot {
			o.lots = append(o.lots, &heldLot{sequence: g.Sequence, service: x.Service, count: x.Count, until: until})
		}
	}
	return len(g.Items) > 0
}

// Spend takes one credit; the one that expires first goes first. It returns false if there is none.
func (h *Holder) Spend(now time.Time, granter pabundle.EntryName, name pabundle.ServiceName) (CreditRef, bool) {
	h.Tick(now)
	o := h.granters[granter]
	if o == nil {
		return CreditRef{}, false
	}
	for _, l := range o.lots {
		if l.service == name && l.next < l.count && now.Before(l.until) {
			r := CreditRef{Source: h.Self, Granter: o.incarnation, Sequence: l.sequence, Service: name, Index: l.next}
			l.next++
			return r, true
		}
	}
	return CreditRef{}, false
}

// Tick drops what has expired. A frozen source needs no more than that: its clock went on, so its
// credits are past their term when it goes on.
//
// Guards against a clock that is set back: it shows as credits that are spent after their owner has
// given the slots to others. The guard holds because the step is seen before the next use.
func (h *Holder) Tick(now time.Time) {
	if now.Before(h.last) {
		h.VoidAll()
	}
	h.last = now
	for _, o := range h.granters {
		o.lots = slices.DeleteFunc(o.lots, func(l *heldLot) bool { return l.next >= l.count || !now.Before(l.until) })
		o.pending = slices.DeleteFunc(o.pending, func(p pending) bool { return now.Sub(p.at) >= Term })
	}
}

// Void drops all credits of a granter, and the answers that are still on their way: after a cut, or
// when the granter called one void.
func (h *Holder) Void(granter pabundle.EntryName) {
	if o := h.granters[granter]; o != nil {
		o.lots, o.pending = nil, nil
	}
}

// VoidAll drops all credits.
func (h *Holder) VoidAll() {
	for n := range h.granters {
		h.Void(n)
	}
}

func (h *Holder) granter(n pabundle.EntryName) *granted {
	if h.granters == nil {
		h.granters = make(map[pabundle.EntryName]*granted)
	}
	o := h.granters[n]
	if o == nil {
		o = &granted{}
		h.granters[n] = o
	}
	return o
}
