package pasteer

import (
	"cmp"
	"slices"
)

// lifetime identifies one run of a target's process.
type lifetime struct {
	target string
	born   int64
}

// notesAfter returns the first count of the lifetimes with a note, in the order of the notes' numbers, and the number of the last one
// returned, which is lastSeq if none is left out.
func notesAfter(all []lifetime, seq func(lifetime) uint64, after, lastSeq uint64, count int) ([]lifetime, uint64) {
	slices.SortFunc(all, func(x, y lifetime) int { return cmp.Compare(seq(x), seq(y)) })
	switch {
	case len(all) <= count:
		return all, lastSeq
	case count <= 0:
		return nil, after
	}
	return all[:count], seq(all[count-1])
}

// maxAbsent bounds how many words of targets are kept that are missing in the view; each takes some 150 bytes.
const maxAbsent = 4096

// beyondBound returns the lifetimes of absent targets that are too many, those that compare lowest.
func beyondBound(absent []lifetime, compare func(x, y lifetime) int) []lifetime {
	if len(absent) <= maxAbsent {
		return nil
	}
	slices.SortFunc(absent, func(x, y lifetime) int { return cmp.Or(compare(x, y), cmp.Compare(x.target, y.target)) })
	return absent[:len(absent)-maxAbsent]
}
