package paroll

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// notifier tells waiters that something changed; its user's mutex guards it.
type notifier struct{ c chan struct{} }

// next returns the channel that closes at the next change.
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

// sleep waits for the pause, for a change or for the end; a pause of 0 has no end of its own.
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

// backoff is the growing, jittered pause after failures. The jitter keeps daemons that lost the
// store together from coming back together.
type backoff struct {
	random *rand.Rand
	last   time.Duration
}

// next returns the pause before the next attempt.
func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last/2 + time.Duration(b.random.Int64N(int64(b.last/2)+1))
}

// reset starts anew after a success.
func (b *backoff) reset() { b.last = 0 }
