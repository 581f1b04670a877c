package pagate

import (
	"context"
	"net"
	"time"

	"papayahead/paevent"
)

const (
	// lameDuckTime is how long after the start of a shutdown new requests are taken: callers keep the
	// answer of a look-up for up to three of its lives, and then some on the way.
	lameDuckTime = 3*lookUpTTL + 300*time.Millisecond
	// closeConnsAfter is when answers begin to close their connections; callers that look up again use
	// others by then.
	closeConnsAfter = lookUpTTL + 500*time.Millisecond
	// killMargin is how long before the kill the process ends by itself.
	killMargin = 250 * time.Millisecond
	// cancelMargin is how long before that the requests that still run are given up and answered: an
	// answer takes a caller's way and a few milliseconds.
	cancelMargin = 200 * time.Millisecond
)

// closesConns says that answers close their connections.
func (g *Gate) closesConns() bool {
	return g.shuttingDown.Load() && g.config.Clock.Now().UnixNano()-g.shutdownAt.Load() > int64(closeConnsAfter)
}

// canFinish says whether a request that arrives now can end before the process does.
//
// Load: callers that still use the entry VM during its shutdown. Harm prevented: a long request that
// starts late is cut off by the kill; refused at once, it runs elsewhere.
func (g *Gate) canFinish(x *exchange) bool {
	if !g.shuttingDown.Load() {
		return true
	}
	end := time.Duration(g.shutdownAt.Load()-g.config.Clock.Now().UnixNano()) + g.config.Settings.GracePeriod - killMargin - cancelMargin
	return x.route.TargetLatency*2 < end
}

// shutDown ends the process after all that callers may still send has its answer.
func (g *Gate) shutDown(hard context.Context, listener net.Listener) {
	g.shutdownAt.Store(g.config.Clock.Now().UnixNano())
	g.shuttingDown.Store(true)
	g.requestRegistration()
	g.record(paevent.Stopping{Reason: "signal", InFlight: int(g.inFlight.Load())})
	begun := g.config.Clock.Now()
	g.sleep(hard, min(lameDuckTime, g.config.Settings.GracePeriod/2+lameDuckTime/8))
	ctx, cancel := g.withTimeout(hard, g.config.Settings.GracePeriod-killMargin-g.config.Clock.Since(begun))
	defer cancel()
	giveUp := g.config.Clock.AfterFunc(g.config.Settings.GracePeriod-killMargin-cancelMargin-g.config.Clock.Since(begun), g.cancelRequests)
	defer giveUp.Stop()
	if err := listener.Close(); err != nil {
		g.record(paevent.ListenerFailed{Reason: err.Error()})
	}
	cut := 0
	if !g.drain(ctx) {
		cut = int(g.inFlight.Load())
	}
	g.record(paevent.Stopped{CutOff: cut, DrainMilliseconds: g.config.Clock.Since(begun).Milliseconds()})
}

// newConnTimeout is how long a connection may be open during a shutdown without a whole head of a request. Callers send
// right after they connect; a packet that is lost comes again within a second.
const newConnTimeout = 1500 * time.Millisecond

// drainPollInterval is the time between two looks at the connections that are still open: a fraction of the time
// that callers need to go elsewhere.
const drainPollInterval = 20 * time.Millisecond

// drain waits until callers' connections have ended and says whether all have.
//
// It stands in for the Shutdown of net/http, which closes a connection whose request it reads after the
// shutdown began. Failure prevented: the process stands still for a moment while a request arrives, the
// request is read right after, and its caller loses the connection without an answer.
func (g *Gate) drain(ctx context.Context) bool {
	for g.listener.Drain(g.config.Clock.Now(), newConnTimeout) > 0 {
		if !g.sleep(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}
