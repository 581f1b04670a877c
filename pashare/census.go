package pashare

import (
	"iter"
	"time"

	"papayahead/pahash"
)

// Census counts the entry VMs that share with this one. Times are since any fixed moment, on a clock that goes on while the VM is
// suspended.
type Census struct {
	// Name is the name of this entry VM.
	Name string
	// MaxAge is the age of the state from which this entry VM has no part.
	MaxAge time.Duration

	// registered are those that the state names, departed those that left and when that was known.
	registered map[string]bool
	departed   map[string]time.Duration
	// revision is that of this entry VM's own registration, knownAt when a state first had it.
	revision uint64
	knownAt  time.Duration
	// parts are the parts of this entry VM, computed for the present members.
	parts map[resource]float64
}

// resource is something that is divided into a number of parts.
type resource struct {
	name  string
	parts int
}

// Observe takes the names of the entry VMs that the newest state names, and the revision of this one's own registration. It may be
// called with the same ones again.
//
// A registration that lapsed and was written anew has another revision. The others may have forgotten the former one, even if this
// entry VM never saw a state without it.
func (c *Census) Observe(names iter.Seq[string], revision uint64, now time.Duration) {
	if revision != c.revision {
		c.revision, c.knownAt = revision, now
	}
	present, known := 0, true
	for name := range names {
		present++
		known = known && c.registered[name]
	}
	if known && present == len(c.registered) {
		return
	}
	before := c.registered
	c.registered = make(map[string]bool, present)
	for name := range names {
		c.registered[name] = true
		delete(c.departed, name)
	}
	for name := range before {
		if !c.registered[name] {
			c.depart(name, now)
		}
	}
	clear(c.parts)
}

func (c *Census) depart(name string, now time.Duration) {
	if c.departed == nil {
		c.departed = map[string]time.Duration{}
	}
	c.departed[name] = now
}

// Count returns the number of entry VMs that share, at least 1.
func (c *Census) Count(now time.Duration) int {
	for name, at := range c.departed {
		if now-at >= c.MaxAge {
			delete(c.departed, name)
			clear(c.parts)
		}
	}
	return max(1, len(c.registered)+len(c.departed))
}

// HasPart reports whether this entry VM has a part, with a state of the given age.
func (c *Census) HasPart(age, now time.Duration) bool {
	return c.registered[c.Name] && now-c.knownAt >= c.MaxAge && age < c.MaxAge
}

// Part returns this entry VM's part of something that is divided into at most a number of equal parts, from 0 to 1. age is the age
// of the state.
//
// Where there are more entry VMs than parts, some have none; which these are differs from one name of what is divided to another.
func (c *Census) Part(name string, parts int, age, now time.Duration) float64 {
	count := c.Count(now)
	if !c.HasPart(age, now) {
		return 0
	}
	r := resource{name, parts}
	part, known := c.parts[r]
	if !known {
		if c.rank(name) < parts {
			part = 1 / float64(min(count, parts))
		}
		if c.parts == nil {
			c.parts = map[resource]float64{}
		}
		c.parts[r] = part
	}
	return part
}

// rank returns how many others come before this entry VM in an order by the hashes of names with the name of what is divided.
func (c *Census) rank(name string) (before int) {
	own := pahash.Pair(name, c.Name)
	for other := range c.registered {
		if pahash.Pair(name, other) > own {
			before++
		}
	}
	for other := range c.departed {
		if pahash.Pair(name, other) > own {
			before++
		}
	}
	return before
}
