package paevent

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Stamp is a hybrid logical time: the wall clock in microseconds, and a counter that orders what
// happened within one microsecond or while the wall clock stood still or went back.
type Stamp struct {
	// Wall is in microseconds since 1970.
	Wall    int64
	Counter uint32
}

// Before reports whether s is earlier than o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Counter < o.Counter
}

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Wall).UTC() }

// String writes the stamp as it travels in headers: "wall.counter".
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Wall, s.Counter) }

// ParseStamp reads what String wrote; the error is a trace.BadParameter.
func ParseStamp(text string) (Stamp, error) {
	w, c, found := strings.Cut(text, ".")
	wall, err := strconv.ParseInt(w, 10, 64)
	if !found || err != nil || wall < 0 {
		return Stamp{}, trace.BadParameter("stamp %q: want WALL.COUNTER", text)
	}
	counter, err := strconv.ParseUint(c, 10, 32)
	if err != nil {
		return Stamp{}, trace.BadParameter("stamp %q: want WALL.COUNTER", text)
	}
	return Stamp{Wall: wall, Counter: uint32(counter)}, nil
}

// MaxStampLead bounds how far a received stamp may pull the local one ahead of the wall clock.
//
// One process with a clock years ahead would otherwise drag the time line of the whole deployment
// with it for good. Five minutes is far above any clock difference that operators leave in place.
const MaxStampLead = 5 * time.Minute

// Clock is the source of wall time.
type Clock interface {
	Now() time.Time
}

// Stamper issues stamps that rise, also past stamps received from other processes.
type Stamper struct {
	// Clock is the process's clock.
	Clock Clock

	mu   sync.Mutex
	last Stamp
}

// NextText returns a new stamp as it travels with a message; a nil Stamper has none.
func (s *Stamper) NextText() string {
	if s == nil {
		return ""
	}
	return s.Next().String()
}

// ReceiveText notes the stamp that came with a message; one that is missing or malformed says nothing.
func (s *Stamper) ReceiveText(text string) {
	if s == nil || text == "" {
		return
	}
	if r, err := ParseStamp(text); err == nil {
		s.Receive(r)
	}
}

// Next returns a stamp later than all before it.
func (s *Stamper) Next() Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(Stamp{Wall: s.Clock.Now().UnixMicro()})
	return s.last
}

// Receive notes a stamp that came with a message, so that Next is later than it.
func (s *Stamper) Receive(r Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Wall > s.Clock.Now().Add(MaxStampLead).UnixMicro() {
		return
	}
	if s.last.Before(r) {
		s.last = r
	}
}

func (s *Stamper) advance(wall Stamp) {
	if s.last.Before(wall) {
		s.last = wall
		return
	}
	s.last.Counter++
}
