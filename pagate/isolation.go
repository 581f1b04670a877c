package pagate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
)

const (
	// contactWindow is how recent the last contact with a reachable entry VM is at least: each is called at every
	// syncInterval.
	contactWindow = 2*syncInterval + 100*time.Millisecond
	// isolationTimeout is how long the limiter keeps the role while it reaches too few others. It calls one entry
	// VM of each zone only once it is the limiter, and has no recent contacts right after its process stalled.
	isolationTimeout = syncInterval + syncTimeout
	// isolatedClaimDelay is the additional delay of a claim, for isolatedClaimTime, after an entry VM resigned
	// because it reached too few others. If nobody else claims the role meanwhile, it takes and keeps it.
	isolatedClaimDelay = time.Second
	isolatedClaimTime  = 10 * time.Second
	// minPeersForIsolation is how many other entry VMs must be registered to conclude from their silence that
	// this one is isolated; fewer could as well have failed.
	minPeersForIsolation = 3
)

// reachesHalf reports whether at least half of the other entry VMs are reachable. All entry VMs of a zone count as
// reachable if one of them is.
//
// A limiter that is partitioned from the others but still reaches the store would otherwise renew its claim for as
// long as the partition lasts, while the others' requests beyond their own few tokens are refused.
func (l *limiter) reachesHalf(s *state) bool {
	g := l.gate
	others, reachable := map[string]int{}, map[string]bool{}
	total := 0
	for _, e := range s.entries {
		if e.Name == g.self.Name {
			continue
		}
		others[e.Zone]++
		total++
		reachable[e.Zone] = reachable[e.Zone] || g.peers.recentlyContacted(e.Name)
	}
	reached := 0
	for zone, n := range others {
		if reachable[zone] {
			reached += n
		}
	}
	return total < minPeersForIsolation || 2*reached >= total
}

// recentlyIsolated reports whether this entry VM resigned lately because it reached too few others.
func (l *limiter) recentlyIsolated() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.gate.uptime()-l.isolatedAt < isolatedClaimTime
}

// isLimiter reports whether this entry VM is the limiter.
func (l *limiter) isLimiter() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.gate.uptime() < l.claimEnd
}

// zoneSamples returns one entry VM of each other zone, a usable one if there is any.
func (l *limiter) zoneSamples(s *state) []pafleet.Entry {
	first := map[string]pafleet.Entry{}
	for _, e := range s.entries {
		f, ok := first[e.Zone]
		if e.Zone == l.gate.self.Zone || ok && !l.gate.betterSample(e, f) {
			continue
		}
		first[e.Zone] = e
	}
	var all []pafleet.Entry
	for _, e := range first {
		all = append(all, e)
	}
	return all
}

// betterSample reports whether a is preferred to b as a zone's sample.
func (g *Gate) betterSample(a, b pafleet.Entry) bool {
	if x, y := g.peers.usable(a), g.peers.usable(b); x != y {
		return x
	}
	return xxhash.Sum64String(a.Name) < xxhash.Sum64String(b.Name)
}

// recentlyContacted reports whether the last contact with an entry VM was within contactWindow.
func (p *peers) recentlyContacted(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.known[name]
	return k != nil && k.failures == 0 && p.gate.config.Clock.Now().Sub(k.contactAt) < contactWindow
}
