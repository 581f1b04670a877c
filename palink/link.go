package palink

import (
	"time"

	"papayahead/pabundle"
)

// Bytes is an amount of traffic.
type Bytes int64

// Class says how a message is budgeted.
type Class int

// The classes of traffic.
const (
	// Short messages are booked whole and wait for no long one.
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
	// MaxShort is the largest message that is booked whole; a larger one is paced. Load: a 280 Mbit/s
	// link over three entry VMs sends it in about 6 ms. Harm: booked whole, a larger one holds up
	// those behind it.
	MaxShort = 64 << 10
	// MaxChunk is the most that a long transfer may send at once. Harm: a short message waits for
	// the chunk before it. Value: about 1.5 ms at a third of 280 Mbit/s.
	MaxChunk = 16 << 10
	// burst is for how long the line may run ahead of its rate after a pause. Harm: with more, the
	// entry VMs' bursts meet in the link's queue; with none, each message waits for the clock's
	// grain. Value: 5 ms over all entry VMs of a region.
	burst = 5 * time.Millisecond
	// maxShortWait is the longest that a short message waits for the line; then it is refused at
	// once. Value: about one way between regions, so waiting costs less than a return later.
	maxShortWait = 40 * time.Millisecond
	// shortFraction is the part of the rate that is kept for short messages. Harm: restores fill a narrow
	// link and slot checks wait behind them. Value: a quarter carries 300 answers of 8 KB a second
	// on a third of 280 Mbit/s; long transfers use it while it is idle, chunk by chunk.
	shortFraction = 0.25
	// minAnswerWindow is the least time over which expected answers are counted. Value: several round
	// trips between regions.
	minAnswerWindow = 250 * time.Millisecond
	// maxLongWait bounds how far long transfers are booked ahead; a new one beyond it is refused.
	maxLongWait = 500 * time.Millisecond
	// minRetryAfter is the shortest time to come back after a refusal, jittered up to twice itself.
	minRetryAfter = 500 * time.Millisecond
)

// Rate is a budget in bytes a second.
type Rate float64

// LinkShare says which part of a link's direction this entry VM may use.
type LinkShare struct {
	// Capacity is the link's, Reserve the share of it that stays free.
	Capacity pabundle.BitRate
	Reserve  float64
	// Members is the number of entry VMs that share it, as paview.View.Members counts them; 0 means
	// that there is no agreed view.
	Members int
}

// Rate returns this entry VM's part. Without an agreed view it is 0: a part taken by guess is what
// another entry VM is using.
func (d LinkShare) Rate() Rate {
	if d.Members <= 0 || d.Capacity <= 0 {
		return 0
	}
	return Rate(float64(d.Capacity) / 8 * (1 - d.Reserve) / float64(d.Members))
}

// Decision is what becomes of a message.
type Decision int

// The decisions.
const (
	// Admit means that it may be sent now; it is booked.
	Admit Decision = iota
	// Wait means that it may be sent after Booking.Wait; it is booked.
	Wait
	// Refuse means that there is no room in time; nothing is booked.
	Refuse
)

// String returns the decision's name.
func (d Decision) String() string {
	return [...]string{"Admit", "Wait", "Refuse"}[d]
}

// Reservation is the answer to Reserve or Expect; that of Expect is handed back to Spend.
type Reservation struct {
	Decision Decision
	// Wait is how long to wait before sending.
	Wait time.Duration
	// RetryAfter is when to ask again after a refusal, without jitter.
	RetryAfter time.Duration
	// Bytes is what was booked.
	Bytes    Bytes
	Class    Class
	expected bool
}
