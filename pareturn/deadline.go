package pareturn

import "time"

const (
	// honouredDivisor is the divisor of the time left that yields the longest time for which a caller waits.
	honouredDivisor = 3
	// bookedFraction is the part of its whole time at which a caller with a place returns at the latest, returnedFraction that
	// at which it counts as one with a place. Callers without one return at a third or later.
	bookedFraction, returnedFraction = 0.3, 0.32
	// minReturnAge is the least age of a request that was sent before; others are delayed by their connection.
	minReturnAge = 60 * time.Millisecond
	// maxRoutes bounds the routes with a known deadline.
	maxRoutes = 512
	// deadlineTTL is how long a longest deadline counts after it was last told.
	deadlineTTL = 30 * time.Second
)

// longestKept returns how far ahead the place of a caller may lie.
func longestKept(age, left time.Duration) time.Duration {
	return time.Duration(bookedFraction*float64(age+left)) - age
}

// Deadlines are the longest times that callers of each route have told lately. A caller sends each attempt with an ID of its own,
// to any entry VM, but with less time than the attempt before. The zero value is ready for use.
type Deadlines struct{ byRoute map[string]longest }

type longest struct{ told, at time.Duration }

// Age records the time that a caller of a route has, and returns how long ago it first sent the request: 0 if it seems new.
func (d *Deadlines) Age(route string, told, now time.Duration) time.Duration {
	l, known := d.byRoute[route]
	if told >= l.told || now-l.at > deadlineTTL || now < l.at {
		if d.byRoute == nil || !known && len(d.byRoute) >= maxRoutes {
			d.byRoute = map[string]longest{}
		}
		d.byRoute[route] = longest{told, now}
		return 0
	}
	if age := l.told - told; age >= minReturnAge {
		return age
	}
	return 0
}

// HadPlace reports whether a caller that first sent its request the given time ago, and has the given time left, returns as one does
// that has a place.
func HadPlace(age, left time.Duration) bool {
	return age > 0 && float64(age) <= returnedFraction*float64(age+left)
}
