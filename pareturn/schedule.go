package pareturn

import (
	"math"
	"time"
)

const (
	// Classes is the number of classes of urgency; what is less urgent than the last of them belongs to it.
	Classes = 3
	// maxLines bounds the workspaces with places; the one that was used longest ago goes first.
	maxLines = 512
	// returnShare is the part of the tokens that is booked. The rest is for callers that come for the first time, which are
	// still answered within their target latency.
	returnShare = 0.5
	// urgentShare is the part of that for the most urgent class that books while others do; each other class has the rest.
	urgentShare = 0.875
	// minHeld is how many tokens are held while places are booked: at a few tokens a second those who return rarely come one at a time.
	minHeld = 3
)

// Refused describes a caller that is refused.
type Refused struct {
	// Workspace is the name of the workspace at its limit.
	Workspace string
	// Priority is the urgency of the request; 0 is the most urgent.
	Priority int
	// Rate is how many tokens come in a second for callers of this entry VM; 0 if nothing is known.
	Rate float64
	// Earliest is the time until the first may be free.
	Earliest time.Duration
	// Left is the time that the caller still has; From and To are between which times it may have a place; see Deadlines.Window.
	Left, From, To time.Duration
}

// Return is when a caller is told to return.
type Return struct {
	After time.Duration
	// Booked says that it has a place then, so that nothing is to be added to the time.
	Booked bool
}

// Schedule is when callers of an entry VM return. The zero value is ready for use. It is not safe for concurrent use.
type Schedule struct {
	lines map[string]*[Classes]line
	rates map[string]*rate
}

// ClassOf returns the class of urgency of a priority.
func ClassOf(priority int) int { return min(max(0, priority), Classes-1) }

// Book books a place for a caller and returns when that is.
//
// A caller waits a third of the time that it has left at most. If no place is free until then, it is told that time: another caller
// may not have returned, and one that waits longer than it has to is not answered any sooner. If no place is free before its
// deadline, it is told the deadline, which saves a caller that keeps to it an attempt that would be refused.
func (s *Schedule) Book(r Refused, now time.Duration) Return {
	honoured := max(0, r.Left/honouredDivisor)
	if r.Rate <= 0 {
		return Return{After: max(0, min(r.Earliest, honoured))}
	}
	all := s.linesOf(r.Workspace, now)
	class := ClassOf(r.Priority)
	interval := time.Duration(float64(time.Second) / (r.Rate * returnShare * classShare(all, class, now)))
	at := all[class].next(now, now+max(0, r.Earliest, r.From), interval)
	switch {
	case at-now <= min(honoured, r.To) && all[class].book(at):
		return Return{After: at - now, Booked: true}
	case at-now >= r.Left:
		return Return{After: max(0, r.Left)}
	}
	return Return{After: honoured}
}

// Held returns how many tokens to leave to callers that are about to claim a place within the given time, or are late: their number
// and its usual deviation, as callers that another entry VM refused come here too; at least minHeld while any place is booked.
func (s *Schedule) Held(workspace string, within, now time.Duration) int {
	due, booked := s.due(workspace, within, now)
	if booked == 0 {
		return 0
	}
	return max(minHeld, due+int(math.Ceil(math.Sqrt(float64(due)))))
}

// due returns the number of places that are due within the given time, and of all that are booked.
func (s *Schedule) due(workspace string, within, now time.Duration) (due, booked int) {
	all := s.lines[workspace]
	if all == nil {
		return 0, 0
	}
	for i := range all {
		all[i].advance(now)
		due += all[i].due(now + within)
		booked += len(all[i].places)
	}
	return due, booked
}

// Claim records that a caller returned: it takes a place that is due within the given time, if there is one.
func (s *Schedule) Claim(workspace string, priority int, within, now time.Duration) {
	if all := s.lines[workspace]; all != nil {
		l := &all[ClassOf(priority)]
		l.advance(now)
		l.claim(now + within)
	}
}

// Booked returns the number of places whose time is to come.
func (s *Schedule) Booked(now time.Duration) (n int) {
	for _, all := range s.lines {
		for i := range all {
			n += all[i].ahead(now)
		}
	}
	return n
}

// linesOf returns the lines of a workspace, without places that are over.
func (s *Schedule) linesOf(workspace string, now time.Duration) *[Classes]line {
	all := s.lines[workspace]
	if all == nil {
		if s.lines == nil {
			s.lines = map[string]*[Classes]line{}
		}
		if len(s.lines) >= maxLines {
			s.dropOldest()
		}
		all = &[Classes]line{}
		s.lines[workspace] = all
	}
	for i := range all {
		all[i].advance(now)
	}
	return all
}

// dropOldest drops the lines that were used longest ago.
func (s *Schedule) dropOldest() {
	var oldest string
	var found *[Classes]line
	for name, all := range s.lines {
		if found == nil || all[0].usedAt < found[0].usedAt {
			oldest, found = name, all
		}
	}
	delete(s.lines, oldest)
}

// classShare returns the part of the places that a class has: all of them unless another one has booked some as well.
//
// Without it callers of the most urgent class would return behind all that were refused before them; without a bound on it the
// least urgent would never return while more urgent ones are refused.
func classShare(all *[Classes]line, class int, now time.Duration) float64 {
	share := 1.0
	for i := range all {
		switch {
		case i == class || all[i].ahead(now) == 0:
		case i < class:
			return 1 - urgentShare
		default:
			share = urgentShare
		}
	}
	return share
}
