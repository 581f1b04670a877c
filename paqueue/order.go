package paqueue

// Order is the scheduling order of a Queue.
type Order int

// The scheduling orders. Four others were measured and removed again: shortest job first without
// aging, earliest deadline first, last in first out while the queue is standing, and fair sharing by
// cost.
const (
	// AgedShortest is shortest job first with aging. It runs the request with the smallest sum of its time
	// of arrival and a multiple of its predicted cost: short requests overtake long ones, requests of
	// equal cost keep their order, and no request starves.
	AgedShortest Order = iota
	// FIFO runs the oldest request first. It is the baseline that AgedShortest is measured against.
	FIFO
)

// String returns the name of the order.
func (o Order) String() string {
	if o == FIFO {
		return "FIFO"
	}
	return "AgedShortest"
}
