package pareturn

import (
	"math"
	"time"
)

// rateTime is the time over which tokens are counted: some runs, and less than a burst.
const rateTime = time.Second

// rate is the number of tokens taken, as a sum that decays.
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

// CountToken records that a token of a workspace was taken.
func (s *Schedule) CountToken(workspace string, now time.Duration) {
	a := s.rates[workspace]
	if a == nil {
		if s.rates == nil || len(s.rates) >= maxWorkspaces {
			s.rates = map[string]*rate{}
		}
		a = &rate{at: now}
		s.rates[workspace] = a
	}
	a.decay(now)
	a.sum++
}

// Rate returns how many tokens of a workspace were taken in a second of late.
func (s *Schedule) Rate(workspace string, now time.Duration) float64 {
	a := s.rates[workspace]
	if a == nil {
		return 0
	}
	a.decay(now)
	return a.sum / rateTime.Seconds()
}
