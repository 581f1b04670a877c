package pagate

import (
	"testing"
	"time"

	"papayahead/pasteer"
)

// Guards against a request that waits when a shutdown begins and is sent too late to complete before the process ends.
func TestShutdownBringsDeadlinesOfWaitingRequestsForward(t *testing.T) {
	g, clock, _ := returnGate(true)
	g.config.Settings.GracePeriod = 10 * time.Second
	now := clock.Now()
	w := &waitingRequest{Waiter: pasteer.Waiter{Request: pasteer.Request{Deadline: now.Add(time.Minute)}}}
	g.waiting[&w.Waiter] = w
	g.shutdownAt.Store(now.UnixNano())
	g.shuttingDown.Store(true)
	g.limitWaiting()
	if left := w.Request.Deadline.Sub(now); left != 10*time.Second-killMargin-cancelMargin {
		t.Errorf("the request may still be answered within %v", left)
	}
}
