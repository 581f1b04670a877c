package paqueue

import "time"

const (
	// DefaultLimit bounds a queue whose Limit is zero. Load: a burst of several hundred callers at
	// one owner. Harm: memory and scan time grow without bound. The standing delay binds long
	// before it; the limit holds for the first Interval of a burst.
	DefaultLimit = 256
	// DefaultInterval is how long a queue may stand before it is shortened. Load: bursts, such as
	// a group of callers released together, which half a second of excess work ends within two.
	// Harm of less: bursts that would be served in time are refused; of more: under lasting overload
	// answers go on to be as late as their deadlines allow.
	DefaultInterval = 2 * time.Second
	// ExitInterval is how long the wait has to stay low before a queue counts as standing no more. Load:
	// steady saturation, at which a short queue runs empty by chance. Harm of less: it is fed up to
	// the deadlines again after each such moment; of more: a burst soon after is refused.
	ExitInterval = 300 * time.Millisecond
	// enterFactor is how many times Standing the wait has to be for a queue to count as standing; it
	// counts no more at half of Standing. Load: 90 % of capacity, at which random arrivals make
	// queues of a few run times. Harm of less: they are shortened although all would be in time.
	enterFactor = 4
	// DefaultAging is how many times the difference of their costs short work may arrive later than
	// long work and still run first. Load: a mix of long and short work near capacity. Harm of
	// less: short work waits behind long; of more: long work starves, and requests of nearly equal
	// cost overtake each other, so that predicted waits do not hold.
	DefaultAging = 4.0
	// DefaultStandingWait is the wait that a standing queue is shortened to, for a Queue without one.
	DefaultStandingWait = 50 * time.Millisecond
)

// Queue is the bounded queue of one service. The zero value is ready for use.
type Queue struct {
	// Order chooses what runs next.
	Order Order
	// Limit is the most items that wait; zero means DefaultLimit.
	Limit int
	// StandingWait is the wait that a standing queue is shortened to; zero means DefaultStandingWait.
	StandingWait time.Duration
	// Interval is how long the wait may stay above Standing; zero means DefaultInterval.
	Interval time.Duration
	// Aging stands for DefaultAging unless zero.
	Aging float64

	items    []queuedItem
	work     time.Duration
	sequence uint64
	perFlow  [Flows]int
	// aboveBound says that the wait is above half of Standing, since when that has not changed.
	aboveBound bool
	since      time.Time
	standing   bool
}

// Push adds an item. When the queue is full the item may displace one that counts less, which is
// returned with displaced true; when ok is false the item itself was not taken.
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

// Pop removes the item that runs next.
func (q *Queue) Pop() (Item, bool) {
	n := q.nextIndex()
	if n < 0 {
		return Item{}, false
	}
	return q.removeAt(n), true
}

// Remove takes an item out by its ID, for a caller that has gone.
func (q *Queue) Remove(id uint64) bool {
	for n := range q.items {
		if q.items[n].ID == id {
			q.removeAt(n)
			return true
		}
	}
	return false
}

// Expire removes one item that can no longer end in time, if there is one. Load: any overload.
// Harm prevented: a slot is spent on an answer that nobody waits for, and the caller learns of it
// only when its time for a second try is gone.
func (q *Queue) Expire(now time.Time) (Item, bool) {
	for n := range q.items {
		if now.Add(q.items[n].Cost).After(q.items[n].Deadline) {
			return q.removeAt(n), true
		}
	}
	return Item{}, false
}

// Observe tells the queue how many slots serve it, and updates whether it stands.
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

// Shorten removes one item of a queue that stands, the one that would run last, until the wait is
// down to Standing. Load: demand above capacity for longer than a burst. Harm prevented: a queue
// as long as the deadline makes every answer as late as it may be.
func (q *Queue) Shorten(slots int) (Item, bool) {
	if !q.standing || q.DrainTime(slots) <= q.standingWaitOrDefault() {
		return Item{}, false
	}
	return q.removeAt(q.lastIndex()), true
}

func (q *Queue) removeAt(n int) Item {
	i := q.items[n].Item
	end := len(q.items) - 1
	q.items[n] = q.items[end]
	q.items = q.items[:end]
	q.work -= i.Cost
	q.perFlow[i.Flow]--
	return i
}

// rank is the item's place in the order.
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

// evictionIndex chooses what gives way to i in a full queue: a retry to a first attempt, else the last
// item of the flow that holds most, when that is more than i's own flow holds.
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

func (q *Queue) evictsFirst(e, o *queuedItem) bool {
	if e.Retry != o.Retry {
		return e.Retry
	}
	if q.perFlow[e.Flow] != q.perFlow[o.Flow] {
		return q.perFlow[e.Flow] > q.perFlow[o.Flow]
	}
	return o.runsBefore(e)
}
