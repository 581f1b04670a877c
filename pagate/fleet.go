package pagate

import "time"

const (
	// fleetMemory is how long an entry VM that is no longer registered counts: one that is cut off goes on with its part
	// of each rate limit, which the others must not take.
	fleetMemory = 10 * time.Minute
	// fleetSlots is the number of parts of that time.
	fleetSlots = 10
)

// fleetMost is the most entry VMs that were registered at once within fleetMemory. The zero value is ready.
type fleetMost struct {
	slots [fleetSlots]int
	slot  int64
}

// most notes a number of entry VMs and returns the most.
func (f *fleetMost) most(n int, now time.Duration) int {
	slot := int64(now / (fleetMemory / fleetSlots))
	for f.slot < slot {
		f.slot = max(f.slot+1, slot-fleetSlots)
		f.slots[f.slot%fleetSlots] = 0
	}
	f.slots[slot%fleetSlots] = max(f.slots[slot%fleetSlots], n)
	most := 0
	for _, s := range f.slots {
		most = max(most, s)
	}
	return most
}
