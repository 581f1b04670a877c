package palink

import (
	"math"
	"time"
)

// Budget is what one entry VM may send in one direction of one link. The zero value refuses
// everything until SetRate; it is used by one goroutine at a time.
type Budget struct {
	rate Rate
	// shortLine is kept for short messages, longLine is for long transfers and the short ones that find it
	// free. Two lines, because what is booked ahead for a long transfer can't be taken back.
	shortLine, longLine schedule
	// expected is what is expected to be sent and not booked yet.
	expected Bytes
}

// schedule is a schedule of bytes at a part of the rate: the next byte may go at next.
type schedule struct {
	next time.Time
}

// SetRate changes the rate from now on. What is booked stays booked; a lower rate stretches it.
func (b *Budget) SetRate(now time.Time, r Rate) {
	if b.rate > 0 && r > 0 && r != b.rate {
		b.shortLine.stretch(now, float64(b.rate)/float64(r))
		b.longLine.stretch(now, float64(b.rate)/float64(r))
	}
	b.rate = r
}

// Reserve books a message that is ready to be sent. A long transfer books nothing yet: it is let in
// if the line of long ones is not too far ahead, and then calls Pace for each chunk.
//
// The load is a narrow link filled by restores. The harm is a slot check behind them that comes too
// late, and a queue inside the link that nobody sees. A short message waits for maxShortWait at
// most or is refused at once, while its caller has time for another way.
func (b *Budget) Reserve(now time.Time, c Class, n Bytes) Reservation {
	k := Reservation{Class: c, Bytes: n}
	if b.rate <= 0 {
		return refuse(k, minRetryAfter)
	}
	if c == Long || n > MaxShort {
		k.Class, k.Bytes = Long, 0
		if ahead := b.longLine.ahead(now); ahead > maxLongWait {
			return refuse(k, max(minRetryAfter, ahead))
		}
		return k
	}
	l, d := b.pickLine(now, n)
	if ahead := l.ahead(now); ahead > maxShortWait {
		return refuse(k, max(minRetryAfter, ahead))
	}
	if k.Wait = l.book(now, d); k.Wait > 0 {
		k.Decision = Wait
	}
	return k
}

// ReserveAnswer books an answer whose size is guessed (Estimate) and that will be sent about within from
// now; a request whose answer finds no room is refused before it runs. Call Spend when the answer
// is there, or with 0 bytes when there will be none.
//
// The load is requests that are small and answers that are not. The harm is work that has run and
// whose answer then waits for the link. What is due may not pass what the link carries until then.
func (b *Budget) ReserveAnswer(now time.Time, n Bytes, within time.Duration) Reservation {
	k := Reservation{Bytes: min(n, MaxShort), expected: true}
	room := Bytes(float64(b.rate) * max(within, minAnswerWindow).Seconds())
	if b.rate <= 0 || b.expected+k.Bytes > room {
		return refuse(k, minRetryAfter)
	}
	b.expected += k.Bytes
	return k
}

// CommitAnswer books an expected answer when its size is known: a short one goes after wait, and pace is
// what is left to be paced as a long transfer.
//
// Guards against an answer that counts when it was expected and is sent later, together with others:
// it shows as bursts beyond the link. The guard holds because only the bytes that are ready to be
// sent are on the lines.
func (b *Budget) CommitAnswer(now time.Time, k Reservation, actual Bytes) (wait time.Duration, pace Bytes) {
	if k.expected && k.Decision != Refuse {
		b.expected -= k.Bytes
	}
	if actual > MaxShort || b.rate <= 0 {
		return 0, actual
	}
	l, d := b.pickLine(now, actual)
	return l.book(now, d), 0
}

// PaceChunk books the next chunk of a long transfer, at most MaxChunk, and returns how long to wait
// before sending it. Each transfer asks for its next chunk after it has sent the last, so that the
// transfers take turns. Without a rate it returns false: ask again later.
func (b *Budget) PaceChunk(now time.Time, n Bytes) (time.Duration, bool) {
	if b.rate <= 0 || n > MaxChunk {
		return 0, false
	}
	if b.shortLine.idle(now) {
		// Short messages leave their line free: one chunk at a time may use it.
		return b.shortLine.book(now, b.sendTime(n, shortFraction)), true
	}
	return b.longLine.book(now, b.sendTime(n, 1-shortFraction)), true
}

// pickLine returns the line on which a pickLine message ends first, and how long it takes there.
func (b *Budget) pickLine(now time.Time, n Bytes) (*schedule, time.Duration) {
	first, rest := b.sendTime(n, shortFraction), b.sendTime(n, 1-shortFraction)
	if b.longLine.ahead(now)+rest <= b.shortLine.ahead(now)+first {
		return &b.longLine, rest
	}
	return &b.shortLine, first
}

// sendTime is how long the bytes take on a part of the rate, rounded up.
func (b *Budget) sendTime(n Bytes, part float64) time.Duration {
	return time.Duration(math.Ceil(float64(n) / (float64(b.rate) * part) * float64(time.Second)))
}

// book appends to the line and returns the wait before sending; a message may go burst early.
func (l *schedule) book(now time.Time, d time.Duration) time.Duration {
	ahead := l.ahead(now)
	l.next = now.Add(ahead + d)
	return max(0, ahead-burst)
}

// ahead is how far the line is booked beyond now.
func (l *schedule) ahead(now time.Time) time.Duration { return max(0, l.next.Sub(now)) }

func (l *schedule) idle(now time.Time) bool { return !l.next.After(now) }

func (l *schedule) stretch(now time.Time, by float64) {
	l.next = now.Add(time.Duration(float64(l.ahead(now)) * by))
}

func refuse(k Reservation, comeBack time.Duration) Reservation {
	k.Decision, k.Bytes, k.RetryAfter = Refuse, 0, comeBack
	return k
}
