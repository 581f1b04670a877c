package pasubset

import "math"

// Entry is a live entry VM of the zone.
type Entry struct {
	// Hash is the hash of its name.
	Hash uint64
	// Weight is its share of the targets, relative to the other entry VMs.
	Weight float64
}

// unknownLinkMbps is the bandwidth that an entry VM counts with whose own is unknown. It is fixed: an average of the others would move
// targets between entry VMs that stay when one joins or leaves. It matters only where some bandwidths are known.
const unknownLinkMbps = 100

// Weight returns the weight of an entry VM with a link of a bandwidth in Mbit/s, 0 if unknown. What is handed to a sender crosses its link
// twice in each direction, so that all links of a zone are used alike if the shares are proportional to the bandwidths.
func Weight(linkMbps float64) float64 {
	if linkMbps <= 0 || math.IsInf(linkMbps, 0) || math.IsNaN(linkMbps) {
		return unknownLinkMbps
	}
	return linkMbps
}

// Sender returns the hash of the entry VM that sends to a target, given the hash of the target's ID; 0 if there are none. The order
// of the entry VMs does not matter.
func Sender(all []Entry, target uint64) (sender uint64) {
	best := math.Inf(-1)
	for _, e := range all {
		// The largest of these scores belongs to an entry VM with a probability proportional to its weight, and does not depend on others.
		score := e.Weight / -math.Log(fraction(target, e.Hash))
		if score > best || score == best && e.Hash > sender {
			best, sender = score, e.Hash
		}
	}
	return sender
}

// fraction maps two hashes to a number above 0 and below 1.
func fraction(a, b uint64) float64 {
	// The finalizer of SplitMix64, since the hashes of similar names must not correlate.
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>12) + 0.5) / (1 << 52)
}
