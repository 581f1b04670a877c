package pamember

import (
	"cmp"
	"slices"

	"papayahead/pabundle"

	"github.com/cespare/xxhash/v2"
)

// MemberView is one member in a View.
type MemberView struct {
	Identity
	State State
	// Load is set for members of the own region only.
	Load LoadReport
	// DirectContact says that the own region recently received a message from the member's region without a relay in
	// between; in the own region, that the member's zone is not lost.
	DirectContact bool
}

// Live reports whether the member owns targets and takes new requests.
func (m MemberView) Live() bool { return m.State == Alive || m.State == Suspected }

// View is an immutable snapshot of the membership.
type View struct {
	// Version rises with each change of the view within one process.
	Version uint64
	Self    Identity
	// Members are sorted by name and include this daemon's own.
	Members []MemberView
}

// Find returns the member with a name, false if there is none.
func (v *View) Find(name pabundle.EntryName) (MemberView, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m MemberView, n pabundle.EntryName) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return MemberView{}, false
	}
	return v.Members[i], true
}

// Owner returns the live entry VM that owns a target: the one in the target's zone with the highest rendezvous score
// or, if the zone has no live one, the one in the region. It returns false if the region has none.
//
// Two daemons with different views may name two owners while their views differ, which is bounded by the time that a
// change takes to disseminate; the owner's slot counts must allow for that.
func Owner(v *View, region pabundle.RegionName, zone pabundle.ZoneName, target pabundle.TargetName) (pabundle.EntryName, bool) {
	if n := highest(v, string(target), func(m MemberView) bool { return m.Zone == zone }); n != "" {
		return n, true
	}
	n := highest(v, string(target), func(m MemberView) bool { return m.Region == region })
	return n, n != ""
}

// highest returns the live member with the highest rendezvous score for a key among those that fit.
func highest(v *View, key string, fits func(MemberView) bool) pabundle.EntryName {
	var best pabundle.EntryName
	var top uint64
	for _, m := range v.Members {
		if !m.Live() || !fits(m) {
			continue
		}
		if s := RendezvousScore(key, m.Name); best == "" || s > top {
			best, top = m.Name, s
		}
	}
	return best
}

// RendezvousScore returns the rendezvous hash of a key and a member: the member with the highest score owns the key.
func RendezvousScore(key string, name pabundle.EntryName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(name))
	return mix(d.Sum64())
}

// Ranked returns the live members that fit, by descending rendezvous score for a key.
func Ranked(v *View, key string, fits func(MemberView) bool) []MemberView {
	var all []MemberView
	for _, m := range v.Members {
		if m.Live() && fits(m) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b MemberView) int {
		return cmp.Compare(RendezvousScore(key, b.Name), RendezvousScore(key, a.Name))
	})
	return all
}

// mix is the finalizer of SplitMix64; it spreads every input bit over the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
