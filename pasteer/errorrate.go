package pasteer

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of the latest request in an errorRate.
	errorWeight = 0.15
	// errorHalfLife is the time in which an errorRate decays to a half without requests. A target that is avoided gets few, and would
	// otherwise be avoided long after it has recovered.
	errorHalfLife = 10 * time.Second
)

// errorRate is the moving average of the fraction of this entry VM's requests that failed at a target. The zero value is ready for
// use.
type errorRate struct {
	value     float64
	updatedAt time.Time
}

// at returns the average, decayed until now.
func (e *errorRate) at(now time.Time) float64 {
	if e.value == 0 {
		return 0
	}
	return e.value * math.Exp2(-float64(now.Sub(e.updatedAt))/float64(errorHalfLife))
}

// add adds a request: 1 for one that failed, 0 for others.
func (e *errorRate) add(failed float64, now time.Time) {
	e.value, e.updatedAt = e.at(now)*(1-errorWeight)+errorWeight*failed, now
}
