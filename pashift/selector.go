package pashift

import (
	"math"
	"time"

	"papayahead/pabundle"
)

const (
	// minRetryAfter and maxComeBack bound the time to come back. Harm: sooner, refused callers double
	// the load; later, they miss the room that the shift has made. Value: a second is a step of the
	// shift, half a minute a usual window.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// arrivalSlack is by how much the rate of arrivals may pass the share's part of the demand.
	// Harm: without slack the ordinary scatter of arrivals is refused. Value: three times the
	// scatter of 150 requests in the burst.
	arrivalSlack = 1.25
	// arrivalBurst is the time over which arrivals are counted.
	arrivalBurst = 2 * time.Second
)

// Route is the choice for one request or look-up.
type Route struct {
	// Region is where it goes, unless Refused.
	Region pabundle.RegionName
	// Refused says that it may go nowhere yet.
	Refused bool
	// RetryAfter is when to ask again after a refusal, jittered.
	RetryAfter time.Duration
}

// Selector makes single choices from tables by counted deficit. The zero value is ready; it is used
// by one goroutine at a time, and several counters may share a Table.
type Selector struct {
	deficits map[deficitKey]*deficit
	arrivals map[arrivalKey]*arrivalBucket
}

type deficitKey struct {
	use     Use
	service pabundle.ServiceName
	from    pabundle.RegionName
}

// deficit is what each destination is owed, in requests; the last entry is for refusals.
type deficit struct {
	regions []pabundle.RegionName
	owed    row
	weights row
}

type arrivalKey struct {
	service    pabundle.ServiceName
	from, here pabundle.RegionName
}

type arrivalBucket struct {
	tokens float64
	at     time.Time
}

// Route chooses a region for one look-up or request of a region's callers; random is in [0, 1).
//
// The load is a share during a shift. Each destination is owed its weight for every request, and
// the one that is owed most gets it. What a destination got can then pass what it was owed by one
// request, at any time and over any stretch by one for each destination: drawing at random would
// pass the cap whenever the draw is unlucky.
func (c *Selector) Route(t *Table, use Use, service pabundle.ServiceName, from pabundle.RegionName, random float64) Route {
	p, i := t.services[service], t.index(from)
	if p == nil || i < 0 {
		return Route{Refused: true, RetryAfter: retryAfter(1, 0, random)}
	}
	weights := p.lookUps[i]
	if use == Forward {
		weights = p.forwards[i]
	}
	d := c.deficit(deficitKey{use, service, from}, t.regions, random)
	d.setWeights(weights, use, i)
	k := d.next()
	if k < len(t.regions) {
		return Route{Region: t.regions[k]}
	}
	if use == LookUp && (p.forwardOnly || p.rows[i][i] > 0) {
		return Route{Region: from}
	}
	return Route{Refused: true, RetryAfter: retryAfter(1-p.rows[i].sum(), p.rate, random)}
}

// AdmitArrival decides on a request that reached an entry VM of the region here although its caller
// belongs to another region: by a look-up, or because the caller went on along its list.
//
// The load is a region whose entry VMs are gone: all its callers arrive elsewhere at once. They are
// taken up to the share's part of the region's known demand; the rest comes back while shares move.
func (c *Selector) AdmitArrival(t *Table, now time.Time, service pabundle.ServiceName, from, here pabundle.RegionName, random float64) Route {
	p, i, j := t.services[service], t.index(from), t.index(here)
	if p == nil || j < 0 {
		return Route{Refused: true, RetryAfter: retryAfter(1, 0, random)}
	}
	if i < 0 || i == j || p.demand[i] == 0 {
		return Route{Region: here}
	}
	a := c.arrival(arrivalKey{service, from, here}, now)
	allowed := p.rows[i][j] * p.demand[i] * arrivalSlack
	limit := math.Max(1, allowed*arrivalBurst.Seconds())
	a.tokens = math.Min(limit, a.tokens+allowed*max(0, now.Sub(a.at).Seconds()))
	a.at = now
	if a.tokens < 1 {
		return Route{Refused: true, RetryAfter: retryAfter(1-p.rows[i][j], p.rate, random)}
	}
	a.tokens--
	return Route{Region: here}
}

func (c *Selector) deficit(k deficitKey, regions []pabundle.RegionName, random float64) *deficit {
	if c.deficits == nil {
		c.deficits = make(map[deficitKey]*deficit)
	}
	d := c.deficits[k]
	if d == nil || !sameRegions(d.regions, regions) {
		n := len(regions) + 1
		d = &deficit{regions: regions, owed: make(row, n), weights: make(row, n)}
		// Counters start at different places, or all daemons would send their first requests alike.
		d.owed[n-1] = -random
		c.deficits[k] = d
	}
	return d
}

func (c *Selector) arrival(k arrivalKey, now time.Time) *arrivalBucket {
	if c.arrivals == nil {
		c.arrivals = make(map[arrivalKey]*arrivalBucket)
	}
	a := c.arrivals[k]
	if a == nil {
		a = &arrivalBucket{tokens: 1, at: now}
		c.arrivals[k] = a
	}
	return a
}

// setWeights sets the weights of the next choice. A request that is to stay in its caller's region has
// the rest of the ratios; a refusal has what is left of 1.
func (d *deficit) setWeights(w row, use Use, own int) {
	copy(d.weights, w)
	n := len(w)
	var moved float64
	for i, x := range w {
		if i != own {
			moved += x
		}
	}
	if use == Forward {
		if moved > 1 {
			for i := range w {
				d.weights[i] /= moved
			}
			moved = 1
		}
		d.weights[own] = math.Min(d.weights[own], 1-moved)
	}
	d.weights[n] = math.Max(0, 1-d.weights[:n].sum())
}

func (d *deficit) next() int {
	best := -1
	for i, w := range d.weights {
		d.owed[i] += w
		if w > 0 && (best < 0 || d.owed[i] > d.owed[best]) {
			best = i
		}
	}
	d.owed[best]--
	return best
}

// retryAfter is the time until half of the missing share may have moved, with jitter so that refused
// callers do not return together.
func retryAfter(missing, rate, random float64) time.Duration {
	wait := maxRetryAfter.Seconds()
	if rate > 0 {
		wait = math.Min(wait, missing/rate/2)
	}
	wait = math.Max(wait, minRetryAfter.Seconds()) * (0.5 + random)
	return max(minRetryAfter, time.Duration(wait*float64(time.Second)))
}

func sameRegions(a, b []pabundle.RegionName) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
