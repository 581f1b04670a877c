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
	work     map[string]*workTime
	// places and shifts are the regions of objects, and how many requests changed theirs.
	places places
	shifts window
	// used are the services that this entry VM has sent requests to.
	used map[string]bool
	// warmAt has the targets where an object is taken to be warm, by its key.
	warmAt map[uint64][]*target
	// scratch and scratchUsable are kept between decisions, which then allocate nothing.
	scratch, scratchUsable []candidate
	// notes is what neighbours are told of warm objects.
	notes noteLog
	// startedAt is when the first view came.
	startedAt time.Time
	// entries is how many entry VMs share the retry budget, mostPerZone the most in one availability zone.
	entries, mostPerZone int
	// hash is that of the own name, mates are the other entry VMs of the region.
	hash  uint64
	mates []mate
	// feeders has the zones whose cold targets this entry VM sends to.
	feeders map[string]feeder
}

// service is the targets of one service, in the order of their IDs.
type service struct {
	settings paroute.Service
	targets  []*target
	budget   window
	// near and regions are the targets by their distance and region, newcomers those that may never have got a request.
	near      [nearNone + 1][]*target
	regions   map[string][]*target
	newcomers []newcomer
	ranks     ranks
	// press is how far targets are behind, by region.
	press map[string]*press
	// turn counts the requests without an object, from a number of this entry VM's own.
	turn uint64
}

// target is what is known of one lifetime of a target.
type target struct {
	member pafleet.TargetState
	// hash is the ID's.
	hash   uint64
	region string
	// near is 0 in the own availability zone, 1 in the own region, 2 elsewhere.
	near int
	// closed says that nothing more may be sent: it drains, or its availability zone is evacuated.
	closed bool

	// joinedAt is when the target joined a service that was in use; zero for one that was there before.
	joinedAt time.Time
	// used says that this entry VM or a neighbour sent it a request.
	used     bool
	inFlight int
	// others is the load that requests of other entry VMs put on the target, as of othersAt.
	others   float64
	othersAt time.Time
	// fullSince is since when no slot was free, as far as was seen; zero if one is.
	fullSince time.Time
	// failures counts failed requests in a row; downUntil is when the next one may be tried.
	failures  int
	downUntil time.Time
	// silentAt is when the target counts as silent unless it answers; zero while nothing waits.
	silentAt time.Time
	// tryAt is when a silent target may get the next request.
	tryAt time.Time
	// errors is the smoothed share of own requests that the target failed.
	errors float64
	// coldUntil is the end of a cold time that this entry VM suspects.
	coldUntil time.Time
	cold      bucket
	warm      warmSet
}

// New returns a Balancer without targets.
func New(c Config) *Balancer {
	return &Balancer{
		Config: c, hash: xxhash.Sum64String(c.Name), targets: map[string]*target{}, services: map[string]*service{},
		splits: map[string]*paroute.Splitter{}, work: map[string]*workTime{}, used: map[string]bool{}, warmAt: map[uint64][]*target{}, entries: 1, feeders: map[string]feeder{},
	}
}

// Update takes the view after a change. What is known of a target is kept as long as its lifetime lasts.
func (s *Balancer) Update(v *pafleet.View, now time.Time) {
	if v.Config == nil {
		return
	}
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.feed(v)
	s.entries = max(1, len(v.Entries))
	s.updateServices(v.Config)
	for id, t := range s.targets {
		if v.Targets[id] == nil {
			s.remove(t)
		}
	}
	for id, m := range v.Targets {
		s.updateTarget(id, m, v, now)
	}
	for _, g := range s.services {
		sortTargets(g.targets)
		s.sortOut(g)
	}
}

// updateServices takes the services of the configuration, without their targets.
func (s *Balancer) updateServices(c *paroute.Config) {
	for name := range s.services {
		if _, ok := c.Services[name]; !ok {
			delete(s.services, name)
		}
	}
	for name, settings := range c.Services {
		g := s.services[name]
		if g == nil {
			g = &service{press: map[string]*press{}, turn: s.hash % math.MaxUint32}
			s.services[name] = g
		}
		g.settings, g.targets = settings, g.targets[:0]
	}
}

// sortOut sorts the targets by distance and region.
func (s *Balancer) sortOut(g *service) {
	g.near, g.regions, g.newcomers = [nearNone + 1][]*target{}, map[string][]*target{}, nil
	for _, t := range g.targets {
		g.near[t.near] = append(g.near[t.near], t)
		g.regions[t.region] = append(g.regions[t.region], t)
		if !t.joinedAt.IsZero() && !t.used && t.near < nearNone {
			g.newcomers = append(g.newcomers, s.newcomerOf(t))
		}
	}
}

// remove drops a lifetime of a target.
func (s *Balancer) remove(t *target) {
	s.forget(t)
	if g := s.services[t.member.Service]; g != nil {
		g.ranks.leave(t)
	}
	delete(s.targets, t.member.ID)
}

func (s *Balancer) updateTarget(id string, m *pafleet.TargetState, v *pafleet.View, now time.Time) {
	t := s.targets[id]
	if t == nil || t.member.Born != m.Born || t.member.Address != m.Address || t.member.Service != m.Service || t.member.Zone != m.Zone {
		if t != nil {
			s.remove(t)
		}
		t = s.add(id, m, now)
	}
	wasCold := t.isCold(now)
	t.member = *m
	t.near = s.distance(m.Zone, t.region)
	_, evacuated := v.Evacuated[m.Zone]
	t.closed = m.Draining || evacuated
	if at, ok := v.RestoredAt[m.Zone]; ok && now.Sub(at) < evacuationCold {
		// Targets may have turned cold while their availability zone was evacuated. Their own word
		// of it takes a heartbeat and a reading to arrive; a rush before that crashes them.
		t.coldUntil = later(t.coldUntil, at.Add(evacuationCold))
	}
	if g := s.services[m.Service]; g != nil {
		g.targets = append(g.targets, t)
		if !wasCold && t.isCold(now) {
			s.beginCold(t, now)
		}
	}
}

// add begins with a lifetime of a target.
func (s *Balancer) add(id string, m *pafleet.TargetState, now time.Time) *target {
	t := &target{hash: xxhash.Sum64String(id), region: s.Config.Regions[m.Zone]}
	s.targets[id] = t
	if s.used[m.Service] {
		t.joinedAt = now
	}
	if g := s.services[m.Service]; g != nil {
		g.ranks.join(t)
	}
	return t
}

// evacuationCold is how long targets count as cold after their evacuation ended: a heartbeat of
// 1.5 s and a reading of the store of 1 s.
const evacuationCold = 2500 * time.Millisecond

func (s *Balancer) distance(zone, region string) int {
	switch {
	case zone == s.Config.Zone:
		return nearZone
	case region == s.Config.Region:
		return nearRegion
	}
	return nearNone
}

// The distances of a target.
const (
	nearZone = iota
	nearRegion
	nearNone
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
