package paplacement

// Option is an own target that could be given a request.
type Option struct {
	// Room is how many more requests it takes, Limit how many it may run at once.
	Room, Limit int
	// Failures is its recent failure rate, 0 to 1.
	Failures float64
	// LastStart orders the options by when each got its last request; 0 is one that never did.
	LastStart uint64
}

// PickTarget returns the index of the option with the smallest part of its slots in use, or None when none
// has room. A failure rate counts as slots in use. Load: a target that fails fast is always the
// least loaded. Harm prevented: it attracts the work of the others in the moment before it is ejected.
//
// Equal ones take turns. Load: less work than slots. Harm prevented: the first in the list gets nearly
// all of it, and the others are cold when they are needed.
//
// Choosing by expected completion, by the peak of run times or between two at random made no
// difference that could be measured: targets that are slow or fail are set aside by patarget before.
func PickTarget(options []Option) int {
	best := None
	var least float64
	for i := range options {
		o := &options[i]
		if o.Room <= 0 {
			continue
		}
		use := 1 - float64(o.Room)/float64(max(1, o.Limit)) + o.Failures
		if best == None || use < least || use == least && o.LastStart < options[best].LastStart {
			best, least = i, use
		}
	}
	return best
}
