package paqueue

import "time"

// Flows is the number of flows that a Queue keeps apart.
const Flows = 16

// Item is a request that waits.
type Item struct {
	// ID is the caller's name for the request.
	ID uint64
	// Arrived and Deadline bound its wait.
	Arrived, Deadline time.Time
	// Cost is the predicted run time.
	Cost time.Duration
	// Retry marks a request that was attempted before, by its caller or by the system.
	Retry bool
	// Flow is who the request is for, taken modulo Flows; flows share the queue.
	Flow uint8
}

// queuedItem is an Item in its place.
type queuedItem struct {
	Item
	// rank is what the order compares, smaller first; sequence breaks ties.
	rank     int64
	sequence uint64
}

// runsBefore says whether e runs runsBefore o.
func (e *queuedItem) runsBefore(o *queuedItem) bool {
	// Load: callers who repeat while first attempts wait. Harm prevented: repeats, which grow with
	// the overload that causes them, crowd out first attempts until nothing is answered in time.
	if e.Retry != o.Retry {
		return o.Retry
	}
	if e.rank != o.rank {
		return e.rank < o.rank
	}
	return e.sequence < o.sequence
}
