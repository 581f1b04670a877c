package pasteer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
	"papayahead/paroute"
)

// Config is what a Balancer needs to know of its own place and of the platform's bounds.
type Config struct {
	Name   string
	Zone   string
	Region string
	// Regions tells the region of each availability zone.
	Regions map[string]string
	// RetryRatio, RetryWindow and RetryFloor bound further attempts, over all entry VMs: per window
	// and service at most RetryRatio x requests + RetryFloor.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryFloor  float64
	// MaxShift is the most of a region's requests that may change their region within two seconds; 0 is no limit.
	MaxShift float64
	// Off are the mechanisms that are switched off.
	Off Off
}

// Balancer is the state of the decisions of one entry VM.
type Balancer struct {
	Config Config

	targets  map[string]*target
	services map[string]*service
	splits   map[string]*paroute.Splitter
	runTimes map[string]*runTimes
	// lastTargets and shifts are the regions of objects, and how many requests changed theirs.
	lastTargets lastTargets
	shifts      rollingCounter
	// used are the services that this entry VM has sent requests to.
	used map[string]bool
	// warmTargets has the targets where an object is taken to be warm, by its key.
	warmTargets map[uint64][]*target
	// scratch and scratchUsable are kept between decisions, which then allocate nothing.
	scratch, scratchUsable []candidate
	// notes is what neighbours are told of warm objects.
	notes noteLog
	// startedAt is when the first view came.
	startedAt time.Time
	// entryCount is how many entry VMs share the retry budget, maxEntriesPerZone the most in one availability zone.
	entryCount, maxEntriesPerZone int
	// hash is that of the own name, mates are the other entry VMs of the region.
	hash        uint64
	regionPeers []regionPeer
	// coldShares has the zones whose cold targets this entry VM sends to.
	coldShares map[string]coldShare
}

// service is the targets of one service, in the order of their IDs.
type service struct {
	settings paroute.Service
	targets  []*target
	budget   rollingCounter
	// byDistance and regions are the targets by their distance and region, newcomers those that may never have got a request.
	byDistance [otherRegion + 1][]*target
	byRegion   map[string][]*target
	newTargets []newTarget
	rankings   rankingCache
	// excess is how far targets are behind, by region.
	excess map[string]*excessTime
	// rotation counts the requests without an object, from a number of this entry VM's own.
	rotation uint64
}

// target is what is known of one lifetime of a target.
type target struct {
	member pafleet.Member
	// hash is the ID's.
	hash   uint64
	region string
	// distance is 0 in the own availability zone, 1 in the own region, 2 elsewhere.
	distance int
	// excluded says that nothing more may be sent: it drains, or its availability zone is evacuated.
	excluded bool

	// joinedAt is when the target joined a service that was in use; zero for one that was there before.
	joinedAt time.Time
	// used says that this entry VM or a neighbour sent it a request.
	used     bool
	inFlight int
	// otherLoad is the load that requests of other entry VMs put on the target, as of othersAt.
	otherLoad   float64
	otherLoadAt time.Time
	// fullSince is since when no slot was free, as far as was seen; zero if one is.
	fullSince time.Time
	// failures counts failed requests in a row; downUntil is when the next one may be tried.
	failures     int
	backoffUntil time.Time
	// unresponsiveAt is when the target counts as silent unless it answers; zero while nothing waits.
	unresponsiveAt time.Time
	// nextTryAt is when a silent target may get the next request.
	nextTryAt time.Time
	// errorRate is the smoothed share of own requests that the target failed.
	errorRate float64
	// suspectColdUntil is the end of a cold time that this entry VM suspects.
	suspectColdUntil time.Time
	coldBucket       bucket
	warm             warmSet
}

// New returns a Balancer without targets.
func New(c Config) *Balancer {
	return &Balancer{
		Config: c, hash: xxhash.Sum64String(c.Name), targets: map[string]*target{}, services: map[string]*service{},
		splits: map[string]*paroute.Splitter{}, runTimes: map[string]*runTimes{}, used: map[string]bool{}, warmTargets: map[uint64][]*target{}, entryCount: 1, coldShares: map[string]coldShare{},
	}
}

// Update takes the view after a change. What is known of a target is kept as long as its lifetime lasts.
func (b *Balancer) Update(v *pafleet.View, now time.Time) {
	if v.Config == nil {
		return
	}
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	b.updateColdShares(v)
	b.entryCount = max(1, len(v.Entries))
	b.updateServices(v.Config)
	for id, t := range b.targets {
		if v.Targets[id] == nil {
			b.removeTarget(t)
		}
	}
	for id, m := range v.Targets {
		b.updateTarget(id, m, v, now)
	}
	for _, svc := range b.services {
		sortByID(svc.targets)
		b.groupTargets(svc)
	}
}

// updateServices takes the services of the configuration, without their targets.
func (b *Balancer) updateServices(c *paroute.Config) {
	for name := range b.services {
		if _, ok := c.Services[name]; !ok {
			delete(b.services, name)
		}
	}
	for name, settings := range c.Services {
		svc := b.services[name]
		if svc == nil {
			svc = &service{excess: map[string]*excessTime{}, rotation: b.hash % math.MaxUint32}
			b.services[name] = svc
		}
		svc.settings, svc.targets = settings, svc.targets[:0]
	}
}

// groupTargets sorts the targets by distance and region.
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

// removeTarget drops a lifetime of a target.
func (b *Balancer) removeTarget(t *target) {
	b.clearWarm(t)
	if svc := b.services[t.member.Service]; svc != nil {
		svc.rankings.remove(t)
	}
	delete(b.targets, t.member.ID)
}

func (b *Balancer) updateTarget(id string, m *pafleet.Member, v *pafleet.View, now time.Time) {
	t := b.targets[id]
	if t == nil || t.member.Born != m.Born || t.member.Address != m.Address || t.member.Service != m.Service || t.member.Zone != m.Zone {
		if t != nil {
			b.removeTarget(t)
		}
		t = b.addTarget(id, m, now)
	}
	wasCold := t.isCold(now)
	t.member = *m
	t.distance = b.distance(m.Zone, t.region)
	_, evacuated := v.Evacuated[m.Zone]
	t.excluded = m.Draining || evacuated
	if at, ok := v.Restored[m.Zone]; ok && now.Sub(at) < coldAfterEvacuation {
		// Targets may have turned cold while their availability zone was evacuated. Their own word
		// of it takes a heartbeat and a reading to arrive; a rush before that crashes them.
		t.suspectColdUntil = later(t.suspectColdUntil, at.Add(coldAfterEvacuation))
	}
	if svc := b.services[m.Service]; svc != nil {
		svc.targets = append(svc.targets, t)
		if !wasCold && t.isCold(now) {
			b.delayFirstCold(t, now)
		}
	}
}

// addTarget begins with a lifetime of a target.
func (b *Balancer) addTarget(id string, m *pafleet.Member, now time.Time) *target {
	t := &target{hash: xxhash.Sum64String(id), region: b.Config.Regions[m.Zone]}
	b.targets[id] = t
	if b.used[m.Service] {
		t.joinedAt = now
	}
	if svc := b.services[m.Service]; svc != nil {
		svc.rankings.add(t)
	}
	return t
}

// coldAfterEvacuation is how long targets count as cold after their evacuation ended: a heartbeat of
// 1.5 s and a reading of the store of 1 s.
const coldAfterEvacuation = 2500 * time.Millisecond

func (b *Balancer) distance(zone, region string) int {
	switch {
	case zone == b.Config.Zone:
		return sameZone
	case region == b.Config.Region:
		return sameRegion
	}
	return otherRegion
}

// The distances of a target.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
