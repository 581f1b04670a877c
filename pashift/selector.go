package pashift

import (
	"math"
	"time"

	"papayahead/pabundle"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of refused requests. With a shorter one,
	// refused callers double the load; with a longer one, they do not use the capacity that the shift
	// has freed. A second is one step of the shift, half a minute a usual window.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// arrivalSlack is the factor by which arrivals may exceed the share of the demand. Without slack,
	// ordinary variation of arrivals is refused. It allows three standard deviations of 150 requests
	// in arrivalBurst.
	arrivalSlack = 1.25
	// arrivalBurst is the time whose arrivals the token bucket holds.
	arrivalBurst = 2 * time.Second
)

// Route is the region chosen for one request or look-up.
type Route struct {
	// Region is the destination, unless Refused.
	Region pabundle.RegionName
	// Refused means that no region may take it yet.
	Refused bool
	// RetryAfter is the delay before a retry after a refusal, with jitter.
	RetryAfter time.Duration
}

// Selector chooses regions from tables by deficit round robin. The zero value is ready to use. It is not
// safe for concurrent use, but several selectors may share a Table.
type Selector struct {
	deficits map[deficitKey]*deficit
	arrivals map[arrivalKey]*arrivalBucket
}

type deficitKey struct {
	use     Use
	service pabundle.ServiceName
	from    pabundle.RegionName
}

// deficit counts the requests that each destination is owed; the last entry stands for refusals.
type deficit struct {
	regions []pabundle.RegionName
	owed    row
	weights row
}

type arrivalKey struct {
	service    pabundle.ServiceName
	from, here pabundle.RegionName
}

// arrivalBucket is the token bucket that limits the arrivals from one region.
type arrivalBucket struct {
	tokens float64
	at     time.Time
}

// Route chooses the region for one look-up or request of the callers of the region from; random is in
// [0, 1).
//
// Every request adds the weight of each destination to its deficit, and the destination with the largest
// deficit gets the request. So a destination exceeds its due by at most one request at any time, and
// over any interval by at most one per destination. A random draw could exceed the cap.
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

// AdmitArrival decides whether the region here accepts a request of a caller of the region from. Such a
// request arrives because of a look-up, or because the caller tried the next entry VM on its list.
//
// If all entry VMs of a region fail, all its callers arrive elsewhere at once. They are accepted up to
// the share of the region's known demand; the rest is refused and retries while the shares shift.
func (c *Selector) AdmitArrival(
	t *Table, now time.Time, service pabundle.ServiceName, from, here pabundle.RegionName, random float64,
) Route {
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
		// A random start, as otherwise all entry VMs would send their first requests to the same region.
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

// setWeights sets the weights of the next choice. For Forward, the ratios of other regions are scaled down
// if they add up to more than 1, and the caller's own region gets at most what they leave. A refusal
// gets the remainder to 1.
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

// next returns the index of the destination with the largest deficit and takes one request off it.
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

// retryAfter returns the time until half of the missing share can have moved, with jitter so that refused
// callers do not retry at the same moment.
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
