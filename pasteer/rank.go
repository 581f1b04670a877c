package pasteer

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRanked is how many targets of an object's ranking are kept: its homes, and others for when these drain,
	// fail or are full.
	maxRanked = 16
	// minRanked is how few may be left of them before the ranking is made anew.
	minRanked = 8
	// maxRankings is how many objects' rankings are kept of a service, twice over.
	maxRankings = 4096
)

// ranked is a target in the ranking of an object.
type ranked struct {
	target *target
	hash   uint64
}

// rankingCache keeps the first targets of the rankings of the objects that were asked for last. The zero value is ready.
//
// Load: thousands of targets, and hundreds of requests a second. Harm prevented: each decision ranked all targets of
// its service, under the lock that all requests of the entry VM share.
type rankingCache struct {
	recent, previous map[uint64][]ranked
}

// get returns the first targets get an object's ranking among all get the service.
func (r *rankingCache) get(object uint64, all []*target) []ranked {
	if top, ok := r.recent[object]; ok {
		return top
	}
	top, ok := r.previous[object]
	if !ok {
		top = rankTargets(object, all)
	}
	r.put(object, top)
	return top
}

func (r *rankingCache) put(object uint64, top []ranked) {
	if r.recent == nil || len(r.recent) >= maxRankings {
		r.previous, r.recent = r.recent, map[uint64][]ranked{}
	}
	r.recent[object] = top
}

// add puts a new target into the rankings that it belongs to.
func (r *rankingCache) add(t *target) {
	for _, all := range []map[uint64][]ranked{r.recent, r.previous} {
		for object, top := range all {
			all[object] = insertRanked(top, ranked{t, rendezvousWeight(object, t.hash)})
		}
	}
}

// remove takes a target out of all rankings; one that gets too short is made anew when it is asked for.
func (r *rankingCache) remove(t *target) {
	for _, all := range []map[uint64][]ranked{r.recent, r.previous} {
		for object, top := range all {
			i := slices.IndexFunc(top, func(e ranked) bool { return e.target == t })
			switch {
			case i < 0:
			case len(top) <= minRanked:
				delete(all, object)
			default:
				all[object] = slices.Delete(top, i, i+1)
			}
		}
	}
}

// rankTargets ranks all targets and returns the first of them.
func rankTargets(object uint64, all []*target) []ranked {
	top := make([]ranked, 0, maxRanked+1)
	for _, t := range all {
		top = insertRanked(top, ranked{t, rendezvousWeight(object, t.hash)})
	}
	return top
}

// insertRanked puts a target where it belongs and drops what is then too much.
func insertRanked(top []ranked, e ranked) []ranked {
	if len(top) >= maxRanked && e.hash <= top[len(top)-1].hash {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, e, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	top = slices.Insert(top, i, e)
	return top[:min(len(top), maxRanked)]
}

// rendezvousWeight is the weight of a name for an object, both by their hashes: the highest comes first.
func rendezvousWeight(object, name uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], object)
	binary.LittleEndian.PutUint64(b[8:], name)
	return xxhash.Sum64(b[:])
}
