package pacredit

import (
	"math"
	"time"

	"papayahead/pabundle"
)

// LocalFreeSlots returns how many more local requests may start without using slots of outstanding credits.
func (g *Granter) LocalFreeSlots(name pabundle.ServiceName) int {
	v := g.services[name]
	if v == nil {
		return 0
	}
	return max(0, v.Slots-v.Local-v.running-v.outstanding)
}

// Outstanding returns how many credits of a service are issued and neither spent nor expired.
func (g *Granter) Outstanding(name pabundle.ServiceName) int {
	if v := g.services[name]; v != nil {
		return v.outstanding
	}
	return 0
}

// Running returns how many remote requests of a service run.
func (g *Granter) Running(name pabundle.ServiceName) int {
	if v := g.services[name]; v != nil {
		return v.running
	}
	return 0
}

// free returns the slots left to grant: all slots less remote requests, outstanding credits, and the
// larger of the local requests (running or waiting) and the slots reserved for them. It may be negative.
func (v *serviceAccount) free() int {
	reserved := int(math.Ceil(float64(v.Slots) * localShare))
	return v.Slots - max(v.Local+v.Waiting, reserved) - v.running - v.outstanding
}

// Held returns how many credits of a granter can be spent on a service at now. It returns 0 if the
// clock was set back since the last Tick.
func (h *Holder) Held(now time.Time, granter pabundle.EntryName, name pabundle.ServiceName) int {
	o := h.granters[granter]
	if o == nil || now.Before(h.lastTick) {
		return 0
	}
	n := 0
	for _, b := range o.batches {
		if b.service == name && now.Before(b.expires) {
			n += b.count - b.next
		}
	}
	return n
}

func compare(a, b pabundle.ServiceName) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
