package palane

import "papayahead/pabuffer"

// assignLane returns a lane for the next request. It waits while MaxPipelined requests are in flight, or as many as there is room for. last
// says that the request is the last one. It fails with errNoRoom, or with ErrConnectionEnded if no more requests are accepted.
func (c *conn) assignLane(last bool) (*Lane, error) {
	lane, err := c.acquireLane()
	if err != nil {
		return nil, err
	}
	if !c.startLane(lane, last || c.refused) {
		return nil, ErrConnectionEnded
	}
	return lane, nil
}

// acquireLane returns an idle lane or a new one.
func (c *conn) acquireLane() (*Lane, error) {
	if !c.waitUntil(func() bool { return len(c.inFlight) < c.listener.maxPipelined() }) {
		return nil, ErrConnectionEnded
	}
	if lane := c.popIdleLane(); lane != nil {
		return lane, nil
	}
	memory := c.listener.config.Memory
	if !memory.Take(pabuffer.Connections, laneCost) {
		c.listener.lacksMemory()
		// One of the requests in flight leaves a lane that serves this one too.
		if !c.waitUntil(func() bool { return len(c.idleLanes) > 0 || len(c.inFlight) == 0 }) {
			return nil, ErrConnectionEnded
		}
		if lane := c.popIdleLane(); lane != nil {
			return lane, nil
		}
		if !memory.Take(pabuffer.Connections, laneCost) {
			return nil, errNoRoom
		}
	}
	lane := newLane(c)
	select {
	case c.listener.lanes <- lane:
		return lane, nil
	case <-c.listener.ctx.Done():
		memory.PutBack(pabuffer.Connections, laneCost)
		return nil, ErrConnectionEnded
	}
}

// startLane gives a lane the next request, and what that has taken of the memory. It reports whether requests are still accepted.
func (c *conn) startLane(lane *Lane, last bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped || lane.closed {
		lane.retire()
		return false
	}
	c.stopped = last
	lane.start()
	lane.claim.Move(&c.claim)
	c.inFlight = append(c.inFlight, lane)
	if len(c.inFlight) == 1 {
		close(lane.turn)
	}
	return true
}

func (c *conn) popIdleLane() *Lane {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := len(c.idleLanes)
	if n == 0 {
		return nil
	}
	lane := c.idleLanes[n-1]
	c.idleLanes = c.idleLanes[:n-1]
	return lane
}
