package pagate

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayahead/paproof"
	"papayahead/pasteer"
)

// Guards against a request that waits when a shutdown begins and is sent too late to complete before the process ends.
func TestShutdownBringsDeadlinesOfWaitingRequestsForward(t *testing.T) {
	g, clock, _ := returnGate(true)
	g.config.Settings.GracePeriod = 10 * time.Second
	now := clock.Now()
	x := &exchange{deadline: now.Add(time.Minute)}
	w := &waitingRequest{x: x, Waiter: pasteer.Waiter{Request: pasteer.Request{Deadline: x.deadline}}}
	w.Choice.Reason = pasteer.ReasonTooLate
	if c := w.decision(); c.Reason != pasteer.ReasonTooLate {
		t.Errorf("before the shutdown the reason is %s", c.Reason)
	}
	g.waiting[&w.Waiter] = w
	g.shutdownAt.Store(now.UnixNano())
	g.shuttingDown.Store(true)
	g.limitWaiting()
	if left := w.Request.Deadline.Sub(now); left != 10*time.Second-killMargin-cancelMargin {
		t.Errorf("the request may still be answered within %v", left)
	}
	if c := w.decision(); c.Reason != pasteer.Reason(reasonShuttingDown) {
		t.Errorf("the reason is %s, by which no other entry VM is tried", c.Reason)
	}
}

// Guards against a request that is refused for the memory of its target's sender although the entry VM that received it holds its body.
func TestSenderWithoutMemoryIsNoReasonToRefuse(t *testing.T) {
	for reason, want := range map[string]bool{reasonBuffersFull: true, string(pasteer.ReasonRoomFull): false} {
		if got := (&relayReply{Reason: reason}).isOwnRefusal(); got != want {
			t.Errorf("%s: %v", reason, got)
		}
	}
}

// Guards against 503 for a request that its entry VM may still send: the sender that it was handed to ends before it has sent it, and
// blames the attempts.
func TestRequestThatAnEndingSenderHasNotSentIsRefusedForItsEnd(t *testing.T) {
	for _, ending := range []bool{false, true} {
		g, _, _ := returnGate(true)
		g.requestsCtx, g.cancelRequests = context.WithCancel(context.Background())
		if ending {
			g.cancelRequests()
		}
		w := httptest.NewRecorder()
		g.answerLastFailure(w, returnExchange(g, 3*time.Second), attemptResult{outcome: pasteer.Abandoned, proof: paproof.Unsent()}, false)
		reason := strings.TrimSpace(w.Body.String())
		if w.Code != 503 || (&relayReply{Reason: reason}).isOwnRefusal() != ending {
			t.Errorf("ending %v: %d, %s", ending, w.Code, reason)
		}
		g.cancelRequests()
	}
}
