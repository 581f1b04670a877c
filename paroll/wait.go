package paroll

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// notifier wakes goroutines that wait for a change; the mutex of the struct that contains it guards it.
type notifier struct{ c chan struct{} }

// next returns a channel that is closed at the next change.
func (s *notifier) next() <-chan struct{} {
	if s.c == nil {
		s.c = make(chan struct{})
	}
	return s.c
}

// notify wakes all waiters.
func (s *notifier) notify() {
	if s.c != nil {
		close(s.c)
		s.c = nil
	}
}

// sleep waits until pause has passed, changed is closed or ctx is done; a pause of 0 means no timeout.
func sleep(ctx context.Context, clock clockwork.Clock, pause time.Duration, changed <-chan struct{}) {
	var end <-chan time.Time
	if pause > 0 {
		t := clock.NewTimer(pause)
		defer t.Stop()
		end = t.Chan()
	}
	select {
	case <-ctx.Done():
	case <-end:
	case <-changed:
	}
}

// backoff computes exponential, jittered delays after failures. The jitter spreads the retries of daemons that
// lost the store at the same time.
type backoff struct {
	random *rand.Rand
	last   time.Duration
}

// next returns the delay before the next attempt.
func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last/2 + time.Duration(b.random.Int64N(int64(b.last/2)+1))
}

// reset restarts at the shortest delay, after a success.
func (b *backoff) reset() { b.last = 0 }
