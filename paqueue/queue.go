package paqueue

import "time"

const (
	// DefaultLimit is the most items of a queue whose Limit is zero. A burst of several hundred callers at
	// one owner would otherwise make memory and scan time grow without bound. The limit only matters in
	// the first Interval of a burst; after it the standing wait allows far fewer items.
	DefaultLimit = 256
	// DefaultInterval is how long the wait may stay high before a queue counts as standing. A burst, such as
	// a group of callers released together, brings half a second of excess work and is over within two
	// seconds. Lower values refuse bursts that would be served in time; with higher values answers stay
	// as late as their deadlines allow under lasting overload.
	DefaultInterval = 2 * time.Second
	// ExitInterval is how long the wait has to stay low before a queue no longer counts as standing. At steady
	// saturation a short queue runs empty by chance. With lower values it would be filled up to the
	// deadlines again after each such moment; with higher values a burst soon after is refused.
	ExitInterval = 300 * time.Millisecond
	// enterFactor is the multiple of StandingWait above which the wait counts as high; a standing queue is
	// left at half of StandingWait. At 90 % of capacity random arrivals make queues of a few run times,
	// which lower values would shorten although all requests would complete in time.
	enterFactor = 4
	// DefaultAging is the weight of the predicted cost against the time of arrival in AgedShortest: a shorter
	// request overtakes a longer one if it arrived later by less than this multiple of the difference of
	// their costs. It matters for mixes of long and short requests near capacity. With lower values
	// short requests wait behind long ones; with higher values long requests starve, and requests of
	// nearly equal cost overtake each other, so that predicted waits are wrong.
	DefaultAging = 4.0
	// DefaultStandingWait is the wait to which a standing queue is shortened if its StandingWait is zero.
	DefaultStandingWait = 50 * time.Millisecond
)

// Queue is the bounded queue of one service. The zero value is ready for use.
type Queue struct {
	Order Order
	// Limit is the most items in the queue; zero means DefaultLimit.
	Limit int
	// StandingWait is the wait to which a standing queue is shortened; zero means DefaultStandingWait.
	StandingWait time.Duration
	// Interval is how long the wait may stay high before the queue counts as standing; zero means
	// DefaultInterval.
	Interval time.Duration
	// Aging overrides DefaultAging unless it is zero.
	Aging float64

	items    []queuedItem
	work     time.Duration
	sequence uint64
	perFlow  [Flows]int
	// aboveBound is the result of the last comparison in Observe, since the time of its last change.
	aboveBound bool
	since      time.Time
	standing   bool
}

// Push adds an item. If the queue is full, the item may displace one of lower priority, which is then
// returned with displaced set. If ok is false, the item was not added.
func (q *Queue) Push(i Item) (out Item, displaced, ok bool) {
	i.Flow %= Flows
	if len(q.items) >= q.limit() {
		v := q.evictionIndex(i)
		if v < 0 {
			return Item{}, false, false
		}
		out, displaced = q.removeAt(v), true
	}
	q.sequence++
	q.items = append(q.items, queuedItem{Item: i, rank: q.rank(i), sequence: q.sequence})
	q.work += i.Cost
	q.perFlow[i.Flow]++
	return out, displaced, true
}

// Pop removes and returns the item that runs next; ok is false for an empty queue.
func (q *Queue) Pop() (Item, bool) {
	n := q.nextIndex()
	if n < 0 {
		return Item{}, false
	}
	return q.removeAt(n), true
}

// Remove removes the item with the ID, whose caller has gone, and says whether it was queued.
func (q *Queue) Remove(id uint64) bool {
	for n := range q.items {
		if q.items[n].ID == id {
			q.removeAt(n)
			return true
		}
	}
	return false
}

// Expire removes one item that can no longer complete before its deadline, if there is one. Under
// overload it would otherwise use a slot for an answer that nobody waits for, and its caller would
// learn of the refusal only when there is no time left for a retry.
func (q *Queue) Expire(now time.Time) (Item, bool) {
	for n := range q.items {
		if now.Add(q.items[n].Cost).After(q.items[n].Deadline) {
			return q.removeAt(n), true
		}
	}
	return Item{}, false
}

// Observe updates whether the queue is standing, from the time that the given number of slots needs to
// drain it. A queue becomes standing after Interval above enterFactor times StandingWait, and ceases to
// be after the shorter of ExitInterval and Interval at or below half of StandingWait.
func (q *Queue) Observe(now time.Time, slots int) {
	bound := q.standingWaitOrDefault() * enterFactor
	if q.standing {
		bound = q.standingWaitOrDefault() / 2
	}
	over := q.DrainTime(slots) > bound
	if over == q.aboveBound {
		if now.Sub(q.since) >= q.confirmTime() {
			q.standing = over
		}
		return
	}
	q.aboveBound = over
	q.since = now
}

// Shorten removes the item of a standing queue that would run last; ok is false if the queue isn't
// standing or its wait is at most StandingWait. While demand is above capacity for longer than a burst,
// the queue would otherwise grow up to the deadlines and make every answer as late as they allow.
func (q *Queue) Shorten(slots int) (Item, bool) {
	if !q.standing || q.DrainTime(slots) <= q.standingWaitOrDefault() {
		return Item{}, false
	}
	return q.removeAt(q.lastIndex()), true
}

// removeAt removes the item at an index by moving the last one there.
func (q *Queue) removeAt(n int) Item {
	i := q.items[n].Item
	end := len(q.items) - 1
	q.items[n] = q.items[end]
	q.items = q.items[:end]
	q.work -= i.Cost
	q.perFlow[i.Flow]--
	return i
}

// rank returns the sort key of an item; with FIFO only the sequence counts.
func (q *Queue) rank(i Item) int64 {
	if q.Order == FIFO {
		return 0
	}
	aging := q.Aging
	if aging == 0 {
		aging = DefaultAging
	}
	return i.Arrived.UnixNano() + int64(aging*float64(i.Cost))
}

// evictionIndex returns the index of the item to evict from a full queue in favour of i, or -1. A retry is
// evicted for a first attempt; otherwise the last item of the flow with the most items is evicted, if that
// flow has at least two items more than i's flow.
func (q *Queue) evictionIndex(i Item) int {
	worst := -1
	for n := range q.items {
		e := &q.items[n]
		yields := e.Retry && !i.Retry || e.Retry == i.Retry && q.perFlow[e.Flow] > q.perFlow[i.Flow]+1
		if !yields {
			continue
		}
		if worst < 0 || q.evictsFirst(e, &q.items[worst]) {
			worst = n
		}
	}
	return worst
}

// evictsFirst says whether e is evicted rather than o: retries first, then items of the flow with the most
// items, then the item that would run last.
func (q *Queue) evictsFirst(e, o *queuedItem) bool {
	if e.Retry != o.Retry {
		return e.Retry
	}
	if q.perFlow[e.Flow] != q.perFlow[o.Flow] {
		return q.perFlow[e.Flow] > q.perFlow[o.Flow]
	}
	return o.runsBefore(e)
}
