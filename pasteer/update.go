package pasteer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
	"papayahead/paroute"
)

// Update applies a changed view of the fleet. The state of a target is kept until it restarts or is removed.
func (b *Balancer) Update(v *pafleet.View, now time.Time) {
	if v.Config == nil {
		return
	}
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	b.updateColdShares(v)
	b.updateEntries(v)
	b.entryCount = max(1, len(v.Entries), b.sharers)
	b.updateServices(v.Config)
	for id, t := range b.targets {
		if v.Targets[id] == nil {
			b.removeTarget(t)
		}
	}
	for id, m := range v.Targets {
		b.updateTarget(id, m, v, now)
	}
	b.expireDrainings()
	for _, svc := range b.services {
		sortByID(svc.targets)
		b.groupTargets(svc)
		b.divideLimits(svc, now)
	}
	b.updateUrgencies(v.Config)
	b.reconsiderAll(now)
}

// Leave records that this entry VM shuts down. It uses nothing more of what entry VMs divide by their registrations, since the others
// divide it without this one from now on; what it has in progress and what it earned itself it may use to the end.
func (b *Balancer) Leave() { b.leaving = true }

// SetSharers sets the number of entry VMs that count as sharing with this one, those that left a moment ago included.
func (b *Balancer) SetSharers(n int) {
	b.sharers = n
	b.entryCount = max(1, n)
}

// updateServices applies the services of the configuration and empties their lists of targets.
func (b *Balancer) updateServices(c *paroute.Config) {
	for name := range b.services {
		if _, ok := c.Services[name]; !ok {
			delete(b.services, name)
		}
	}
	for name, settings := range c.Services {
		svc := b.services[name]
		if svc == nil {
			svc = &service{name: name, excess: map[string]*excessTime{}, rotation: b.hash % math.MaxUint32}
			b.services[name] = svc
		}
		svc.settings, svc.targets = settings, svc.targets[:0]
		b.updateLoads(svc)
	}
}

// groupTargets groups the service's targets by distance and region and finds those that are new.
func (b *Balancer) groupTargets(svc *service) {
	svc.byDistance, svc.byRegion, svc.newTargets = [otherRegion + 1][]*target{}, map[string][]*target{}, nil
	for _, t := range svc.targets {
		svc.byDistance[t.distance] = append(svc.byDistance[t.distance], t)
		svc.byRegion[t.region] = append(svc.byRegion[t.region], t)
		if !t.joinedAt.IsZero() && !t.used && t.distance < otherRegion {
			svc.newTargets = append(svc.newTargets, b.newTargetOf(t))
		}
	}
}

// removeTarget drops the state of a target that restarted or is gone.
func (b *Balancer) removeTarget(t *target) {
	b.clearWarm(t)
	if svc := b.services[t.state.Service]; svc != nil {
		svc.rankings.remove(t)
	}
	delete(b.targets, t.state.ID)
	b.removeLoad(t)
}

// updateTarget applies what the view says of a target.
func (b *Balancer) updateTarget(id string, m *pafleet.TargetState, v *pafleet.View, now time.Time) {
	t := b.targets[id]
	if t == nil || t.state.Born != m.Born || t.state.Address != m.Address || t.state.Service != m.Service ||
		t.state.Zone != m.Zone {
		if t != nil {
			b.removeTarget(t)
		}
		t = b.addTarget(id, m, now)
	}
	wasCold := t.isCold(now)
	t.state, t.service = *m, b.services[m.Service]
	t.distance = b.distance(m.Zone, t.region)
	_, evacuated := v.Evacuated[m.Zone]
	t.excluded = m.Draining || evacuated || b.saysDraining(id, m.Born)
	if at, ok := v.RestoredAt[m.Zone]; ok && now.Sub(at) < coldAfterEvacuation {
		// Targets may have turned cold while their availability zone was evacuated. Their own report of that takes
		// a heartbeat and a read of the store to arrive, and full traffic before then crashes them.
		t.evacuatedColdUntil = later(t.evacuatedColdUntil, at.Add(coldAfterEvacuation))
	}
	if svc := b.services[m.Service]; svc != nil {
		svc.targets = append(svc.targets, t)
		if !wasCold && t.isCold(now) {
			b.delayFirstCold(t, now)
		}
	}
}

// addTarget creates the state of a target that is new or restarted.
func (b *Balancer) addTarget(id string, m *pafleet.TargetState, now time.Time) *target {
	t := &target{hash: xxhash.Sum64String(id), region: b.Config.Regions[m.Zone], pushback: b.pushbacks[lifetime{id, m.Born}]}
	b.targets[id] = t
	b.addLoad(t, id, m.Born)
	if b.used[m.Service] {
		t.joinedAt = now
	}
	if svc := b.services[m.Service]; svc != nil {
		svc.rankings.add(t)
	}
	return t
}

// coldAfterEvacuation is how long targets count as cold after the end of an evacuation: a heartbeat takes 1.5 s and a
// read of the store 1 s.
const coldAfterEvacuation = 2500 * time.Millisecond
