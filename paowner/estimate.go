package paowner

import "time"

// estimate predicts a run time from the ones before.
type estimate struct {
	mean, deviation float64
	samples         int
}

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

// predict returns the mean, and the run time that is rarely passed.
func (e *estimate) predict(fallback time.Duration, deviations float64) (mean, high time.Duration) {
	if e.samples == 0 && e.mean == 0 {
		return fallback, fallback
	}
	return time.Duration(e.mean), time.Duration(e.mean + deviations*e.deviation)
}
