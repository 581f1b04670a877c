package pawaiting

import "time"

// Item is a request that waits. The caller sets the exported fields before Add and leaves them alone until the item has left.
type Item struct {
	// Target is the ID of the target whose slot it waits for; Move changes it.
	Target string
	// Priority is its urgency; 0 is the most urgent.
	Priority int
	// Workspace is the workspace that sent it; empty if it is unknown.
	Workspace string
	// Arrived is when it arrived, Due when its target latency ends, Deadline when its caller no longer accepts an answer.
	Arrived, Due, Deadline time.Time
	// Run is the expected time from when it is sent until its answer arrives.
	Run time.Duration
	// Bytes is the memory that its body takes.
	Bytes int64
	// Overtaken is how many requests that arrived later were sent before it.
	Overtaken int

	sequence uint64
	share    *share
	waits    bool
	// due and startBy are Due, and when it has to be sent to be answered by then, in Unix nanoseconds.
	due, startBy int64
}

// setRun takes another expected time from when it is sent until its answer arrives.
func (i *Item) setRun(run time.Duration) {
	i.Run = run
	i.due = i.Due.UnixNano()
	i.startBy = i.due - int64(run)
}

// Waits reports whether the item is in a Room.
func (i *Item) Waits() bool { return i.waits }

// expires returns when an answer can no longer come before the deadline, or the longest wait is over.
func (i *Item) expires(maxWait time.Duration) time.Time {
	last := i.Deadline.Add(-i.Run)
	if longest := i.Arrived.Add(maxWait); longest.Before(last) {
		return longest
	}
	return last
}

// goesBefore reports whether i is sent before o at a time, in Unix nanoseconds.
//
// Under a standing overload not all can be in time. Those that still can go first: sent in the order of arrival, or by their
// deadlines, each would be sent just when it is late.
func (i *Item) goesBefore(o *Item, now int64) bool {
	if i.Priority != o.Priority {
		return i.Priority < o.Priority
	}
	if inTime := now <= i.startBy; inTime != (now <= o.startBy) {
		return inTime
	}
	if i.share != o.share && i.share.used != o.share.used {
		return i.share.used < o.share.used
	}
	if i.due != o.due {
		return i.due < o.due
	}
	return i.sequence < o.sequence
}

// Compare orders items that wait by which goes first.
func Compare(i, o *Item, now time.Time) int {
	switch {
	case i == o:
		return 0
	case i.goesBefore(o, now.UnixNano()):
		return -1
	}
	return 1
}

// givesWayBefore reports whether i is refused before o if the room is full: the less urgent, then the one of the workspace with
// more waiting, then the newer.
func (i *Item) givesWayBefore(o *Item) bool {
	switch {
	case i.Priority != o.Priority:
		return i.Priority > o.Priority
	case i.share.waiting != o.share.waiting:
		return i.share.waiting > o.share.waiting
	}
	return i.sequence > o.sequence
}
