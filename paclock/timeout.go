package paclock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout is context.WithTimeout on an injected clock. After the timeout, context.Cause returns
// context.DeadlineExceeded, but Err returns context.Canceled.
func WithTimeout(ctx context.Context, c clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
