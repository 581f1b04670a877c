package paretry

import "time"

// Allowance is what a platform allows all entry VMs together: over any Window, Ratio x requests + Floor retries.
type Allowance struct {
	Ratio, Floor float64
	Window       time.Duration
}

const (
	// allocatedFraction is the part of an allowance that is used. The rest covers retries that are granted before a window and
	// arrive in it.
	allocatedFraction = 0.95
	// requestLifetime and floorLifetime are how long tokens last, as fractions of the window. The longer tokens last, the more
	// retries can be granted at once, and the fewer in the long run.
	requestLifetime = 1.0 / 3
	floorLifetime   = 1.0
	// maxAccrual is the longest time for which one call accrues. A process that was suspended does not know who shared meanwhile.
	maxAccrual = time.Second
)

// perRequest returns the tokens that a request earns.
func (a Allowance) perRequest() float64 { return allocatedFraction * a.Ratio / (1 + requestLifetime) }

// perSecond returns the tokens that all entry VMs together earn from the floor in a second.
func (a Allowance) perSecond() float64 {
	return allocatedFraction * a.Floor / (1 + floorLifetime) / a.Window.Seconds()
}

// FloorParts returns the largest number of entry VMs among which the floor may be divided if each is to hold a whole token; at
// least 1.
func (a Allowance) FloorParts() int {
	return max(1, int(a.perSecond()*floorLifetime*a.Window.Seconds()))
}

// Share is an entry VM's part of the retry budget of one service. The zero value is empty and ready for use.
type Share struct {
	requests, floor tokens
	accruedAt       time.Time
}

// Deposit counts a request.
func (s *Share) Deposit(a Allowance, now time.Time) {
	s.requests.add(a.perRequest(), scaled(a.Window, requestLifetime), now)
}

// Accrue adds the tokens of the floor since the last call, of which this entry VM has a part from 0 to 1.
func (s *Share) Accrue(a Allowance, part float64, now time.Time) {
	elapsed := min(maxAccrual, max(0, now.Sub(s.accruedAt)))
	if !s.accruedAt.IsZero() {
		s.floor.add(part*a.perSecond()*elapsed.Seconds(), scaled(a.Window, floorLifetime), now)
	}
	s.accruedAt = now
}

// Left returns how many retries may be granted now, with a fraction.
func (s *Share) Left(now time.Time) float64 { return s.requests.left(now) + s.floor.left(now) }

// Capacity returns how many could be granted now had none been before.
func (s *Share) Capacity(now time.Time) float64 { return s.requests.earned(now) + s.floor.earned(now) }

// TryWithdraw takes a token and reports whether there was one.
func (s *Share) TryWithdraw(now time.Time) bool {
	if s.Left(now) < 1 {
		return false
	}
	s.floor.take(s.requests.take(1, now), now)
	return true
}

func scaled(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
