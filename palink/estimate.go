package palink

const (
	// firstEstimate is booked for an answer of a service that has not answered yet.
	firstEstimate = 8 << 10
	// smoothing is the part of a new answer's size in the mean. Value: ten answers make up the mean.
	smoothing = 0.1
	// deviations is how many mean deviations are added. Harm: an estimate at the mean is too small for
	// half of the answers, whose rest is then paced. Value: two cover nine in ten.
	deviations = 2
)

// Estimate guesses the size of a service's next answer from the last ones. The zero value is ready;
// it is used by one goroutine at a time.
type Estimate struct {
	mean, deviation float64
	seen            bool
}

// Observe takes the size of an answer.
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

// Next returns the bytes to book for an answer, at most MaxShort.
func (e *Estimate) Next() Bytes {
	if !e.seen {
		return firstEstimate
	}
	return min(MaxShort, Bytes(e.mean+deviations*e.deviation))
}
