package pamember

// updateQueue holds entries with news, each with the number of messages that are still to carry it. Taking goes round, so
// that after a mass of changes all of them travel and none starves.
type updateQueue struct {
	sendsLeft map[*entry]int
	order     []*entry
}

// add lets an entry's news travel on n messages from now.
func (q *updateQueue) add(e *entry, n int) {
	if q.sendsLeft == nil {
		q.sendsLeft = map[*entry]int{}
	}
	if _, ok := q.sendsLeft[e]; !ok {
		q.order = append(q.order, e)
	}
	q.sendsLeft[e] = n
}

// drop forgets an entry.
func (q *updateQueue) drop(e *entry) { delete(q.sendsLeft, e) }

// take gives at most n entries to put on a message.
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
