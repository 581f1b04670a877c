package paqueue

import "time"

// Len returns the number of items that wait.
func (q *Queue) Len() int { return len(q.items) }

// Work returns the sum of the predicted costs of what waits.
func (q *Queue) Work() time.Duration { return q.work }

// Standing says whether the queue has been long for longer than its Interval.
func (q *Queue) Standing() bool { return q.standing }

// DrainTime returns how long the given number of slots needs for what waits.
func (q *Queue) DrainTime(slots int) time.Duration {
	return q.work / time.Duration(max(1, slots))
}

// WorkAhead returns the work that would run before the item.
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

// MaxWait returns the longest wait that an item may be admitted to: short while the queue stands,
// else up to its deadline.
func (q *Queue) MaxWait(now time.Time, i Item) time.Duration {
	left := i.Deadline.Sub(now) - i.Cost
	if q.standing {
		return min(left, q.standingWaitOrDefault())
	}
	return left
}

// NextChange returns when the queue has to be looked at next: when an item can no longer end in
// time, or when it has stood for its Interval; ok is false when it is empty.
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

// confirmTime is how long the wait has to stay high or low before it counts.
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
