package palookup

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"papayahead/pabundle"

	"github.com/cespare/xxhash/v2"
)

// Query is a caller's look-up.
type Query struct {
	Service pabundle.ServiceName
	Caller  netip.Addr
	// Region is the caller's region by its client block, empty if no block contains the address.
	Region pabundle.RegionName
	// Shares are those in force now for the service, which differ from the bundle's while a traffic shift is running.
	Shares   []pabundle.Share
	Sequence pabundle.Sequence
}

// Answer is the result of a look-up.
type Answer struct {
	Service pabundle.ServiceName
	// Region is the region that the caller is sent to.
	Region   pabundle.RegionName
	Sequence pabundle.Sequence
	// TimeToLive is how long the caller may use the answer.
	TimeToLive pabundle.Duration
	// Entries are to be tried in this order.
	Entries []Entry
}

// Entry is an entry VM as returned to callers.
type Entry struct {
	Name    pabundle.EntryName
	Zone    pabundle.ZoneName
	Address netip.AddrPort
}

// Answer returns the entry VMs for a caller, in the order in which to try them.
//
// It is designed for any number of callers in unevenly used blocks, and for the loss of one of 7 entry VMs at 80 %
// load. The region follows the shares and the entry VM its headroom, both by weighted rendezvous hashing of the
// caller's address: a change of a weight by a hundredth moves a hundredth of the callers, and the loss of an entry VM
// moves only its own callers, spread over the others by their headroom. The second entry is in another zone than the
// first if there is one, because what took down the first may have taken down its zone. Suspected entry VMs come after
// the others of their region. Those that this daemon can't reach come last, as the caller may still reach them.
// Leaving, dead and departed ones are left out.
func (p *Plan) Answer(q Query) Answer {
	a := Answer{Service: q.Service, Region: q.Region, Sequence: q.Sequence}
	a.TimeToLive.Duration = DefaultTimeToLive
	if a.Region == "" {
		a.Region = p.self.Region
	}
	key := callerHash(q)
	var list [maxInRegion + maxOtherRegions]*candidate
	n := 0
	for _, i := range p.rankRegions(a.Region, q, key) {
		r := &p.regions[i]
		if n == 0 {
			a.Region = r.name
			n = choose(list[:maxInRegion], r.entries, key)
			continue
		}
		if r.reachable {
			n += choose(list[n:n+1], r.entries, key)
		}
		if n == len(list) {
			break
		}
	}
	a.Entries = make([]Entry, 0, n)
	for _, last := range []bool{false, true} {
		for _, c := range list[:n] {
			if (c.tier == tierUnreachable) == last {
				a.Entries = append(a.Entries, c.entry)
			}
		}
	}
	return a
}

// rankRegions returns the first few regions for a caller: by its shares, then those without a share. Regions that this
// daemon can't reach at all come last, so that a zone that is cut off sends callers to itself.
func (p *Plan) rankRegions(from pabundle.RegionName, q Query, key uint64) []int {
	var taken [1 + maxOtherRegions]int
	n := 0
	for n < min(len(taken), len(p.regions)) {
		best, top := -1, math.Inf(-1)
		for i := range p.regions {
			if slices.Contains(taken[:n], i) {
				continue
			}
			r := &p.regions[i]
			s := score(key, r.hash, regionWeight(q.Shares, from, r.name))
			if !r.reachable {
				s -= unreachablePenalty
			}
			if s > top {
				best, top = i, s
			}
		}
		taken[n] = best
		n++
	}
	return taken[:n:n]
}

// unreachablePenalty is larger than the score of any reachable region.
const unreachablePenalty = 1e18

// regionWeight returns the weight of region to for callers of region from. If from has no shares, it has all the weight
// itself. Regions without a share keep a weight far below any share, as a last resort.
func regionWeight(all []pabundle.Share, from, to pabundle.RegionName) float64 {
	const lastResort = 1e-9
	given := false
	for _, s := range all {
		if s.From == from {
			given = true
			if s.To == to && s.Share > 0 {
				return s.Share
			}
		}
	}
	if !given && from == to {
		return 1
	}
	return lastResort
}

// choose fills a list with the best candidates of a region for a caller, the second from another zone than the first if
// there is one of the same tier, and returns how many it found. It scans the candidates once for each place, as sorting
// all 81 of a large region for three places costs ten times as much.
func choose(list []*candidate, entries []candidate, key uint64) int {
	n := 0
	for ; n < min(len(list), len(entries)); n++ {
		var best *candidate
		top := 0.0
		for i := range entries {
			c := &entries[i]
			if slices.Contains(list[:n], c) || best != nil && c.tier > best.tier {
				continue
			}
			s := score(key, c.hash, c.weight)
			// A candidate in another zone is preferred to any in the same one.
			if n == 1 && c.tier == list[0].tier && c.entry.Zone != list[0].entry.Zone {
				s += otherZoneBonus
			}
			if best == nil || c.tier < best.tier || s > top {
				best, top = c, s
			}
		}
		list[n] = best
	}
	return n
}

// otherZoneBonus is larger than the score of any candidate, which is at most the greatest weight over the least
// logarithm, 2^53.
const otherZoneBonus = 1e17

// score is the weighted rendezvous score: the probability of having the highest score is proportional to the weight.
func score(key, hash uint64, weight float64) float64 {
	h := mix(key ^ hash)
	// The upper 53 bits, as a number between 0 and 1 (both excluded).
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

func callerHash(q Query) uint64 {
	var b [16 + 8]byte
	ip := q.Caller.As16()
	copy(b[:], ip[:])
	binary.LittleEndian.PutUint64(b[16:], hashName(string(q.Service)))
	return xxhash.Sum64(b[:])
}

func hashName(s string) uint64 { return mix(xxhash.Sum64String(s)) }

// mix is the finalizer of SplitMix64; it spreads every input bit over the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
