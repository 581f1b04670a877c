package palink

const (
	// firstEstimate is the size predicted for a service that has not answered yet.
	firstEstimate = 8 << 10
	// smoothing is the weight of a new answer's size in the moving averages, which thus span about ten answers.
	smoothing = 0.1
	// deviations is how many mean deviations are added to the mean. At the mean, half of the answers would be larger
	// than predicted and their rest paced; two deviations cover nine in ten.
	deviations = 2
)

// Estimate predicts the size of a service's next answer from the previous ones. The zero value is ready to use; it is
// not safe for concurrent use.
type Estimate struct {
	mean, deviation float64
	seen            bool
}

// Observe adds the size of an answer.
func (e *Estimate) Observe(n Bytes) {
	x := float64(max(0, n))
	if !e.seen {
		e.mean, e.deviation, e.seen = x, x/2, true
		return
	}
	d := x - e.mean
	e.mean += smoothing * d
	e.deviation += smoothing * (max(d, -d) - e.deviation)
}

// Next returns the predicted size of the next answer, at most MaxShort.
func (e *Estimate) Next() Bytes {
	if !e.seen {
		return firstEstimate
	}
	return min(MaxShort, Bytes(e.mean+deviations*e.deviation))
}
