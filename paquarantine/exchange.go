package paquarantine

import (
	"cmp"
	"slices"
)

// numbered is a finding with its number.
type numbered struct {
	Finding
	seq uint64
}

// After returns up to limit findings that follow the one numbered after, and the number of the last one returned. An entry VM
// that starts passes 0 and gets all that counts. A number above the last is of an earlier process and counts as 0.
func (q *Quarantine) After(after uint64, limit int) ([]Finding, uint64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if after > q.lastSeq {
		after = 0
	}
	if after == q.lastSeq || limit <= 0 {
		return nil, after
	}
	all := q.numberedAfter(after)
	slices.SortFunc(all, func(a, b numbered) int { return cmp.Compare(a.seq, b.seq) })
	last := q.lastSeq
	if len(all) > limit {
		all = all[:limit]
		last = all[limit-1].seq
	}
	findings := make([]Finding, len(all))
	for i, n := range all {
		findings[i] = n.Finding
	}
	return findings, last
}

// numberedAfter returns the findings with higher numbers, in no order.
func (q *Quarantine) numberedAfter(after uint64) []numbered {
	var all []numbered
	for f, s := range q.suspects {
		for t, l := range s.losses {
			if l.seq > after {
				all = append(all, numbered{Loss{f, s.resource, t, l.sent, l.ended}, l.seq})
			}
		}
		if s.answeredSeq > after {
			all = append(all, numbered{Answered{f, s.answeredAt}, s.answeredSeq})
		}
	}
	for t, e := range q.ends {
		if e.refutedSeq > after {
			all = append(all, numbered{Refuted{t}, e.refutedSeq})
		}
	}
	return all
}
