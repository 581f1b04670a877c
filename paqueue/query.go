package paqueue

import "time"

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.items) }

// Work returns the sum of the predicted costs of all queued items.
func (q *Queue) Work() time.Duration { return q.work }

// Standing says whether the queue counts as a standing queue, which Observe decides.
func (q *Queue) Standing() bool { return q.standing }

// DrainTime returns how long the given number of slots needs to run all queued items.
func (q *Queue) DrainTime(slots int) time.Duration {
	return q.work / time.Duration(max(1, slots))
}

// WorkAhead returns the sum of the costs of the queued items that would run before the item.
func (q *Queue) WorkAhead(i Item) time.Duration {
	i.Flow %= Flows
	e := queuedItem{Item: i, sequence: q.sequence + 1, rank: q.rank(i)}
	var sum time.Duration
	for n := range q.items {
		if q.items[n].runsBefore(&e) {
			sum += q.items[n].Cost
		}
	}
	return sum
}

// MaxWait returns the longest predicted wait with which an item may be admitted: the time left before
// its deadline, and at most StandingWait while the queue is standing.
func (q *Queue) MaxWait(now time.Time, i Item) time.Duration {
	left := i.Deadline.Sub(now) - i.Cost
	if q.standing {
		return min(left, q.standingWaitOrDefault())
	}
	return left
}

// NextChange returns the earliest time at which a queued item can no longer complete before its deadline,
// so that Expire removes it; ok is false for an empty queue.
func (q *Queue) NextChange() (next time.Time, ok bool) {
	for n := range q.items {
		u := q.items[n].Deadline.Add(-q.items[n].Cost + 1)
		if n == 0 || u.Before(next) {
			next = u
		}
	}
	if len(q.items) == 0 {
		return time.Time{}, false
	}
	return next, true
}

func (q *Queue) nextIndex() int {
	best := -1
	for n := range q.items {
		if best < 0 || q.items[n].runsBefore(&q.items[best]) {
			best = n
		}
	}
	return best
}

func (q *Queue) lastIndex() int {
	worst := -1
	for n := range q.items {
		if worst < 0 || q.items[worst].runsBefore(&q.items[n]) {
			worst = n
		}
	}
	return worst
}

func (q *Queue) limit() int {
	if q.Limit > 0 {
		return q.Limit
	}
	return DefaultLimit
}

func (q *Queue) standingWaitOrDefault() time.Duration {
	if q.StandingWait > 0 {
		return q.StandingWait
	}
	return DefaultStandingWait
}

// confirmTime returns how long the wait has to stay on one side of Observe's bound before Observe changes
// whether the queue is standing.
func (q *Queue) confirmTime() time.Duration {
	if q.aboveBound {
		return q.interval()
	}
	return min(ExitInterval, q.interval())
}

func (q *Queue) interval() time.Duration {
	if q.Interval > 0 {
		return q.Interval
	}
	return DefaultInterval
}
