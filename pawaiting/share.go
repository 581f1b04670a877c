package pawaiting

import (
	"math"
	"time"
)

const (
	// sentHalfLife is the time in which what a workspace got counts half: a burst of a few runs is evened out.
	sentHalfLife = 2 * time.Second
	// maxRateChange is by how much the average rate of a workspace changes in a second at most. One that sends eight times as much
	// for ten seconds is still weighed by about what it sent before.
	maxRateChange = 0.02
	// minRate is the least rate, in requests a second, that a workspace counts as sending.
	minRate = 1.0
	// rateWindow is the least time over which a rate is counted.
	rateWindow = time.Second
	// rebaseInterval is how often all counts are scaled down, before they overflow.
	rebaseInterval = 64 * sentHalfLife
)

// share is what a workspace sends, and got lately.
type share struct {
	// sent counts what it got, scaled up with time instead of decaying, so that two shares compare without knowing the time; used
	// is sent divided by rate.
	sent, used float64
	// rate is its slowly changing average rate in requests a second, 0 before it is known; arrived is what it sent since countedAt.
	rate      float64
	arrived   int
	countedAt time.Time
	waiting   int
}

// countArrival counts a request, and adapts the average rate to that of the last window.
func (w *share) countArrival(now time.Time) {
	elapsed := now.Sub(w.countedAt)
	if elapsed >= rateWindow {
		rate, seconds := float64(w.arrived)/elapsed.Seconds(), elapsed.Seconds()
		if w.rate == 0 {
			w.rate = rate
		}
		rate = min(max(rate, w.rate*math.Pow(1-maxRateChange, seconds)), w.rate*math.Pow(1+maxRateChange, seconds))
		w.rate, w.arrived, w.countedAt = max(minRate, rate), 0, now
	}
	w.arrived++
}

// shares are those of all workspaces. The zero value is ready for use.
type shares struct {
	byWorkspace map[string]*share
	base        time.Time
}

// of returns the share of a workspace, creating it if needed.
func (s *shares) of(workspace string, now time.Time) *share {
	if s.byWorkspace == nil {
		s.byWorkspace, s.base = map[string]*share{}, now
	}
	if now.Sub(s.base) > rebaseInterval {
		s.rebase(now)
	}
	w := s.byWorkspace[workspace]
	if w == nil {
		w = &share{countedAt: now}
		s.byWorkspace[workspace] = w
	}
	return w
}

// countSent counts a request of the workspace that is sent to a target.
func (s *shares) countSent(w *share, now time.Time) {
	w.sent += s.scale(now)
	w.used = w.sent / max(minRate, w.rate)
}

// scale is the weight of an event at this time.
func (s *shares) scale(now time.Time) float64 {
	return math.Exp2(float64(now.Sub(s.base)) / float64(sentHalfLife))
}

// rebase scales all counts down to a new base and forgets workspaces that sent nothing since the last one.
func (s *shares) rebase(now time.Time) {
	scale := s.scale(now)
	s.base = now
	for name, w := range s.byWorkspace {
		w.sent, w.used = w.sent/scale, w.used/scale
		if w.waiting == 0 && now.Sub(w.countedAt) > rebaseInterval {
			delete(s.byWorkspace, name)
		}
	}
}
