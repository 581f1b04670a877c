package pagate

import (
	"net/http"
)

// admitPipelined waits until a request that follows others on its connection may be sent to a target, and reports
// whether it may; otherwise it has responded.
//
// Clients with HTTP pipelining send requests without awaiting the responses. An idempotent request without a body
// runs concurrently with those ahead. One that must not run twice, or that has a body, waits for its turn: a response
// ahead may close the connection, and the client then assumes that the request was not read and sends it again. All
// wait once the responses that wait for their turn reach the lane's bounds.
func (g *Gate) admitPipelined(w http.ResponseWriter, x *exchange) bool {
	if !x.lane.EarlierPending() || x.route.Idempotent && x.size == 0 && x.lane.MayRunEarly() {
		return true
	}
	g.awaitEarlierResponses(x)
	if g.config.Clock.Now().After(x.deadline) {
		g.refuse(w, x, reasonBehindOthers, retryAfterBehindOthers)
		return false
	}
	return true
}

// awaitEarlierResponses waits until the responses ahead on the client's connection are sent. It panics with
// http.ErrAbortHandler if the client disconnects.
func (g *Gate) awaitEarlierResponses(x *exchange) {
	if !x.lane.EarlierPending() {
		return
	}
	start := g.config.Clock.Now()
	err := x.lane.AwaitTurn(x.clientCtx)
	x.pipelineWait += g.config.Clock.Since(start)
	if err != nil {
		g.recordEnd(x, 0, reasonClientGone)
		panic(http.ErrAbortHandler)
	}
}

// beginResponse waits for the response's turn. In the last part of a shutdown it also closes the connection after the
// last request on it.
func (g *Gate) beginResponse(w http.ResponseWriter, x *exchange, bytes int) {
	x.lane.CountBuffered(bytes)
	g.awaitEarlierResponses(x)
	if g.closesConns() && x.lane.MarkLast() {
		w.Header().Set("Connection", "close")
	}
}
