package pagate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/pafleet"
)

const (
	// heardTime is how long ago an entry VM that can be reached was heard at the most: it is called at each syncPace.
	heardTime = 2*syncPace + 100*time.Millisecond
	// touchTime is how long the limiter keeps the pools while it reaches too few others: it calls one of each zone only
	// from its claim on, and hears nobody right after it stood still.
	touchTime = syncPace + syncTimeout
	// aloneTurn is how much later than others an entry VM claims pools that it gave up because it reached too few, for
	// aloneTime. After that nobody else wants them, and it keeps them.
	aloneTurn = time.Second
	aloneTime = 10 * time.Second
	// fewOthers is how many other entry VMs tell that this one is cut off; fewer may as well have died.
	fewOthers = 3
)

// inTouch says whether at least half of the other entry VMs can be reached: all of each zone of which one was heard.
//
// Load: the limiter is cut off from the others and still reaches the store. Harm prevented: it renews its claim for as
// long as the cut lasts, and all requests beyond the others' own few tokens are refused.
func (l *limiter) inTouch(s *state) bool {
	g := l.gate
	others, heard := map[string]int{}, map[string]bool{}
	total := 0
	for _, e := range s.entries {
		if e.Name == g.self.Name {
			continue
		}
		others[e.Zone]++
		total++
		heard[e.Zone] = heard[e.Zone] || g.peers.heardLately(e.Name)
	}
	reached := 0
	for zone, n := range others {
		if heard[zone] {
			reached += n
		}
	}
	return total < fewOthers || 2*reached >= total
}

// wasAlone says whether the pools were given up lately for want of others.
func (l *limiter) wasAlone() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.gate.uptime()-l.isolatedAt < aloneTime
}

// keeping says whether this entry VM is the limiter.
func (l *limiter) keeping() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.gate.uptime() < l.claimEnd
}

// samples returns one entry VM of each other zone, one that answers where there is one.
func (l *limiter) samples(s *state) []pafleet.Entry {
	first := map[string]pafleet.Entry{}
	for _, e := range s.entries {
		f, ok := first[e.Zone]
		if e.Zone == l.gate.self.Zone || ok && !l.gate.before(e, f) {
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

// before says whether an entry VM is rather called than another.
func (g *Gate) before(a, b pafleet.Entry) bool {
	if x, y := g.peers.usable(a.Name), g.peers.usable(b.Name); x != y {
		return x
	}
	return xxhash.Sum64String(a.Name) < xxhash.Sum64String(b.Name)
}

// heardLately says whether a neighbour was heard within heardTime.
func (p *peers) heardLately(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.known[name]
	return k != nil && k.failures == 0 && p.gate.config.Clock.Now().Sub(k.heardAt) < heardTime
}
