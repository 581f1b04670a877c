// Package pashift computes which share of each region's requests for a service is sent to each region,
// and limits how fast these shares change. A roll-out puts a bundle (the configuration) into force; when
// it changes shares, traffic shifts gradually, because the caches of the receiving targets are cold.
//
// All entry VMs compute the same schedule: SharesAt depends only on the roll-out in force and the time,
// so a VM that has just started without state agrees with its neighbours. A Limiter follows the
// schedule, moves shares away from regions that are down or overloaded, and raises no share faster than
// the bundle's ShiftCap, whatever the schedule, the clock or the readings do. Limiter.Step returns an
// immutable Table. A Selector chooses the region of each request from it by deficit round robin, so that
// the counted requests keep to the shares, and not only their probabilities.
//
// Callers reach other regions in two ways: a look-up returns the region whose entry VMs they should
// contact, and an entry VM forwards requests to other regions. Both use one budget: look-ups distribute
// the shares, and a request is forwarded only if that cannot exceed a share, however many callers look
// up. Requests that may not move yet are refused with a retry delay.
package pashift
