package pagate

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns is the open connections of callers.
type callerConns struct {
	mutex sync.Mutex
	open  map[net.Conn]callerState
	clock func() time.Time
}

// callerState is what a caller's connection does, and since when.
type callerState struct {
	state http.ConnState
	since time.Time
}

// observe follows the state of a caller's connection.
func (c *callerConns) observe(n net.Conn, s http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open == nil {
		c.open = map[net.Conn]callerState{}
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.open, n)
		return
	}
	c.open[n] = callerState{s, c.clock()}
}

// reap closes connections that were idle beyond the limit.
func (c *callerConns) reap(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for n, s := range c.open {
		if s.state == http.StateIdle && now.Sub(s.since) > limit && nothingArrived(n) {
			n.Close()
			delete(c.open, n)
		}
	}
}

// newMost is how long a connection may be open during a shutdown without a whole head of a request. Callers send
// right after they connect; a packet that is lost comes again within a second.
const newMost = 1500 * time.Millisecond

// drain closes the connections on which no request runs or has arrived, and returns how many are left.
func (c *callerConns) drain(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for n, s := range c.open {
		unused := s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > newMost
		if unused && nothingArrived(n) {
			n.Close()
			delete(c.open, n)
		}
	}
	return len(c.open)
}

// idleLimit returns how long callers may stay idle.
func (g *Gate) idleLimit() time.Duration {
	if s := g.state.Load(); s.table != nil {
		return s.table.Config.Limits.IdleTimeout
	}
	return 0
}
