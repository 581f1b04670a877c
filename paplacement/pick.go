package paplacement

// Option is a target of this entry VM that could get a request.
type Option struct {
	// Room is how many more requests the target accepts, Limit how many it may run at once.
	Room, Limit int
	// Failures is the target's recent failure rate, 0 to 1.
	Failures float64
	// LastStart is the sequence number of the target's last request among all that were started on the
	// service's targets, or 0 if it had none.
	LastStart uint64
}

// PickTarget returns the index of the option with the smallest fraction of its slots in use, or None if
// no option has a free slot. The failure rate is added to the fraction. A target that fails fast is
// always the least loaded and would otherwise attract most requests until it is ejected.
//
// Among equal options the one whose last request started first is chosen. At low load the first one in the list
// would otherwise get nearly all requests, and the others would be cold when they are needed.
//
// Choosing by expected completion, by peak run times or by the better of two random options made no
// measurable difference, because patarget takes slow and failing targets out of use before.
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
