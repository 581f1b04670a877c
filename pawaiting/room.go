package pawaiting

import (
	"iter"
	"time"
)

const (
	// DefaultRequests is the most requests of a Room whose Config sets none. With more of them the last is answered seconds
	// later than callers wait.
	DefaultRequests = 1024
	// DefaultBytes is the most memory that bodies take in a Room whose Config sets none: a few of the largest bodies that
	// are held, on the smallest machine.
	DefaultBytes = 16 << 20
	// DefaultWait is the longest wait in a Room whose Config sets none.
	DefaultWait = 10 * time.Second
	// DefaultLeastShare is the share of the slots' time that the least urgent get in a Room whose Config sets none.
	DefaultLeastShare = 0.05
	// maxCredit bounds the slot time that is owed to the least urgent: a few of their runs.
	maxCredit = 2 * time.Second
)

// Config bounds a Room. A field that is 0 stands for its default.
type Config struct {
	// Requests, Bytes and Wait bound how many requests wait, the memory of their bodies, and for how long each waits.
	Requests int
	Bytes    int64
	Wait     time.Duration
	// LeastShare is the share of the slots' time that the least urgent of those that wait get while more urgent ones wait.
	LeastShare float64
}

// Room holds the requests of one entry VM that wait. The zero value is ready for use.
type Room struct {
	Config Config

	queues map[string]*queue
	// spare are queues that became empty, to be used again.
	spare    []*queue
	shares   shares
	sequence uint64
	requests int
	bytes    int64
	counts   [priorityClasses]int
	// credit is the slot time that is owed to the least urgent.
	credit time.Duration
}

func orDefault[T int | int64 | float64 | time.Duration](v, other T) T {
	if v == 0 {
		return other
	}
	return v
}

// CountArrival counts a request of a workspace, whether or not it has to wait. What workspaces send tells how slots are divided
// among them while there are too few.
func (r *Room) CountArrival(workspace string, now time.Time) {
	r.shares.of(workspace, now).countArrival(now)
}

// CountSent counts a request of a workspace that is sent without having waited.
func (r *Room) CountSent(workspace string, now time.Time) {
	r.shares.countSent(r.shares.of(workspace, now), now)
}

// Add lets an item wait. If the room is full, less urgent items are removed and returned as evicted; ok is false if the item
// itself has to give way.
func (r *Room) Add(i *Item, now time.Time) (evicted []*Item, ok bool) {
	r.sequence++
	i.setRun(i.Run)
	i.sequence, i.share = r.sequence, r.shares.of(i.Workspace, now)
	i.share.waiting++ // As if it were here, so that it compares with those that are.
	defer func() {
		if !ok {
			i.share.waiting--
		}
	}()
	if i.Bytes > r.bytesFor(i) {
		return nil, false
	}
	for r.requests >= orDefault(r.Config.Requests, DefaultRequests) || r.bytes+i.Bytes > orDefault(r.Config.Bytes, DefaultBytes) {
		worst := r.worst(i)
		if worst == i {
			return evicted, false
		}
		r.Remove(worst)
		evicted = append(evicted, worst)
	}
	i.waits = true
	r.requests++
	r.bytes += i.Bytes
	r.counts[classOf(i.Priority)]++
	r.queue(i.Target).add(i)
	return evicted, true
}

// bytesFor returns how many bytes are free for an item once all that give way to it have done so.
func (r *Room) bytesFor(i *Item) int64 {
	free := orDefault(r.Config.Bytes, DefaultBytes) - r.bytes
	if free >= i.Bytes {
		return free
	}
	for o := range r.All() {
		if o.givesWayBefore(i) {
			free += o.Bytes
		}
	}
	return free
}

// worst returns the one that gives way first, of the item and those that wait.
func (r *Room) worst(i *Item) *Item {
	worst := i
	for o := range r.All() {
		if o.givesWayBefore(worst) {
			worst = o
		}
	}
	return worst
}

// queue returns the queue of a target, creating it if needed.
func (r *Room) queue(target string) *queue {
	if q := r.queues[target]; q != nil {
		return q
	}
	if r.queues == nil {
		r.queues = map[string]*queue{}
	}
	q := &queue{}
	if last := len(r.spare) - 1; last >= 0 {
		q, r.spare = r.spare[last], r.spare[:last]
	}
	r.queues[target] = q
	return q
}

