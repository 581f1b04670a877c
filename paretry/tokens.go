package paretry

import "time"

// tokenSlots is the number of slots by which the age of tokens is told.
const tokenSlots = 20

// tokens are tokens that last for a time. The zero value is empty.
type tokens struct {
	slots [tokenSlots]tokenSlot
	// origin is the time from which slots are counted, and length that of a slot.
	origin time.Time
	length time.Duration
}

// tokenSlot holds the tokens that were added in one slot of time, and how many of these are left.
type tokenSlot struct {
	number      int64
	added, left float64
}

// number returns the number of the slot at a time. It is taken from the difference of two times, which no step of the time of day
// changes.
func (t *tokens) number(now time.Time) int64 {
	if t.length <= 0 {
		return 0
	}
	return max(0, int64(now.Sub(t.origin)/t.length))
}

// add adds tokens that last for the lifetime at most.
func (t *tokens) add(n float64, lifetime time.Duration, now time.Time) {
	if length := lifetime / tokenSlots; length != t.length {
		*t = tokens{origin: now, length: length}
	}
	number := t.number(now)
	s := &t.slots[number%tokenSlots]
	if s.number != number {
		*s = tokenSlot{number: number}
	}
	s.added += n
	s.left += n
}

// valid calls f with the slots whose tokens still last, the oldest first.
func (t *tokens) valid(now time.Time, f func(s *tokenSlot)) {
	newest := t.number(now)
	for number := max(0, newest-tokenSlots+1); number <= newest; number++ {
		if s := &t.slots[number%tokenSlots]; s.number == number {
			f(s)
		}
	}
}

// left returns the number of tokens that are left.
func (t *tokens) left(now time.Time) (n float64) {
	t.valid(now, func(s *tokenSlot) { n += s.left })
	return n
}

// earned returns the number of tokens that were added and would still last.
func (t *tokens) earned(now time.Time) (n float64) {
	t.valid(now, func(s *tokenSlot) { n += s.added })
	return n
}

// take takes up to n tokens, the oldest first, and returns how many were missing.
func (t *tokens) take(n float64, now time.Time) (missing float64) {
	t.valid(now, func(s *tokenSlot) {
		taken := min(n, s.left)
		s.left -= taken
		n -= taken
	})
	return n
}
