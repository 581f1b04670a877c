package pagate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
)

const (
	// contactWindow is how long ago an entry VM that can be reached was heard at the most: it is called at each syncPace.
	contactWindow = 2*syncInterval + 100*time.Millisecond
	// isolationTimeout is how long the limiter keeps the pools while it reaches too few others: it calls one of each zone only
	// from its claim on, and hears nobody right after it stood still.
	isolationTimeout = syncInterval + syncTimeout
	// isolatedClaimDelay is how much later than others an entry VM claims pools that it gave up because it reached too few, for
	// aloneTime. After that nobody else wants them, and it keeps them.
	isolatedClaimDelay = time.Second
	isolatedClaimTime = 10 * time.Second
	// minPeersForIsolation is how many other entry VMs tell that this one is cut off; fewer may as well have died.
	minPeersForIsolation = 3
)

// reachesHalf says whether at least half of the other entry VMs can be reached: all of each zone of which one was heard.
//
// Load: the limiter is cut off from the others and still reaches the store. Harm prevented: it renews its claim for as
// long as the cut lasts, and all requests beyond the others' own few tokens are refused.
func (l *limiter) reachesHalf(s *state) bool {
	g := l.gate
	others, heard := map[string]int{}, map[string]bool{}
	total := 0
	for _, e := range s.entries {
		if e.Name == g.self.Name {
			continue
		}
		others[e.Zone]++
		total++
		heard[e.Zone] = heard[e.Zone] || g.peers.recentlyHeard(e.Name)
	}
	reached := 0
	for zone, n := range others {
		if heard[zone] {
			reached += n
		}
	}
	return total < minPeersForIsolation || 2*reached >= total
}

// recentlyIsolated says whether the pools were given up lately for want of others.
func (l *limiter) recentlyIsolated() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.gate.uptime()-l.isolatedAt < isolatedClaimTime
}

// isLimiter says whether this entry VM is the limiter.
func (l *limiter) isLimiter() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.gate.uptime() < l.claimEnd
}

// zoneSamples returns one entry VM of each other zone, one that answers where there is one.
func (l *limiter) zoneSamples(s *state) []pafleet.Entry {
	first := map[string]pafleet.Entry{}
	for _, e := range s.entries {
		f, ok := first[e.Zone]
		if e.Zone == l.gate.self.Zone || ok && !l.gate.calledBefore(e, f) {
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

// calledBefore says whether an entry VM is rather called than another.
func (g *Gate) calledBefore(a, b pafleet.Entry) bool {
	if x, y := g.peers.usable(a.Name), g.peers.usable(b.Name); x != y {
		return x
	}
	return xxhash.Sum64String(a.Name) < xxhash.Sum64String(b.Name)
}

// recentlyHeard says whether a neighbour was heard within heardTime.
func (p *peers) recentlyHeard(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.known[name]
	return k != nil && k.failures == 0 && p.gate.config.Clock.Now().Sub(k.contactAt) < contactWindow
}
