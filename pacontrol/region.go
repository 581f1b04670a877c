package pacontrol

import (
	"time"

	"papayahead/pabundle"
	"papayahead/pashift"
)

// observeRegions tells the shifts what is known of each service in each region. The own region's
// load comes from its owners' facts; of another region only its entry VMs' life is known here, and
// what it can take shows in the credits that it grants.
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
	// loadSmoothing is the weight of one reading in the own region's load, of which five come a second:
	// about five seconds. Load: small owners, whose few slots are all taken for a moment at half load.
	// Harm of more: shares move on noise; of less: a region that is full sheds late.
	loadSmoothing = 0.04
	// unknownLoad stands for a load that nobody has told yet: it neither sheds nor takes.
	unknownLoad = 0.8
	// askedLately is how long an ask without a grant says that a region has nothing to give.
	grantWindow = 3 * time.Second
)

// ownReading adds up the region's owners, this one by its own word. An owner that has not told its
// facts yet makes the region's load unknown, and not its targets gone: else an entry VM that owns no
// target of a service would refuse all of its callers for the first seconds after its start.
func (k *Control) ownReading(now time.Time, n int, s pabundle.ServiceName) pashift.Reading {
	slots, busy := k.owner.Slots(now, s), k.owner.InFlight(s)+k.owner.Waiting(s)
	unheard := false
	for _, m := range k.view.Members {
		f := m.Facts
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

// foreignDemand is this entry VM's part of what another region's callers can ask for at most, by the
// slots there. Load: a region dies and its callers arrive here. Harm prevented: the cap on its
// share would bound nothing without a number of requests that the share is of.
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

// starved says that a region granted nothing lately although requests waited for it.
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
