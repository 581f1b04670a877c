package pasteer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
	"papayahead/pahash"
)

// bucket is a token bucket with a capacity of one request. The zero value is full.
//
// A target that comes back cold while its share of the traffic waits would crash under a rate well above what it bears.
// The capacity of one keeps the requests of all entry VMs together within what the platform tolerates in one second.
type bucket struct {
	// refilledAt is when the token is available again.
	refilledAt time.Time
}

// take takes the token, which is refilled at the given rate per second, and reports whether there was one.
func (b *bucket) take(now time.Time, rate float64) bool {
	if now.Before(b.refilledAt) || rate <= 0 {
		return false
	}
	b.refilledAt = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// isCold reports whether the target reports that it is cold, or is presumed cold.
func (t *target) isCold(now time.Time) bool {
	return now.Before(t.state.ColdUntil) || now.Before(t.suspectColdUntil) || now.Before(t.evacuatedColdUntil) || now.Before(t.reportedColdUntil)
}

// maxColdFor bounds how long a response may say that its target stays cold; a longer time is a mistake.
const maxColdFor = 10 * time.Minute

// observeCold takes what a response says of how long its target stays cold. A target may turn cold at any moment, and the store says
// so a heartbeat later.
func (b *Balancer) observeCold(t *target, r Report, now time.Time) {
	if r.ColdFor <= 0 || r.ColdFor > maxColdFor || r.Outcome > Shed {
		return
	}
	wasCold := t.isCold(now)
	t.reportedColdUntil = now.Add(r.ColdFor)
	if !wasCold {
		b.delayFirstCold(t, now)
	}
}

// coldShare is the share of this entry VM in the rate that each cold target of an availability zone bears: a number of entry
// VMs, the senders, send to these targets in turn, and index is this entry VM's position among them. All entry VMs compute
// the same order.
type coldShare struct{ index, senders int }

const (
	// maxColdSenders is how many entry VMs of other zones send to the cold targets of a zone that has no entry VM.
	maxColdSenders = 3
	// startupGrace is how long after its start an entry VM may not know all others that started with it. They have to
	// register, and a neighbour that this entry VM asks has to read the store.
	startupGrace = 2 * time.Second
)

// updateColdShares computes this entry VM's share of the rate of the cold targets, for each availability zone to whose
// cold targets it sends.
//
// When a region comes back from a power failure, all its targets are cold while its traffic waits. The entry VMs that
// start with it, which do not know each other yet, and all those elsewhere that took over its traffic would each send a
// request at once, several times what a cold target bears. So only few entry VMs send to the cold targets of a zone, and
// they take turns. One that has just started sends only to targets of its own zone, and assumes as many senders there as
// the largest zone has.
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
	if b.isForgotten(v) {
		return
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
		share := coldShare{senders: len(names) + 1}
		ownHash := pahash.Pair(zone, b.Config.Name)
		for _, name := range names {
			if pahash.Pair(zone, name) > ownHash {
				share.index++
			}
		}
		if zone != b.Config.Zone {
			share.senders = min(share.senders, maxColdSenders)
		}
		if share.index < share.senders {
			b.coldShares[zone] = share
		}
	}
}

// isForgotten reports whether the view lacks this entry VM's own registration although an earlier one had it: the store was away and
// its leases lapsed. The others are missing for the same reason, and the shares stay as they were until the registrations are back.
func (b *Balancer) isForgotten(v *pafleet.View) bool {
	_, registered := v.Entries[b.Config.Name]
	b.wasRegistered = b.wasRegistered || registered
	return !registered && !b.leaving && b.wasRegistered
}

// coldShareOf returns the share of this entry VM in the rate of the target's zone, and whether it has one. While it shuts down it has
// none, as others take its share over.
func (b *Balancer) coldShareOf(t *target, now time.Time) (coldShare, bool) {
	share, ok := b.coldShares[t.state.Zone]
	ok = ok && !b.leaving
	if ok && now.Sub(b.startedAt) < startupGrace {
		share.senders = max(share.senders, b.maxEntriesPerZone)
		ok = t.distance == sameZone
	}
	return share, ok
}

// coldRate returns how many requests a second this entry VM may send to a cold target. Only the entry VMs of the target's
// availability zone send to it, or a few others if the zone has none. They divide the rate that the target bears evenly,
// without asking each other.
func (b *Balancer) coldRate(t *target, now time.Time) float64 {
	share, ok := b.coldShareOf(t, now)
	svc := b.services[t.state.Service]
	if !ok || svc == nil {
		return 0
	}
	return svc.settings.ColdRate / float64(share.senders)
}

// delayFirstCold delays the first request to a target that has just turned cold. The delays spread the first requests of
// the senders over the interval that each of them waits between two requests.
func (b *Balancer) delayFirstCold(t *target, now time.Time) {
	share, ok := b.coldShareOf(t, now)
	if rate := b.coldRate(t, now); ok && rate > 0 {
		offset := float64(share.index) / float64(share.senders)
		t.coldBucket.refilledAt = later(t.coldBucket.refilledAt, now.Add(time.Duration(offset/rate*float64(time.Second))))
	}
}
