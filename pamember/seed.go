package pamember

import (
	"math/rand/v2"
	"time"
)

// contactSeeds gossips with seeds: with joinAttempts of them every round while no other member is known, later with one
// every seedInterval that is not a live member.
func (m *Member) contactSeeds(now time.Time, out *Output) {
	tries, every := 1, seedInterval
	if len(m.index.region)+len(m.index.otherRegions) == 0 {
		tries, every = joinAttempts, Round
	}
	if len(m.seeds) == 0 || !m.isDue(now, &m.schedule.seed, every) {
		return
	}
	for range tries {
		s := m.pickSeed()
		if s.PeerAddress.IsValid() {
			out.Send = append(out.Send, Envelope{To: s.Name, Address: s.PeerAddress, Message: m.gossipMessage(nil)})
		}
	}
}

// pickSeed returns a random seed that is not a live member, if one is found in a few draws. It prefers seeds that are
// not known to be gone and, in the first half of the draws, those of the own region.
func (m *Member) pickSeed() Seed {
	const draws = 8
	var found Seed
	for i := range draws {
		s := m.seeds[m.random.IntN(len(m.seeds))]
		e := m.entries[s.Name]
		if s.Name == m.self.Name || s.PeerAddress == m.self.PeerAddress || m.usable(e) {
			continue
		}
		found = s
		if e != nil && e.record.State.Gone() {
			continue
		}
		if i >= draws/2 || s.Region == m.self.Region {
			break
		}
	}
	return found
}

// pick returns a random entry, or nil if there is none.
func pick(r *rand.Rand, all []*entry) *entry {
	if len(all) == 0 {
		return nil
	}
	return all[r.IntN(len(all))]
}
