package paqueue

import "time"

// Flows is the number of flows between which a Queue is fair.
const Flows = 16

// Item is a queued request.
type Item struct {
	// ID identifies the request to the caller of the Queue.
	ID uint64
	// Arrived is when the request arrived, Deadline when its run has to be complete.
	Arrived, Deadline time.Time
	// Cost is the predicted run time.
	Cost time.Duration
	// Retry marks a request that was attempted before, by its caller or by this system.
	Retry bool
	// Flow is the group of clients that sent the request, taken modulo Flows. In a full queue items of the
	// flow with the most items are evicted first.
	Flow uint8
}

// queuedItem is an Item with its position in the scheduling order.
type queuedItem struct {
	Item
	// rank is the sort key, smaller first; sequence is the order of insertion and breaks ties.
	rank     int64
	sequence uint64
}

// runsBefore says whether e runs runsBefore o.
func (e *queuedItem) runsBefore(o *queuedItem) bool {
	// First attempts run before retries. Retries grow with the overload that causes them, and would
	// otherwise crowd out first attempts until nothing is answered in time.
	if e.Retry != o.Retry {
		return o.Retry
	}
	if e.rank != o.rank {
		return e.rank < o.rank
	}
	return e.sequence < o.sequence
}
