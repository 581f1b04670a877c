package pareturn

import (
	"slices"
	"time"
)

const (
	// maxPlaces bounds the places of a line that are booked at a time: those of two seconds at 128 a second.
	maxPlaces = 256
	// placeTTL is how long after its time a place is kept: a round trip between regions, and a new connection.
	placeTTL = 300 * time.Millisecond
	// maxAhead is the furthest that a place may lie ahead; a clock that shows more was set back.
	maxAhead = time.Minute
)

// line holds the places that are booked, in order of time.
type line struct {
	places []time.Duration
	// over is the last place that was claimed or whose time is over; 0 if there is none.
	over time.Duration
	// usedAt is when it was last used.
	usedAt time.Duration
}

// advance drops the places whose time is over, and all if the clock was set back.
func (l *line) advance(now time.Duration) {
	if n := len(l.places); now < l.usedAt || n > 0 && l.places[n-1] > now+maxAhead {
		l.places, l.over = l.places[:0], 0
	}
	l.usedAt = now
	i := 0
	for i < len(l.places) && l.places[i]+placeTTL < now {
		i++
	}
	l.drop(i)
}

// drop removes the first places.
func (l *line) drop(n int) {
	if n > 0 {
		l.over = max(l.over, l.places[n-1])
		l.places = slices.Delete(l.places, 0, n)
	}
}

// next returns the first time from earliest on that is free, if one place becomes free in each interval. After the rate fell, what
// is booked takes longer than it was told.
func (l *line) next(now, earliest, interval time.Duration) time.Duration {
	at, before := earliest, time.Duration(0)
	if l.over > 0 {
		at = max(at, l.over+interval)
	}
	for _, p := range l.places {
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

// ahead returns the number of places whose time is to come.
func (l *line) ahead(now time.Duration) int {
	i, _ := slices.BinarySearch(l.places, now+1)
	return len(l.places) - i
}

// book adds a place; it returns false if there are too many.
func (l *line) book(at time.Duration) bool {
	if len(l.places) >= maxPlaces {
		return false
	}
	i, _ := slices.BinarySearch(l.places, at)
	l.places = slices.Insert(l.places, i, at)
	return true
}

// due returns the number of places whose time comes before until.
func (l *line) due(until time.Duration) int {
	i, _ := slices.BinarySearch(l.places, until+1)
	return i
}

// claim removes the first place if its time comes before until.
func (l *line) claim(until time.Duration) {
	if l.due(until) > 0 {
		l.drop(1)
	}
}
