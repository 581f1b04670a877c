package palink

import (
	"math"
	"time"
)

// Budget limits what one entry VM may send in one direction of one link. The zero value refuses everything until
// SetRate; it is not safe for concurrent use.
type Budget struct {
	rate Rate
	// shortSchedule is kept for short messages, longSchedule is for long transfers and for short messages that would end there
	// first. There are two schedules because what is reserved ahead for a long transfer can't be taken back.
	shortSchedule, longSchedule schedule
	// expected is the total size of expected answers that are not scheduled yet.
	expected Bytes
}

// schedule is a queue of bytes sent at a fraction of the rate: the next byte may be sent at next.
type schedule struct {
	next time.Time
}

// SetRate changes the rate from now on. Existing reservations remain; a lower rate delays them.
func (b *Budget) SetRate(now time.Time, r Rate) {
	if b.rate > 0 && r > 0 && r != b.rate {
		b.shortSchedule.stretch(now, float64(b.rate)/float64(r))
		b.longSchedule.stretch(now, float64(b.rate)/float64(r))
	}
	b.rate = r
}

// Reserve reserves the link for a message that is ready to be sent. For a long transfer it reserves nothing yet: the
// transfer is admitted if the long schedule is not too far ahead, and then calls PaceChunk for each chunk.
//
// This is for a narrow link filled by long transfers such as restores, where a short message would be late behind them,
// in a queue inside the link that no entry VM can observe. A short message waits for at most maxShortWait or is refused
// at once, while its caller still has time for another route.
func (b *Budget) Reserve(now time.Time, c Class, n Bytes) Reservation {
	k := Reservation{Class: c, Bytes: n}
	if b.rate <= 0 {
		return refuse(k, minRetryAfter)
	}
	if c == Long || n > MaxShort {
		k.Class, k.Bytes = Long, 0
		if ahead := b.longSchedule.ahead(now); ahead > maxLongWait {
			return refuse(k, max(minRetryAfter, ahead))
		}
		return k
	}
	l, d := b.pickSchedule(now, n)
	if ahead := l.ahead(now); ahead > maxShortWait {
		return refuse(k, max(minRetryAfter, ahead))
	}
	if k.Wait = l.book(now, d); k.Wait > 0 {
		k.Decision = Wait
	}
	return k
}

// ReserveAnswer reserves room for an answer whose size is predicted (Estimate) and that will be sent about within from
// now. A request whose answer finds no room is refused before it runs. Call CommitAnswer when the answer is ready, or
// with 0 bytes when there will be none.
//
// This is for small requests with large answers, which would run and whose answers would then wait for the link. The
// expected bytes may not exceed what the link carries within that time.
func (b *Budget) ReserveAnswer(now time.Time, n Bytes, within time.Duration) Reservation {
	k := Reservation{Bytes: min(n, MaxShort), expected: true}
	room := Bytes(float64(b.rate) * max(within, minAnswerWindow).Seconds())
	if b.rate <= 0 || b.expected+k.Bytes > room {
		return refuse(k, minRetryAfter)
	}
	b.expected += k.Bytes
	return k
}

// CommitAnswer schedules an expected answer once its size is known. A short one is sent after wait; pace is what
// remains to be paced as a long transfer.
//
// Bytes are scheduled only when they are ready to be sent. If an answer counted when it was expected, answers that are
// sent later and together would be bursts beyond the link's rate.
func (b *Budget) CommitAnswer(now time.Time, k Reservation, actual Bytes) (wait time.Duration, pace Bytes) {
	if k.expected && k.Decision != Refuse {
		b.expected -= k.Bytes
	}
	if actual > MaxShort || b.rate <= 0 {
		return 0, actual
	}
	l, d := b.pickSchedule(now, actual)
	return l.book(now, d), 0
}

// PaceChunk reserves the next chunk of a long transfer, at most MaxChunk bytes, and returns how long to wait before
// sending it. A transfer asks for its next chunk after it has sent the last, so that transfers take turns. It returns
// false if there is no rate or the chunk is too large; without a rate, try again later.
func (b *Budget) PaceChunk(now time.Time, n Bytes) (time.Duration, bool) {
	if b.rate <= 0 || n > MaxChunk {
		return 0, false
	}
	if b.shortSchedule.idle(now) {
		// The short schedule is idle: one chunk at a time may use it.
		return b.shortSchedule.book(now, b.sendTime(n, shortFraction)), true
	}
	return b.longSchedule.book(now, b.sendTime(n, 1-shortFraction)), true
}

// pickSchedule returns the schedule on which a short message ends first, and how long it takes there.
func (b *Budget) pickSchedule(now time.Time, n Bytes) (*schedule, time.Duration) {
	first, rest := b.sendTime(n, shortFraction), b.sendTime(n, 1-shortFraction)
	if b.longSchedule.ahead(now)+rest <= b.shortSchedule.ahead(now)+first {
		return &b.longSchedule, rest
	}
	return &b.shortSchedule, first
}

// sendTime returns how long n bytes take at a fraction of the rate, rounded up.
func (b *Budget) sendTime(n Bytes, part float64) time.Duration {
	return time.Duration(math.Ceil(float64(n) / (float64(b.rate) * part) * float64(time.Second)))
}

// book appends to the schedule and returns the wait before sending; a message may be sent up to burst early.
func (l *schedule) book(now time.Time, d time.Duration) time.Duration {
	ahead := l.ahead(now)
	l.next = now.Add(ahead + d)
	return max(0, ahead-burst)
}

// ahead returns how far the schedule is filled beyond now.
func (l *schedule) ahead(now time.Time) time.Duration { return max(0, l.next.Sub(now)) }

func (l *schedule) idle(now time.Time) bool { return !l.next.After(now) }

func (l *schedule) stretch(now time.Time, by float64) {
	l.next = now.Add(time.Duration(float64(l.ahead(now)) * by))
}

func refuse(k Reservation, comeBack time.Duration) Reservation {
	k.Decision, k.Bytes, k.RetryAfter = Refuse, 0, comeBack
	return k
}
