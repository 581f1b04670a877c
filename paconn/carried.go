package paconn

import "time"

// maxCarried is how many requests a connection remembers. One that has carried more which may be sent again is closed.
const maxCarried = 256

// carriedRequests are the requests that a connection has carried and that may be sent again, by their IDs, with their deadlines. The
// zero value is ready for use.
//
// A target may send its response to a request once more, seconds later. The ID in it names the request, not one sending of it, so that on
// the connection of the first sending such a copy passes for the response to the next one: a rejection for one that runs.
type carriedRequests map[string]time.Time

// add notes that the connection carries a request, which is not sent again after its deadline.
func (c *carriedRequests) add(id string, deadline time.Time) {
	if *c == nil {
		*c = carriedRequests{}
	}
	(*c)[id] = deadline
}

// has reports whether the connection has carried a request that may be sent again.
func (c carriedRequests) has(id string, now time.Time) bool {
	deadline, ok := c[id]
	return ok && !now.After(deadline)
}

// Carried reports whether the connection is known to have carried a request: a response to it that arrives later is a copy.
func (c *Conn) Carried(id string) bool {
	_, ok := c.carried[id]
	return ok
}

// forgetExpired forgets the requests whose deadlines have passed, and reports whether the others are few enough to be remembered.
func (c carriedRequests) forgetExpired(now time.Time) bool {
	if len(c) < maxCarried {
		return true
	}
	for id, deadline := range c {
		if now.After(deadline) {
			delete(c, id)
		}
	}
	return len(c) < maxCarried
}
