package pareturn

import (
	"math"
	"time"
)

// rateTime is the time over which tokens and answers are counted: some runs, and less than a burst.
const rateTime = time.Second

// rate is what comes free in a second, as a sum that decays.
type rate struct {
	sum float64
	at  time.Duration
}

func (a *rate) decay(now time.Duration) {
	if now > a.at {
		a.sum *= math.Exp(-(now - a.at).Seconds() / rateTime.Seconds())
	}
	a.at = now
}

// CountFree records that a token was taken, or that a target answered.
func (s *Schedule) CountFree(k Key, now time.Duration) {
	a := s.rates[k]
	if a == nil {
		if s.rates == nil || len(s.rates) >= maxLines {
			s.rates = map[Key]*rate{}
		}
		a = &rate{at: now}
		s.rates[k] = a
	}
	a.decay(now)
	a.sum++
}

// Rate returns how many tokens were taken, or answers came, in a second of late.
func (s *Schedule) Rate(k Key, now time.Duration) float64 {
	a := s.rates[k]
	if a == nil {
		return 0
	}
	a.decay(now)
	return a.sum / rateTime.Seconds()
}
