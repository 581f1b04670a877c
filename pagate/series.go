package pagate

import (
	"net/http"
)

// admitPipelined waits until a request that stands behind others on its connection may be sent to a target, and says
// whether it may.
//
// Load: callers that send request after request without awaiting the answers. An idempotent request runs beside
// those ahead. One that must run once, or has a body, waits for its turn: an answer ahead may close the
// connection, and its caller then takes it as not read and sends it again. So do all, once answers that wait
// for their turn fill their bounds.
func (g *Gate) admitPipelined(w http.ResponseWriter, x *exchange) bool {
	if !x.lane.Behind() || x.route.Idempotent && x.size == 0 && x.lane.RunsAhead() {
		return true
	}
	g.awaitPipeline(x)
	if g.config.Clock.Now().After(x.deadline) {
		g.refuse(w, x, reasonBehindOthers, retryAfterBehindOthers)
		return false
	}
	return true
}

// awaitPipeline waits until the answers ahead on the caller's connection are out.
func (g *Gate) awaitPipeline(x *exchange) {
	if !x.lane.Behind() {
		return
	}
	begun := g.config.Clock.Now()
	err := x.lane.AwaitTurn(x.caller)
	x.pipelineWait += g.config.Clock.Since(begun)
	if err != nil {
		g.recordEnd(x, 0, reasonCallerGone)
		panic(http.ErrAbortHandler)
	}
}

// beginResponse waits for the answer's turn, and closes the connection behind the last request of one that ends.
func (g *Gate) beginResponse(w http.ResponseWriter, x *exchange, bytes int) {
	x.lane.Hold(bytes)
	g.awaitPipeline(x)
	if g.closesConns() && x.lane.CloseAfter() {
		w.Header().Set("Connection", "close")
	}
}
