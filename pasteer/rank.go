package pasteer

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRanked is how many targets of an object's ranking are cached: its homes, and others to replace homes that drain,
	// fail or are full.
	maxRanked = 16
	// minRanked is the shortest length of a cached ranking that lost a target. A ranking that would get shorter is dropped
	// and recomputed at its next use.
	minRanked = 8
	// maxRankings is how many rankings each of the two generations of a rankingCache holds.
	maxRankings = 4096
)

// ranked is a target in the ranking of an object.
type ranked struct {
	target *target
	// hash is the target's rendezvousWeight for the object; the highest ranks first.
	hash uint64
}

// rankingCache caches the first targets of the rankings of recently used objects, in two generations. The zero value is
// ready for use.
//
// Without it, with thousands of targets and hundreds of requests a second, each decision ranks all targets of its service
// under the lock that all requests of the entry VM share.
type rankingCache struct {
	recent, previous map[uint64][]ranked
}

// get returns the first targets of an object's ranking of all targets of the service.
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

// put stores a ranking in the recent generation. If that is full, it first becomes the previous generation, and the former
// previous one is dropped.
func (r *rankingCache) put(object uint64, top []ranked) {
	if r.recent == nil || len(r.recent) >= maxRankings {
		r.previous, r.recent = r.recent, map[uint64][]ranked{}
	}
	r.recent[object] = top
}

// add inserts a new target into the cached rankings in which it is among the first.
func (r *rankingCache) add(t *target) {
	for _, all := range []map[uint64][]ranked{r.recent, r.previous} {
		for object, top := range all {
			all[object] = insertRanked(top, ranked{t, rendezvousWeight(object, t.hash)})
		}
	}
}

// remove removes a target from all cached rankings. A ranking that would get too short is dropped.
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

// rankTargets ranks the targets for an object and returns the first maxRanked of them.
func rankTargets(object uint64, all []*target) []ranked {
	top := make([]ranked, 0, maxRanked+1)
	for _, t := range all {
		top = insertRanked(top, ranked{t, rendezvousWeight(object, t.hash)})
	}
	return top
}

// insertRanked inserts a target by its weight and cuts the ranking to maxRanked.
func insertRanked(top []ranked, e ranked) []ranked {
	if len(top) >= maxRanked && e.hash <= top[len(top)-1].hash {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, e, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	top = slices.Insert(top, i, e)
	return top[:min(len(top), maxRanked)]
}

// rendezvousWeight returns the rendezvous hash of an object and a name, given the hashes of both. The name with the highest
// weight ranks first.
func rendezvousWeight(object, name uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], object)
	binary.LittleEndian.PutUint64(b[8:], name)
	return xxhash.Sum64(b[:])
}
