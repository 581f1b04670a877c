package paquarantine

import (
	"sync"
	"time"
)

// endMemory is how long after a target has ended further requests that it had are added.
const endMemory = 5 * time.Second

// EndChecks are the targets that may have ended, or have, and the requests that they had. The zero value is ready for use, by several
// goroutines.
type EndChecks struct {
	mutex  sync.Mutex
	checks map[Lifetime]*endCheck
}

// endCheck is a target to which a connection ended while a request waited for its response.
type endCheck struct {
	begun   time.Time
	ended   bool
	waiting []Loss
}

// Add adds a loss. It returns start if the target is to be checked for it, and ended if the target is known to have ended;
// otherwise the loss waits for the check.
func (e *EndChecks) Add(l Loss) (start, ended bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checks == nil {
		e.checks = map[Lifetime]*endCheck{}
	}
	for t, c := range e.checks {
		if l.Ended.Sub(c.begun) > endMemory {
			delete(e.checks, t)
		}
	}
	c := e.checks[l.Target]
	if c != nil && c.ended {
		return false, true
	}
	if c == nil {
		c = &endCheck{begun: l.Ended}
		e.checks[l.Target] = c
		start = true
	}
	c.waiting = append(c.waiting, l)
	return start, false
}

// Finish records the result of a check and returns the losses that waited for it.
func (e *EndChecks) Finish(t Lifetime, ended bool) []Loss {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.checks[t]
	if c == nil {
		return nil
	}
	waiting := c.waiting
	c.ended, c.waiting = ended, nil
	if !ended {
		delete(e.checks, t)
	}
	return waiting
}
