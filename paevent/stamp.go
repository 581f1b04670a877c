package paevent

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Stamp is a time of a hybrid logical clock: the wall time in microseconds, and a counter that orders events
// within one microsecond or while the wall clock stands still or goes back.
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

// String formats the stamp as it is sent in headers: "wall.counter".
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Wall, s.Counter) }

// ParseStamp parses the format of String; the error is a trace.BadParameter.
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

// MaxStampLead is how far a received stamp may be ahead of the local wall clock; later ones are ignored.
//
// Otherwise a single process whose clock is years ahead would permanently advance the stamps of the whole
// deployment. Five minutes is far above any clock difference that operators leave uncorrected.
const MaxStampLead = 5 * time.Minute

// Clock is the source of wall time.
type Clock interface {
	Now() time.Time
}

// Stamper is a hybrid logical clock: each stamp it issues is later than all that it issued or accepted before.
// It is safe for concurrent use.
type Stamper struct {
	// Clock is the process's clock.
	Clock Clock

	mu   sync.Mutex
	last Stamp
}

// NextText returns Next in the format of String, or "" for a nil Stamper.
func (s *Stamper) NextText() string {
	if s == nil {
		return ""
	}
	return s.Next().String()
}

// ReceiveText parses the stamp of a message and passes it to Receive; a missing or malformed one is ignored.
func (s *Stamper) ReceiveText(text string) {
	if s == nil || text == "" {
		return
	}
	if r, err := ParseStamp(text); err == nil {
		s.Receive(r)
	}
}

// Next returns a stamp later than all issued or accepted before.
func (s *Stamper) Next() Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(Stamp{Wall: s.Clock.Now().UnixMicro()})
	return s.last
}

// Receive advances the clock past the stamp of a message, unless that is more than MaxStampLead ahead.
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
