package pasteer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
)

// bucket is a token bucket of one request.
//
// Load: a target that came back cold while its share of traffic waits. Harm prevented: it crashes at
// a rate well above what it bears. The burst of one keeps the sum over all entry VMs that feed the
// target within what the platform tolerates in one second.
type bucket struct {
	full time.Time
}

// take takes a token that comes back at the rate, and says whether there was one.
func (b *bucket) take(now time.Time, rate float64) bool {
	if now.Before(b.full) || rate <= 0 {
		return false
	}
	b.full = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// isCold says whether the target may take only what a cold one bears.
func (t *target) isCold(now time.Time) bool {
	return now.Before(t.member.ColdUntil) || now.Before(t.coldUntil)
}

// feeder is the share of an entry VM in what the cold targets of an availability zone may get: it is one of
// n that send to them, in an order that all agree on.
type feeder struct{ rank, n int }

const (
	// feedersMost is how many entry VMs of other zones send to the cold targets of a zone without any.
	feedersMost = 3
	// settleTime is how long after its start an entry VM may know only some of the others that start with it:
	// a registration, and a reading of the store by a neighbour that is asked for it.
	settleTime = 2 * time.Second
)

// feed computes for each availability zone whether this entry VM sends to its cold targets.
//
// Load: a region comes back from a loss of power, and all of its targets are cold while its traffic waits.
// Harm prevented: entry VMs that start with it and do not know of each other yet, and all those elsewhere that
// took its traffic over, each send a request at once, several times what a cold target bears. So a zone has few
// feeders; each waits its turn; and one that has just started sends only to targets of its own zone, and counts
// as many in it as the largest other zone has.
func (s *Balancer) feed(v *pafleet.View) {
	zones, regions := map[string][]string{}, map[string][]string{}
	var all []string
	s.mates = s.mates[:0]
	for name, e := range v.Entries {
		if name == s.Config.Name {
			continue
		}
		if e.Region == s.Config.Region {
			s.mates = append(s.mates, mate{e.Zone, xxhash.Sum64String(name)})
		}
		zones[e.Zone] = append(zones[e.Zone], name)
		regions[e.Region] = append(regions[e.Region], name)
		all = append(all, name)
	}
	s.mostPerZone = 1
	for _, names := range zones {
		s.mostPerZone = max(s.mostPerZone, len(names))
	}
	s.feeders = map[string]feeder{}
	for zone, region := range s.Config.Regions {
		names := zones[zone]
		switch {
		case zone == s.Config.Zone:
		case len(names) > 0:
			continue
		case region == s.Config.Region:
			names = regions[region]
		case len(regions[region]) == 0:
			names = all
		default:
			continue
		}
		f := feeder{n: len(names) + 1}
		own := hashOf(zone, s.Config.Name)
		for _, name := range names {
			if hashOf(zone, name) > own {
				f.rank++
			}
		}
		if zone != s.Config.Zone {
			f.n = min(f.n, feedersMost)
		}
		if f.rank < f.n {
			s.feeders[zone] = f
		}
	}
}

// feederOf returns the share of this entry VM in what the target's zone may get, and whether it has one.
func (s *Balancer) feederOf(t *target, now time.Time) (feeder, bool) {
	f, ok := s.feeders[t.member.Zone]
	if ok && now.Sub(s.startedAt) < settleTime {
		f.n = max(f.n, s.mostPerZone)
		ok = t.near == nearZone
	}
	return f, ok
}

// coldRate returns how many requests a second this entry VM may send to the cold target. Only the
// entry VMs of its availability zone do, or some others where the zone has none: the fewer
// they are, the more each may send, and none needs to ask the others.
func (s *Balancer) coldRate(t *target, now time.Time) float64 {
	f, ok := s.feederOf(t, now)
	g := s.services[t.member.Service]
	if !ok || g == nil {
		return 0
	}
	return g.settings.ColdRate / float64(f.n)
}

// beginCold makes the first request to a target that has just turned cold wait for this entry VM's turn.
func (s *Balancer) beginCold(t *target, now time.Time) {
	f, ok := s.feederOf(t, now)
	if rate := s.coldRate(t, now); ok && rate > 0 {
		turn := float64(f.rank) / float64(f.n)
		t.cold.full = later(t.cold.full, now.Add(time.Duration(turn/rate*float64(time.Second))))
	}
}
