package pagate

import (
	"context"
	"net"
	"time"

	"papayahead/paevent"
)

const (
	// lameDuckTime is how long after the start of a shutdown new connections are accepted: some clients cache the
	// response to a look-up for three times its TTL, and need a little longer to connect.
	lameDuckTime = maxLookUpAge + 300*time.Millisecond
	// maxLookUpAge is how long after a look-up clients may still use it.
	maxLookUpAge = 3 * lookUpTTL
	// closeConnsAfter is when responses begin to close their connections; clients that repeat the look-up use
	// other entry VMs by then.
	closeConnsAfter = lookUpTTL + 500*time.Millisecond
	// killMargin is how long before the kill the process exits by itself.
	killMargin = 250 * time.Millisecond
	// cancelMargin is how long before killMargin requests in progress are canceled and responded to; sending the
	// response takes the network delay to the client and a few milliseconds.
	cancelMargin = 200 * time.Millisecond
)

// queuedRuns is how many runs one after the other a request waits for at a target with a full queue, its own included.
const queuedRuns = 4

// closesConns reports whether responses close their connections.
func (g *Gate) closesConns() bool {
	return g.shuttingDown.Load() && g.config.Clock.Now().UnixNano()-g.shutdownAt.Load() > int64(closeConnsAfter)
}

// canFinish reports whether a request that arrives now can complete before the process exits. During a shutdown a
// long request that starts late would be cut off by the kill; refused at once, it runs elsewhere.
//
// Clients with an old look-up have no other entry VM to go to, so that a request of theirs is taken if it will most likely complete.
// Later ones do, and are taken if they complete behind a full queue too.
func (g *Gate) canFinish(x *exchange) bool {
	if !g.shuttingDown.Load() {
		return true
	}
	now := g.config.Clock.Now()
	since := time.Duration(now.UnixNano() - g.shutdownAt.Load())
	remaining := g.config.Settings.GracePeriod - killMargin - cancelMargin - since
	if since > maxLookUpAge {
		return min(x.deadline.Sub(now), queuedRuns*x.route.TargetLatency) < remaining
	}
	return x.route.TargetLatency*2 < remaining
}

// shutDown returns once all requests that clients may still send are responded to, or the grace period is nearly
// over.
func (g *Gate) shutDown(hard context.Context, listener net.Listener) {
	g.shutdownAt.Store(g.config.Clock.Now().UnixNano())
	g.shuttingDown.Store(true)
	g.balancerMutex.Lock()
	g.balancer.Leave()
	g.balancerMutex.Unlock()
	g.limitWaiting()
	g.requestRegistration()
	g.record(paevent.Stopping{Reason: "signal", InFlight: int(g.inFlight.Load())})
	start := g.config.Clock.Now()
	g.sleep(hard, min(lameDuckTime, g.config.Settings.GracePeriod/2+lameDuckTime/8))
	ctx, cancel := g.withTimeout(hard, g.config.Settings.GracePeriod-killMargin-g.config.Clock.Since(start))
	defer cancel()
	cancelTimer := g.config.Clock.AfterFunc(g.config.Settings.GracePeriod-killMargin-cancelMargin-g.config.Clock.Since(start), g.cancelRequests)
	defer cancelTimer.Stop()
	if err := listener.Close(); err != nil {
		g.record(paevent.ListenerFailed{Reason: err.Error()})
	}
	cutOff := 0
	if !g.drain(ctx) {
		cutOff = int(g.inFlight.Load())
	}
	g.record(paevent.Stopped{CutOff: cutOff, DrainMilliseconds: g.config.Clock.Since(start).Milliseconds()})
}

// newConnTimeout is how long a connection may be open during a shutdown without a complete request header. Clients
// send right after they connect; a lost packet is retransmitted within a second.
const newConnTimeout = 1500 * time.Millisecond

// drainPollInterval is the interval of checks for open connections, a fraction of the time that clients need to move
// to another entry VM.
const drainPollInterval = 20 * time.Millisecond

// drain waits until all client connections have ended and all relayed requests are responded to, and reports whether that
// is so.
//
// It replaces http.Server.Shutdown, which closes a connection whose request it reads after the shutdown began. If the
// process stalls while a request arrives and reads it right after, the client would lose the connection without a
// response.
func (g *Gate) drain(ctx context.Context) bool {
	for g.clientListener.Drain(g.config.Clock.Now(), newConnTimeout) > 0 || g.relayedInFlight.Load() > 0 {
		if !g.sleep(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}
