package pacontrol

import (
	"papayahead/pabundle"
)

// index looks up the parts of a bundle by name.
type index struct {
	regions  map[pabundle.ZoneName]pabundle.RegionName
	services map[pabundle.ServiceName]int
	targets  map[pabundle.TargetName]pabundle.Target
	// serviceRegions are the regions that have targets of a service.
	serviceRegions map[pabundle.ServiceName]map[pabundle.RegionName]bool
	// slots are the targets' slots, reduced to their region's MaxInFlight.
	slots map[pabundle.TargetName]int
}

func newIndex(b *pabundle.Bundle) index {
	x := index{
		regions:        map[pabundle.ZoneName]pabundle.RegionName{},
		services:       map[pabundle.ServiceName]int{},
		targets:        map[pabundle.TargetName]pabundle.Target{},
		slots:          map[pabundle.TargetName]int{},
		serviceRegions: map[pabundle.ServiceName]map[pabundle.RegionName]bool{},
	}
	for _, r := range b.Regions {
		for _, z := range r.Zones {
			x.regions[z] = r.Name
		}
	}
	for i, s := range b.Services {
		x.services[s.Name] = i
		x.serviceRegions[s.Name] = map[pabundle.RegionName]bool{}
		for _, t := range s.Targets {
			x.targets[t.Name] = t
			x.serviceRegions[s.Name][x.regions[t.Zone]] = true
		}
	}
	for _, r := range b.Regions {
		x.limitRegion(b, r)
	}
	return x
}

// limitRegion divides a region's MaxInFlight over its targets in proportion to their slots.
//
// The targets of a region may have more slots together than the region can carry, for example because
// they share power or a database; owners that each respect their targets' slots would then overload it.
// Each target has one owner and its part depends on the bundle alone, so the parts add up to the limit
// without coordination between owners.
func (x *index) limitRegion(b *pabundle.Bundle, r pabundle.Region) {
	var names []pabundle.TargetName
	total := 0
	for _, s := range b.Services {
		for _, t := range s.Targets {
			if x.regions[t.Zone] == r.Name {
				names = append(names, t.Name)
				total += t.Slots
			}
		}
	}
	given, passed := 0, 0
	for _, n := range names {
		slots := x.targets[n].Slots
		passed += slots
		upTo := passed
		if r.MaxInFlight < total {
			upTo = passed * r.MaxInFlight / total
		}
		x.slots[n] = upTo - given
		given = upTo
	}
}

// hasTargets reports whether a service has targets in a region.
func (x *index) hasTargets(s pabundle.ServiceName, r pabundle.RegionName) bool {
	return x.serviceRegions[s][r]
}

// regionOf returns a zone's region, empty if unknown.
func (k *Control) regionOf(z pabundle.ZoneName) pabundle.RegionName {
	if z == k.config.Self.Zone {
		return k.config.Self.Region
	}
	return k.index.regions[z]
}
