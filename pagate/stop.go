package pagate

import (
	"context"
	"net"
	"time"

	"papayahead/paevent"
)

const (
	// stayTime is how long after the start of a shutdown new requests are taken: callers keep the
	// answer of a look-up for up to three of its lives, and then some on the way.
	stayTime = 3*lookUpLife + 300*time.Millisecond
	// closeAfter is when answers begin to close their connections; callers that look up again use
	// others by then.
	closeAfter = lookUpLife + 500*time.Millisecond
	// graceMargin is how long before the kill the process ends by itself.
	graceMargin = 250 * time.Millisecond
	// answerMargin is how long before that the requests that still run are given up and answered: an
	// answer takes a caller's way and a few milliseconds.
	answerMargin = 200 * time.Millisecond
)

// closing says that answers close their connections.
func (g *Gate) closing() bool {
	return g.leaving.Load() && g.config.Clock.Now().UnixNano()-g.leftAt.Load() > int64(closeAfter)
}

// mayFinish says whether a request that arrives now can end before the process does.
//
// Load: callers that still use the entry VM during its shutdown. Harm prevented: a long request that
// starts late is cut off by the kill; refused at once, it runs elsewhere.
func (g *Gate) mayFinish(x *exchange) bool {
	if !g.leaving.Load() {
		return true
	}
	end := time.Duration(g.leftAt.Load()-g.config.Clock.Now().UnixNano()) + g.config.Settings.GracePeriod - graceMargin - answerMargin
	return x.route.TargetLatency*2 < end
}

// shutDown ends the process after all that callers may still send has its answer.
func (g *Gate) shutDown(hard context.Context, listener net.Listener) {
	g.leftAt.Store(g.config.Clock.Now().UnixNano())
	g.leaving.Store(true)
	g.announceAgain()
	g.record(paevent.Stopping{Reason: "signal", InFlight: int(g.inFlight.Load())})
	begun := g.config.Clock.Now()
	g.sleep(hard, min(stayTime, g.config.Settings.GracePeriod/2+stayTime/8))
	ctx, cancel := g.withTimeout(hard, g.config.Settings.GracePeriod-graceMargin-g.config.Clock.Since(begun))
	defer cancel()
	giveUp := g.config.Clock.AfterFunc(g.config.Settings.GracePeriod-graceMargin-answerMargin-g.config.Clock.Since(begun), g.end)
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

// newMost is how long a connection may be open during a shutdown without a whole head of a request. Callers send
// right after they connect; a packet that is lost comes again within a second.
const newMost = 1500 * time.Millisecond

// drainPace is the time between two looks at the connections that are still open: a fraction of the time
// that callers need to go elsewhere.
const drainPace = 20 * time.Millisecond

// drain waits until callers' connections have ended and says whether all have.
//
// It stands in for the Shutdown of net/http, which closes a connection whose request it reads after the
// shutdown began. Failure prevented: the process stands still for a moment while a request arrives, the
// request is read right after, and its caller loses the connection without an answer.
func (g *Gate) drain(ctx context.Context) bool {
	for g.callers.Drain(g.config.Clock.Now(), newMost) > 0 {
		if !g.sleep(ctx, drainPace) {
			return false
		}
	}
	return true
}
