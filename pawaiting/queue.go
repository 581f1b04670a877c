package pawaiting

import "slices"

// priorityClasses is how many priorities are counted apart; all less urgent ones count as the last.
const priorityClasses = 8

func classOf(priority int) int { return max(0, min(priorityClasses-1, priority)) }

// queue holds the items that wait for one target, in no order.
type queue struct {
	items  []*Item
	counts [priorityClasses]int
}

func (q *queue) add(i *Item) {
	q.items = append(q.items, i)
	q.counts[classOf(i.Priority)]++
}

func (q *queue) remove(i *Item) {
	n, last := slices.Index(q.items, i), len(q.items)-1
	q.items[n], q.items[last] = q.items[last], nil
	q.items = q.items[:last]
	q.counts[classOf(i.Priority)]--
}

// first returns the item that goes next.
func (q *queue) first(now int64) *Item {
	best := q.items[0]
	for _, i := range q.items[1:] {
		if i.goesBefore(best, now) {
			best = i
		}
	}
	return best
}

// leastUrgent returns the item that goes next of the least urgent ones.
func (q *queue) leastUrgent(now int64) *Item {
	best := q.items[0]
	for _, i := range q.items[1:] {
		if i.Priority > best.Priority || i.Priority == best.Priority && i.goesBefore(best, now) {
			best = i
		}
	}
	return best
}