// leaveQueue removes the item from the queue of its target.
func (r *Room) leaveQueue(i *Item) {
	q := r.queues[i.Target]
	q.remove(i)
	if len(q.items) == 0 {
		delete(r.queues, i.Target)
		r.spare = append(r.spare, q)
	}
}

// Move lets an item wait for another target, where its expected time may be another.
func (r *Room) Move(i *Item, target string, run time.Duration) {
	i.setRun(run)
	if i.Target == target {
		return
	}
	r.leaveQueue(i)
	i.Target = target
	r.queue(target).add(i)
}

// SetPriority changes the urgency of an item that waits.
func (r *Room) SetPriority(i *Item, priority int) {
	if i.Priority == priority {
		return
	}
	r.leaveQueue(i)
	r.counts[classOf(i.Priority)]--
	i.Priority = priority
	r.counts[classOf(priority)]++
	r.queue(i.Target).add(i)
}

// Remove removes an item that is not sent: it is refused, or its caller left.
func (r *Room) Remove(i *Item) {
	if !i.waits {
		return
	}
	r.leaveQueue(i)
	i.waits = false
	i.share.waiting--
	r.requests--
	r.bytes -= i.Bytes
	r.counts[classOf(i.Priority)]--
}

// Send removes an item that is sent to a target, and counts it for its workspace.
func (r *Room) Send(i *Item, now time.Time) {
	for _, o := range r.queues[i.Target].items {
		if o.sequence < i.sequence {
			o.Overtaken++
		}
	}
	if least := r.leastPriority(); classOf(i.Priority) == least {
		r.credit = max(0, r.credit-i.Run)
	} else {
		owed := orDefault(r.Config.LeastShare, DefaultLeastShare) * float64(i.Run)
		r.credit = min(maxCredit, r.credit+time.Duration(owed))
	}
	r.Remove(i)
	r.shares.countSent(i.share, now)
}

// leastPriority returns the class of the least urgent that wait.
func (r *Room) leastPriority() int {
	for c := priorityClasses - 1; c > 0; c-- {
		if r.counts[c] > 0 {
			return c
		}
	}
	return 0
}

// Next returns the item that gets the next free slot of a target; nil if none waits for it.
//
// The most urgent goes first, but now and then a slot is owed to the least urgent, which would otherwise wait as long as a more
// urgent workspace keeps all slots busy.
func (r *Room) Next(target string, now time.Time) *Item {
	q := r.queues[target]
	if q == nil {
		return nil
	}
	if r.credit > 0 && q.counts[r.leastPriority()] > 0 {
		if i := q.leastUrgent(now.UnixNano()); r.credit >= min(maxCredit, i.Run) {
			return i
		}
	}
	return q.first(now.UnixNano())
}

// Ahead returns how many wait for a target that are at least as urgent.
func (r *Room) Ahead(target string, priority int) (n int) {
	q := r.queues[target]
	if q == nil {
		return 0
	}
	for _, count := range q.counts[:classOf(priority)+1] {
		n += count
	}
	return n
}

// Position returns how many wait for the item's target that go before it.
func (r *Room) Position(i *Item, now time.Time) (n int) {
	for _, o := range r.queues[i.Target].items {
		if o != i && o.goesBefore(i, now.UnixNano()) {
			n++
		}
	}
	return n
}

// Expires returns when the item is to be refused: an answer can no longer come before its deadline, or it waited too long.
func (r *Room) Expires(i *Item) time.Time { return i.expires(orDefault(r.Config.Wait, DefaultWait)) }

// Len returns how many requests wait.
func (r *Room) Len() int { return r.requests }

// Bytes returns the memory that the bodies of those that wait take.
func (r *Room) Bytes() int64 { return r.bytes }

// Waiting returns how many requests of a priority wait; priorities beyond the seventh count together.
func (r *Room) Waiting(priority int) int { return r.counts[classOf(priority)] }

// All returns the items that wait, in no order.
func (r *Room) All() iter.Seq[*Item] {
	return func(yield func(*Item) bool) {
		for _, q := range r.queues {
			for _, i := range q.items {
				if !yield(i) {
					return
				}
			}
		}
	}
}
