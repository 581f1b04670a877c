package paowner

import "time"

// estimate predicts run times by an exponentially weighted moving average of the mean and of the
// mean deviation, both in nanoseconds.
type estimate struct {
	mean, deviation float64
	samples         int
}

// add includes a measured run time; weight is that of the newest sample, 0 to 1.
func (e *estimate) add(run time.Duration, weight float64) {
	v := float64(run)
	if e.samples == 0 && e.mean == 0 {
		e.mean = v
		e.deviation = v / 2
	}
	e.samples++
	d := v - e.mean
	e.mean += weight * d
	if d < 0 {
		d = -d
	}
	e.deviation += weight * (d - e.deviation)
}

// predict returns the mean run time and a high estimate, which is the given number of mean
// deviations above it; both are the fallback before the first sample.
func (e *estimate) predict(fallback time.Duration, deviations float64) (mean, high time.Duration) {
	if e.samples == 0 && e.mean == 0 {
		return fallback, fallback
	}
	return time.Duration(e.mean), time.Duration(e.mean + deviations*e.deviation)
}
