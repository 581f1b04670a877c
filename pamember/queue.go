package pamember

// updateQueue holds entries with updates, each with the number of messages that still have to carry it. Entries are
// taken round robin, so that none starves after many changes at once.
type updateQueue struct {
	sendsLeft map[*entry]int
	order     []*entry
}

// add queues an entry's update for the next n messages.
func (q *updateQueue) add(e *entry, n int) {
	if q.sendsLeft == nil {
		q.sendsLeft = map[*entry]int{}
	}
	if _, ok := q.sendsLeft[e]; !ok {
		q.order = append(q.order, e)
	}
	q.sendsLeft[e] = n
}

// drop removes an entry from the queue.
func (q *updateQueue) drop(e *entry) { delete(q.sendsLeft, e) }

// take passes at most n entries to give, to be put on one message.
func (q *updateQueue) take(n int, give func(*entry)) {
	for k := len(q.order); k > 0 && n > 0; k-- {
		e := q.order[0]
		q.order = q.order[1:]
		left, ok := q.sendsLeft[e]
		if !ok {
			continue
		}
		give(e)
		n--
		if left--; left <= 0 {
			delete(q.sendsLeft, e)
			continue
		}
		q.sendsLeft[e] = left
		q.order = append(q.order, e)
	}
}
