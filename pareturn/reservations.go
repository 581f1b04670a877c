package pareturn

import (
	"slices"
	"time"
)

const (
	// maxReservations bounds the reservations of a workspace and class at a time: those of two seconds at 128 a second.
	maxReservations = 256
	// reservationTTL is how long after its time a reservation is kept: a round trip between regions, and a new connection.
	reservationTTL = 300 * time.Millisecond
	// maxAhead is the furthest that a reservation may lie ahead; a clock that shows more was set back.
	maxAhead = time.Minute
)

// reservations are the reserved times of one workspace and class, in order.
type reservations struct {
	times []time.Duration
	// over is the last reservation that was claimed or whose time is over; 0 if there is none.
	over time.Duration
	// usedAt is when it was last used.
	usedAt time.Duration
}

// advance drops the reservations whose time is over, and all if the clock was set back.
func (r *reservations) advance(now time.Duration) {
	if n := len(r.times); now < r.usedAt || n > 0 && r.times[n-1] > now+maxAhead {
		r.times, r.over = r.times[:0], 0
	}
	r.usedAt = now
	i := 0
	for i < len(r.times) && r.times[i]+reservationTTL < now {
		i++
	}
	r.drop(i)
}

// drop removes the first reservations.
func (r *reservations) drop(n int) {
	if n > 0 {
		r.over = max(r.over, r.times[n-1])
		r.times = slices.Delete(r.times, 0, n)
	}
}

// next returns the first time from earliest on that is not reserved, if one token comes in each interval. After the rate
// fell, the reserved tokens come later than their callers were told.
func (r *reservations) next(now, earliest, interval time.Duration) time.Duration {
	at, before := earliest, time.Duration(0)
	if r.over > 0 {
		at = max(at, r.over+interval)
	}
	for _, p := range r.times {
		if p >= at+interval {
			return at
		}
		if p > now {
			before++
			at = max(at, now+before*interval)
		}
		if p > at-interval {
			at = p + interval
		}
	}
	return at
}

// ahead returns the number of reservations whose time is to come.
func (r *reservations) ahead(now time.Duration) int {
	i, _ := slices.BinarySearch(r.times, now+1)
	return len(r.times) - i
}

// reserve adds a reservation; it returns false if there are too many.
func (r *reservations) reserve(at time.Duration) bool {
	if len(r.times) >= maxReservations {
		return false
	}
	i, _ := slices.BinarySearch(r.times, at)
	r.times = slices.Insert(r.times, i, at)
	return true
}

// due returns the number of reservations whose time comes before until.
func (r *reservations) due(until time.Duration) int {
	i, _ := slices.BinarySearch(r.times, until+1)
	return i
}

// claim removes the first reservation if its time comes before until.
func (r *reservations) claim(until time.Duration) {
	if r.due(until) > 0 {
		r.drop(1)
	}
}
