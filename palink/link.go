package palink

import (
	"time"

	"papayahead/pabundle"
)

// Bytes is an amount of traffic.
type Bytes int64

// Class selects how a message is scheduled.
type Class int

// The classes of traffic.
const (
	// Short messages are scheduled as a whole and don't wait behind long ones.
	Short Class = iota
	// Long transfers are paced chunk by chunk.
	Long
)

// String returns the class's name.
func (c Class) String() string {
	if c == Short {
		return "Short"
	}
	return "Long"
}

const (
	// MaxShort is the largest message that is scheduled as a whole; larger ones are paced, as they would hold up the
	// messages behind them. One entry VM of three on a 280 Mbit/s link sends it in about 6 ms.
	MaxShort = 64 << 10
	// MaxChunk is the most that a long transfer may send at once, because a short message may wait for the chunk before
	// it: about 1.5 ms at a third of 280 Mbit/s.
	MaxChunk = 16 << 10
	// burst is how far the schedule may run ahead of its rate after a pause. With more, the bursts of several entry VMs
	// add up in the link's queue; with none, each message waits for the clock's resolution. 5 ms is for all entry VMs
	// of a region together.
	burst = 5 * time.Millisecond
	// maxShortWait is the longest that a short message waits before it is refused at once: about the one-way delay
	// between regions, so that waiting costs less than a later retry.
	maxShortWait = 40 * time.Millisecond
	// shortFraction is the fraction of the rate that is kept for short messages, so that slot checks don't wait behind
	// restores that fill a narrow link. A quarter carries 300 answers of 8 KB a second on a third of 280 Mbit/s; long
	// transfers use it while it is idle, chunk by chunk.
	shortFraction = 0.25
	// minAnswerWindow is the least time over which expected answers are counted: several round trips between regions.
	minAnswerWindow = 250 * time.Millisecond
	// maxLongWait bounds how far long transfers are scheduled ahead; a new one is refused beyond it.
	maxLongWait = 500 * time.Millisecond
	// minRetryAfter is the shortest RetryAfter of a refusal; callers jitter it up to twice its value.
	minRetryAfter = 500 * time.Millisecond
)

// Rate is a rate in bytes per second.
type Rate float64

// LinkShare describes the part of one direction of a link that this entry VM may use.
type LinkShare struct {
	// Capacity is the link's capacity, Reserve the fraction of it that stays unused.
	Capacity pabundle.BitRate
	Reserve  float64
	// Members is the number of entry VMs that share the link, as counted by paview.View.Members; 0 means that there is
	// no agreed view.
	Members int
}

// Rate returns this entry VM's rate. Without an agreed view it is 0, because a guessed part would be one that another
// entry VM is using.
func (d LinkShare) Rate() Rate {
	if d.Members <= 0 || d.Capacity <= 0 {
		return 0
	}
	return Rate(float64(d.Capacity) / 8 * (1 - d.Reserve) / float64(d.Members))
}

// Decision is the outcome of a reservation.
type Decision int

// The decisions.
const (
	// Admit means that the message may be sent now; it is reserved.
	Admit Decision = iota
	// Wait means that the message may be sent after Reservation.Wait; it is reserved.
	Wait
	// Refuse means that there is no room in time; nothing is reserved.
	Refuse
)

// String returns the decision's name.
func (d Decision) String() string {
	return [...]string{"Admit", "Wait", "Refuse"}[d]
}

// Reservation is the result of Reserve or ReserveAnswer; that of ReserveAnswer is passed to CommitAnswer.
type Reservation struct {
	Decision Decision
	// Wait is how long to wait before sending.
	Wait time.Duration
	// RetryAfter is the delay before trying again after a refusal, without jitter.
	RetryAfter time.Duration
	// Bytes is what was reserved.
	Bytes    Bytes
	Class    Class
	expected bool
}
