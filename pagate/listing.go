package pagate

import "time"

// A store that lost its history answers every watch with an error until the whole store was read. If all entry VMs of a large
// deployment read it at once, over links that they share, none gets far, each is still too old, and all go on reading. So store
// readers do it, of the others one after the other, and nobody while someone whom it hears from does.

const (
	// listInterval is how much later than the one before it by rank an entry VM of a region reads the whole store.
	listInterval = 500 * time.Millisecond
	// listingTTL is how long a neighbour's word counts that it reads the whole store.
	listingTTL = syncInterval + syncTimeout + 100*time.Millisecond
	// maxListingWait is the age of the state at which an entry VM no longer waits for others that read the whole store.
	maxListingWait = 10 * time.Second
)

// mayList reports whether this entry VM may read the whole store now. One without a state may: it serves nobody.
func (g *Gate) mayList() bool {
	s := g.state.Load()
	if s.revision == 0 || g.isStoreReader() {
		return true
	}
	age := g.age(s)
	if age < maxListingWait && g.peers.someoneLists(g.config.Clock.Now()) {
		return false
	}
	rank, _ := g.rankInRegion(s)
	return age > maxAge+listInterval*time.Duration(rank)
}

// recordListing records whether a neighbour says that it reads the whole store.
func (p *peers) recordListing(name string, listing bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.known[name]
	if k == nil {
		return
	}
	k.listingAt = time.Time{}
	if listing {
		k.listingAt = p.gate.config.Clock.Now()
	}
}

// someoneLists reports whether a neighbour that this entry VM calls reads the whole store.
func (p *peers) someoneLists(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, k := range p.known {
		if !k.listingAt.IsZero() && now.Sub(k.listingAt) < listingTTL {
			return true
		}
	}
	return false
}
