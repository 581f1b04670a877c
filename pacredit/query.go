package pacredit

import (
	"math"
	"time"

	"papayahead/pabundle"
)

// LocalFreeSlots returns how many more local requests may start without breaking a promise that is out.
func (g *Granter) LocalFreeSlots(name pabundle.ServiceName) int {
	v := g.services[name]
	if v == nil {
		return 0
	}
	return max(0, v.Slots-v.Local-v.running-v.outstanding)
}

// Outstanding returns the credits that are out for a service, Running the remote work that runs.
func (g *Granter) Outstanding(name pabundle.ServiceName) int {
	if v := g.services[name]; v != nil {
		return v.outstanding
	}
	return 0
}

// Running returns the remote work of a service that runs.
func (g *Granter) Running(name pabundle.ServiceName) int {
	if v := g.services[name]; v != nil {
		return v.running
	}
	return 0
}

// free is what may still be granted: the slots without what local work uses, waits for or keeps.
func (v *service) free() int {
	keep := int(math.Ceil(float64(v.Slots) * localPart))
	return v.Slots - max(v.Local+v.Waiting, keep) - v.running - v.outstanding
}

// Held returns how many credits of a granter can be spent on a service at now.
func (h *Holder) Held(now time.Time, granter pabundle.EntryName, name pabundle.ServiceName) int {
	o := h.granters[granter]
	if o == nil || now.Before(h.last) {
		return 0
	}
	n := 0
	for _, l := range o.lots {
		if l.service == name && now.Before(l.until) {
			n += l.count - l.next
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
