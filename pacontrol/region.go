package pacontrol

import (
	"time"

	"papayahead/pabundle"
	"papayahead/pashift"
)

// observeRegions passes the load of each service in each region to the shift limiter. This region's load
// comes from its owners' load reports. Of another region only the liveness of its entry VMs is known; its free
// capacity is inferred from the credits that it grants.
func (k *Control) observeRegions(now time.Time) {
	alive := map[pabundle.RegionName]int{}
	for _, m := range k.view.Members {
		if m.Live() {
			alive[m.Region]++
		}
	}
	for i, s := range k.bundle.Services {
		for _, r := range k.bundle.Regions {
			if r.Name == k.config.Self.Region {
				k.limiter.Observe(now, s.Name, r.Name, k.ownReading(now, i, s.Name))
				continue
			}
			reading := pashift.Reading{At: now, Down: alive[r.Name] == 0 || !k.index.hasTargets(s.Name, r.Name), Load: 0.5}
			if k.grantsNothing(now, s.Name, r.Name) {
				reading.Load = 1
			}
			k.limiter.Observe(now, s.Name, r.Name, reading)
			k.limiter.SetDemand(s.Name, r.Name, k.foreignDemand(s, r.Name, alive))
		}
	}
}

const (
	// loadSmoothing is the weight of one reading in this region's load; with five readings a second it
	// averages over about five seconds. The few slots of a small owner are at times all taken at half load:
	// with a larger weight shares move on noise, with a smaller one a full region sheds late.
	loadSmoothing = 0.04
	// unknownLoad is assumed while no load is known: the region neither sheds nor takes traffic.
	unknownLoad = 0.8
	// grantWindow is how long after an ask without a grant a region counts as having no free capacity.
	grantWindow = 3 * time.Second
)

// ownReading adds up the load of the region's owners, this one from its own state. If no slots are known
// and an owner's load report is missing, the load is unknown instead of the region being down: otherwise an
// entry VM that owns no target of a service would refuse all of its callers for seconds after its start.
func (k *Control) ownReading(now time.Time, n int, s pabundle.ServiceName) pashift.Reading {
	slots, busy := k.owner.Slots(now, s), k.owner.InFlight(s)+k.owner.Waiting(s)
	unheard := false
	for _, m := range k.view.Members {
		f := m.Load
		if m.Name == k.config.Self.Name || m.Region != k.config.Self.Region || !m.Live() {
			continue
		}
		if f.Sequence != k.head.Sequence || n >= len(f.Slots) || n >= len(f.Free) || n >= len(f.Waiting) {
			unheard = true
			continue
		}
		slots += int(f.Slots[n])
		busy += int(f.Slots[n]) - int(f.Free[n]) + int(f.Waiting[n])
	}
	switch {
	case slots == 0 && unheard:
		return pashift.Reading{At: now, Load: unknownLoad}
	case slots == 0:
		return pashift.Reading{At: now, Down: true}
	}
	load, known := k.loads[s]
	if !known {
		load = unknownLoad
	}
	load += loadSmoothing * (float64(busy)/float64(slots) - load)
	k.loads[s] = load
	return pashift.Reading{At: now, Load: load}
}

// foreignDemand is this entry VM's part of the most requests a second that another region's callers can
// send, by the slots there. When that region fails and its callers arrive here, the cap on its share
// bounds nothing without a demand that the share refers to.
func (k *Control) foreignDemand(s pabundle.Service, r pabundle.RegionName, alive map[pabundle.RegionName]int) float64 {
	others := 0
	for name, n := range alive {
		if name != r {
			others += n
		}
	}
	slots := 0
	for _, t := range s.Targets {
		if k.index.regions[t.Zone] == r {
			slots += k.index.slots[t.Name]
		}
	}
	return float64(slots) / s.TypicalRun.Seconds() / float64(max(1, others))
}

// grantsNothing reports whether a region granted no credits within grantWindow although requests waited.
func (k *Control) grantsNothing(now time.Time, s pabundle.ServiceName, r pabundle.RegionName) bool {
	asked := false
	for _, m := range k.view.Members {
		key := creditKey{m.Name, s}
		at, ok := k.neededAt[key]
		if m.Region != r || !m.Live() || !ok || now.Sub(at) > grantWindow {
			continue
		}
		if now.Sub(k.grantedAt[key]) < grantWindow {
			return false
		}
		asked = true
	}
	return asked
}
