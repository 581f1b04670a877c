package paquarantine

import (
	"slices"
	"time"
)

const (
	// minEnds is how many targets must have ended under a request before it is held off.
	minEnds = 3
	// minChain is how many of them must have ended one after the other, each time under a request that was sent after the
	// end before. In the loss of a zone many targets end under one popular request, but at once.
	minChain = 2
	// chainMargin is the least time between an end and the next send; times of other entry VMs are known that well.
	chainMargin = 100 * time.Millisecond
	// firstHold is how long a request is held off after the last end under it, before it is tried again, for the case that it
	// is blamed wrongly. If a target ends in that trial, nextHold follows, and each further one doubles it, up to maxHold.
	firstHold = 30 * time.Second
	nextHold  = 10 * time.Minute
	maxHold   = 8 * time.Hour
	// episodeGap is the time between two ends from which on the latter counts as a trial.
	episodeGap = 20 * time.Second
)

// verdict is what follows from the findings for one request.
type verdict struct {
	// ends and chain are how many targets ended under it that no other request explains, and how many of them one after
	// the other. inEnds is the sum of the times from its sends to these ends.
	ends, chain int
	inEnds      time.Duration
	// guilty says that it explains ends; it is held off until a time.
	guilty bool
	until  time.Time
}

// suspected reports whether the request may be sent only alone, and never twice for one try of its caller.
func (v *verdict) suspected() bool { return v.chain >= minChain }

// judge derives the verdicts from the findings and returns the changes.
//
// A target that ends takes all its requests with it, so that several requests may have been at each of a series of ends. The
// one that was at most of them explains them; it alone is blamed, and for the others these ends do not count. What is
// derived anew each time corrects itself: findings of other entry VMs may arrive in any order.
func (q *Quarantine) judge(now time.Time) []Change {
	q.active.Store(len(q.suspects) > 0)
	for _, s := range q.suspects {
		s.verdict = verdict{}
	}
	explained := map[Lifetime]bool{}
	for {
		s := q.mostEnds(explained)
		if s == nil {
			break
		}
		s.verdict.guilty, s.verdict.until = true, holdUntil(q.live(s, explained))
		for t := range s.losses {
			explained[t] = true
		}
	}
	var all []Change
	for _, s := range q.suspects {
		if isHeld := s.verdict.guilty && now.Before(s.verdict.until); isHeld != s.reported {
			s.reported = isHeld
			all = append(all, s.change())
		}
	}
	return all
}

// change describes the verdict, which differs from what was reported last.
func (s *suspect) change() Change {
	switch {
	case s.reported:
		c := Change{Resource: s.resource, Held: true, Until: s.verdict.until}
		for t := range s.losses {
			c.Targets = append(c.Targets, t.Target)
		}
		slices.Sort(c.Targets)
		return c
	case len(s.losses) == 0:
		return Change{Resource: s.resource, Cause: CauseAnswered}
	case s.verdict.guilty:
		return Change{Resource: s.resource, Cause: CauseExpired}
	}
	return Change{Resource: s.resource, Cause: CauseExplained}
}

// mostEnds updates the verdicts of the requests that are not guilty yet, and returns the one that was at most of the ends
// that are not explained; nil if none was at enough. Of several the one that was sent closest to the ends is returned: a
// run that ends its target does so soon, and others are there by chance.
func (q *Quarantine) mostEnds(explained map[Lifetime]bool) *suspect {
	var best *suspect
	for _, s := range q.suspects {
		if s.verdict.guilty {
			continue
		}
		all := q.live(s, explained)
		s.verdict = verdict{ends: len(all), chain: chainLength(all)}
		for _, l := range all {
			s.verdict.inEnds += l.ended.Sub(l.sent)
		}
		if s.verdict.ends < minEnds || s.verdict.chain < minChain {
			continue
		}
		if best == nil || s.verdict.ends > best.verdict.ends ||
			s.verdict.ends == best.verdict.ends && s.verdict.inEnds < best.verdict.inEnds {
			best = s
		}
	}
	return best
}

// live returns the losses of a request that are neither explained nor refuted, by the time of the end.
func (q *Quarantine) live(s *suspect, explained map[Lifetime]bool) []loss {
	var all []loss
	for t, l := range s.losses {
		if e := q.ends[t]; !explained[t] && (e == nil || e.refutedSeq == 0) {
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b loss) int { return a.ended.Compare(b.ended) })
	return all
}

// chainLength returns the largest number of the losses, sorted by their ends, of which each was sent after the end of the
// one before.
func chainLength(all []loss) int {
	n := 0
	var last time.Time
	for _, l := range all {
		if n == 0 || l.sent.After(last.Add(chainMargin)) {
			n++
			last = l.ended
		}
	}
	return n
}

// holdUntil returns until when a request that explains these ends is held off.
func holdUntil(all []loss) time.Time {
	trials, last := 0, all[0].ended
	for _, l := range all[1:] {
		if l.ended.Sub(last) > episodeGap {
			trials++
		}
		last = l.ended
	}
	if trials == 0 {
		return last.Add(firstHold)
	}
	return last.Add(min(maxHold, nextHold<<min(trials-1, 16)))
}
