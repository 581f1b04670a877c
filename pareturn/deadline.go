package pareturn

import (
	"slices"
	"time"
)

const (
	// honouredDivisor is the divisor of the time left that yields the longest time for which a caller waits.
	honouredDivisor = 3
	// reservationFraction is the part of that up to which a reservation may lie ahead. The rest is for the connection and the request.
	reservationFraction = 0.9
	// connectTime is what a caller's new connection and its request may take.
	connectTime = 100 * time.Millisecond
	// latestReturn is the part of the longest deadline that a caller with a reservation still has when it returns. It is a little
	// over two thirds: a caller without a reservation waits for a third of its time, and has less left.
	latestReturn = 0.68
	// samples is how many deadlines of first attempts are kept for a route, minSamples how many tell where they lie.
	samples, minSamples = 64, 16
	// maxRoutes bounds the routes with known deadlines.
	maxRoutes = 512
)

// Deadlines are the deadlines that callers of each route tell at their first attempt. Each attempt has an ID of its own and comes to
// any entry VM, but with less time than the attempt before: one that has less than any first attempt returns. The zero value is ready
// for use.
type Deadlines struct{ byRoute map[string]*routeDeadlines }

type routeDeadlines struct {
	told []time.Duration
	next int
	// shortest and longest are those of told, without the shortest one, which may be a return.
	shortest, longest time.Duration
	// refusedAt is when a caller was refused last.
	refused   bool
	refusedAt time.Duration
}

// Note records the time that a caller has. While callers are refused nothing is learned from it, as it may return.
func (d *Deadlines) Note(route string, told, now time.Duration) {
	r := d.of(route)
	if r.refused && now >= r.refusedAt && now-r.refusedAt <= max(r.longest, told) {
		return
	}
	r.refused = false
	if len(r.told) < samples {
		r.told = append(r.told, told)
	} else {
		r.told[r.next] = told
	}
	r.next = (r.next + 1) % samples
	sorted := slices.Sorted(slices.Values(r.told))
	r.shortest, r.longest = sorted[min(1, len(sorted)-1)], sorted[len(sorted)-1]
}

// NoteRefused records that a caller of the route is refused.
func (d *Deadlines) NoteRefused(route string, now time.Duration) {
	r := d.of(route)
	r.refused, r.refusedAt = true, now
}

// HasReservation reports whether a caller with the given time left returns like one with a reservation.
func (d *Deadlines) HasReservation(route string, left time.Duration) bool {
	r := d.byRoute[route]
	return r.known() && left < r.shortest && left > r.latest()
}

// Window returns between which times a caller with the given time left may have a reservation: it waits that long, and is recognized when it
// returns. If the deadlines of the route are unknown or differ too much, no caller can be recognized by its time left.
func (d *Deadlines) Window(route string, left time.Duration) (from, to time.Duration) {
	to = time.Duration(reservationFraction * float64(left/honouredDivisor))
	if r := d.byRoute[route]; r.known() {
		from, to = max(0, left-r.shortest), min(to, left-r.latest()-connectTime)
	}
	return from, to
}

func (r *routeDeadlines) known() bool {
	return r != nil && len(r.told) >= minSamples && r.latest()+connectTime < r.shortest
}

// latest returns the least time that a caller with a reservation has when it returns.
func (r *routeDeadlines) latest() time.Duration {
	return time.Duration(latestReturn * float64(r.longest))
}

func (d *Deadlines) of(route string) *routeDeadlines {
	r := d.byRoute[route]
	if r == nil {
		if d.byRoute == nil || len(d.byRoute) >= maxRoutes {
			d.byRoute = map[string]*routeDeadlines{}
		}
		r = &routeDeadlines{}
		d.byRoute[route] = r
	}
	return r
}
