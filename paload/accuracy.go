package paload

import "time"

// AgeClass groups beliefs by the age of the latest response behind them.
type AgeClass int

// The age classes.
const (
	// Fresh is up to half a second, Recent up to two seconds.
	Fresh AgeClass = iota
	Recent
	Old
	// Never means that nothing had been heard of the target.
	Never
	ageClasses
)

const (
	freshAge  = 500 * time.Millisecond
	recentAge = 2 * time.Second
)

// AgeClasses lists all classes.
var AgeClasses = [ageClasses]AgeClass{Fresh, Recent, Old, Never}

// String returns the name of the class in metrics.
func (c AgeClass) String() string { return [...]string{"Fresh", "Recent", "Old", "Never"}[c] }

// Accuracy sums, by age, the difference between the believed load and the one that a response reported; the zero value is ready for use.
type Accuracy struct {
	Responses [ageClasses]uint64
	// Error is the sum of the differences, in requests.
	Error [ageClasses]float64
}

// Add compares a belief with a response that has just arrived, before the belief takes it.
func (a *Accuracy) Add(b *Belief, m *Model, others, slots float64, now time.Time) {
	c := classOf(b.Age(now))
	a.Responses[c]++
	a.Error[c] += abs(b.Others(m, slots, now) - others)
}

func classOf(age time.Duration, known bool) AgeClass {
	switch {
	case !known:
		return Never
	case age <= freshAge:
		return Fresh
	case age <= recentAge:
		return Recent
	}
	return Old
}
