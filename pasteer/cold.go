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
	refilledAt time.Time
}

// take takes a token that comes back at the rate, and says whether there was one.
func (b *bucket) take(now time.Time, rate float64) bool {
	if now.Before(b.refilledAt) || rate <= 0 {
		return false
	}
	b.refilledAt = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// isCold says whether the target may take only what a cold one bears.
func (t *target) isCold(now time.Time) bool {
	return now.Before(t.member.ColdUntil) || now.Before(t.suspectColdUntil)
}

// coldShare is the share of an entry VM in what the cold targets of an availability zone may get: it is one of
// n that send to them, in an order that all agree on.
type coldShare struct{ index, senders int }

const (
	// maxColdSenders is how many entry VMs of other zones send to the cold targets of a zone without any.
	maxColdSenders = 3
	// startupGrace is how long after its start an entry VM may know only some of the others that start with it:
	// a registration, and a reading of the store by a neighbour that is asked for it.
	startupGrace = 2 * time.Second
)

// updateColdShares computes for each availability zone whether this entry VM sends to its cold targets.
//
// Load: a region comes back from a loss of power, and all of its targets are cold while its traffic waits.
// Harm prevented: entry VMs that start with it and do not know of each other yet, and all those elsewhere that
// took its traffic over, each send a request at once, several times what a cold target bears. So a zone has few
// feeders; each waits its turn; and one that has just started sends only to targets of its own zone, and counts
// as many in it as the largest other zone has.
func (b *Balancer) updateColdShares(v *pafleet.View) {
	zones, regions := map[string][]string{}, map[string][]string{}
	var all []string
	b.regionPeers = b.regionPeers[:0]
	for name, e := range v.Entries {
		if name == b.Config.Name {
			continue
		}
		if e.Region == b.Config.Region {
			b.regionPeers = append(b.regionPeers, regionPeer{e.Zone, xxhash.Sum64String(name)})
		}
		zones[e.Zone] = append(zones[e.Zone], name)
		regions[e.Region] = append(regions[e.Region], name)
		all = append(all, name)
	}
	b.maxEntriesPerZone = 1
	for _, names := range zones {
		b.maxEntriesPerZone = max(b.maxEntriesPerZone, len(names))
	}
	b.coldShares = map[string]coldShare{}
	for zone, region := range b.Config.Regions {
		names := zones[zone]
		switch {
		case zone == b.Config.Zone:
		case len(names) > 0:
			continue
		case region == b.Config.Region:
			names = regions[region]
		case len(regions[region]) == 0:
			names = all
		default:
			continue
		}
		f := coldShare{senders: len(names) + 1}
		own := hashPair(zone, b.Config.Name)
		for _, name := range names {
			if hashPair(zone, name) > own {
				f.index++
			}
		}
		if zone != b.Config.Zone {
			f.senders = min(f.senders, maxColdSenders)
		}
		if f.index < f.senders {
			b.coldShares[zone] = f
		}
	}
}

// coldShareOf returns the share of this entry VM in what the target's zone may get, and whether it has one.
func (b *Balancer) coldShareOf(t *target, now time.Time) (coldShare, bool) {
	f, ok := b.coldShares[t.member.Zone]
	if ok && now.Sub(b.startedAt) < startupGrace {
		f.senders = max(f.senders, b.maxEntriesPerZone)
		ok = t.distance == sameZone
	}
	return f, ok
}

// coldRate returns how many requests a second this entry VM may send to the cold target. Only the
// entry VMs of its availability zone do, or some others where the zone has none: the fewer
// they are, the more each may send, and none needs to ask the others.
func (b *Balancer) coldRate(t *target, now time.Time) float64 {
	f, ok := b.coldShareOf(t, now)
	svc := b.services[t.member.Service]
	if !ok || svc == nil {
		return 0
	}
	return svc.settings.ColdRate / float64(f.senders)
}

// delayFirstCold makes the first request to a target that has just turned cold wait for this entry VM's turn.
func (b *Balancer) delayFirstCold(t *target, now time.Time) {
	f, ok := b.coldShareOf(t, now)
	if rate := b.coldRate(t, now); ok && rate > 0 {
		turn := float64(f.index) / float64(f.senders)
		t.coldBucket.refilledAt = later(t.coldBucket.refilledAt, now.Add(time.Duration(turn/rate*float64(time.Second))))
	}
}
