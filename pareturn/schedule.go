package pareturn

import (
	"math"
	"time"
)

const (
	// Classes is the number of classes of urgency; what is less urgent than the last of them belongs to it.
	Classes = 3
	// maxWorkspaces bounds the workspaces with reservations; the one that was used longest ago goes first.
	maxWorkspaces = 512
	// returnShare is the part of the tokens that is reserved. The rest is for callers that come for the first time, which are
	// still answered within their target latency.
	returnShare = 0.5
	// urgentShare is the part of that for the most urgent class that reserves while others do; each other class has the rest.
	urgentShare = 0.875
	// minKept is how many tokens are kept while there are reservations: at a few tokens a second callers that return rarely
	// come one at a time.
	minKept = 3
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
	// Left is the time that the caller still has; From and To are between which times it may have a reservation; see Deadlines.Window.
	Left, From, To time.Duration
}

// Return is when a caller is told to return.
type Return struct {
	After time.Duration
	// Reserved says that a token is reserved for it then, so that nothing is to be added to the time.
	Reserved bool
}

// Schedule is when callers of an entry VM return. The zero value is ready for use. It is not safe for concurrent use.
type Schedule struct {
	byWorkspace map[string]*[Classes]reservations
	rates       map[string]*rate
}

// ClassOf returns the class of urgency of a priority.
func ClassOf(priority int) int { return min(max(0, priority), Classes-1) }

// Reserve reserves a token for a refused caller and returns when that caller is to return.
//
// A caller waits a third of the time that it has left at most. If no token is free until then, it is told that time: another caller
// may not have returned, and one that waits longer than it has to is not answered any sooner. If no token is free before its
// deadline, it is told the deadline, which saves a caller that keeps to it an attempt that would be refused.
func (s *Schedule) Reserve(r Refused, now time.Duration) Return {
	honoured := max(0, r.Left/honouredDivisor)
	if r.Rate <= 0 {
		return Return{After: max(0, min(r.Earliest, honoured))}
	}
	all := s.reservationsOf(r.Workspace, now)
	class := ClassOf(r.Priority)
	interval := time.Duration(float64(time.Second) / (r.Rate * returnShare * classShare(all, class, now)))
	at := all[class].next(now, now+max(0, r.Earliest, r.From), interval)
	switch {
	case at-now <= min(honoured, r.To) && all[class].reserve(at):
		return Return{After: at - now, Reserved: true}
	case at-now >= r.Left:
		return Return{After: max(0, r.Left)}
	}
	return Return{After: honoured}
}

// TokensToKeep returns how many tokens to leave to callers that are about to claim a reservation within the given time, or are
// late: their number and one standard deviation of it, as callers that another entry VM refused come here too; at least minKept
// while there is any reservation.
func (s *Schedule) TokensToKeep(workspace string, within, now time.Duration) int {
	due, total := s.due(workspace, within, now)
	if total == 0 {
		return 0
	}
	return max(minKept, due+int(math.Ceil(math.Sqrt(float64(due)))))
}

// due returns the number of reservations that are due within the given time, and of all.
func (s *Schedule) due(workspace string, within, now time.Duration) (due, total int) {
	all := s.byWorkspace[workspace]
	if all == nil {
		return 0, 0
	}
	for i := range all {
		all[i].advance(now)
		due += all[i].due(now + within)
		total += len(all[i].times)
	}
	return due, total
}

// Claim records that a caller returned: it takes a reservation that is due within the given time, if there is one.
func (s *Schedule) Claim(workspace string, priority int, within, now time.Duration) {
	if all := s.byWorkspace[workspace]; all != nil {
		l := &all[ClassOf(priority)]
		l.advance(now)
		l.claim(now + within)
	}
}

// Reservations returns the number of reserved times that are to come.
func (s *Schedule) Reservations(now time.Duration) (n int) {
	for _, all := range s.byWorkspace {
		for i := range all {
			n += all[i].ahead(now)
		}
	}
	return n
}

// reservationsOf returns the reservations of a workspace, without those that are over.
func (s *Schedule) reservationsOf(workspace string, now time.Duration) *[Classes]reservations {
	all := s.byWorkspace[workspace]
	if all == nil {
		if s.byWorkspace == nil {
			s.byWorkspace = map[string]*[Classes]reservations{}
		}
		if len(s.byWorkspace) >= maxWorkspaces {
			s.dropOldest()
		}
		all = &[Classes]reservations{}
		s.byWorkspace[workspace] = all
	}
	for i := range all {
		all[i].advance(now)
	}
	return all
}

// dropOldest drops the workspace whose reservations were used longest ago.
func (s *Schedule) dropOldest() {
	var oldest string
	var found *[Classes]reservations
	for name, all := range s.byWorkspace {
		if found == nil || all[0].usedAt < found[0].usedAt {
			oldest, found = name, all
		}
	}
	delete(s.byWorkspace, oldest)
}

// classShare returns the part of the reservations that a class has: all of them unless another class has some as well.
//
// Without it callers of the most urgent class would return behind all that were refused before them; without a bound on it the
// least urgent would never return while more urgent ones are refused.
func classShare(all *[Classes]reservations, class int, now time.Duration) float64 {
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
