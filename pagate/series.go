package pagate

import (
	"net/http"
)

// mayRun waits until a request that stands behind others on its connection may be sent to a target, and says
// whether it may.
//
// Load: callers that send request after request without awaiting the answers. An idempotent request runs beside
// those ahead. One that must run once, or has a body, waits for its turn: an answer ahead may close the
// connection, and its caller then takes it as not read and sends it again. So do all, once answers that wait
// for their turn fill their bounds.
func (g *Gate) mayRun(w http.ResponseWriter, x *exchange) bool {
	if !x.lane.EarlierPending() || x.route.Idempotent && x.size == 0 && x.lane.MayRunEarly() {
		return true
	}
	g.awaitTurn(x)
	if g.config.Clock.Now().After(x.limit) {
		g.refuse(w, x, reasonBehind, comeBackBehind)
		return false
	}
	return true
}

// awaitTurn waits until the answers ahead on the caller's connection are out.
func (g *Gate) awaitTurn(x *exchange) {
	if !x.lane.EarlierPending() {
		return
	}
	begun := g.config.Clock.Now()
	err := x.lane.AwaitTurn(x.caller)
	x.behind += g.config.Clock.Since(begun)
	if err != nil {
		g.ended(x, 0, reasonGone)
		panic(http.ErrAbortHandler)
	}
}

// beginAnswer waits for the answer's turn, and closes the connection behind the last request of one that ends.
func (g *Gate) beginAnswer(w http.ResponseWriter, x *exchange, bytes int) {
	x.lane.CountBuffered(bytes)
	g.awaitTurn(x)
	if g.closing() && x.lane.MarkLast() {
		w.Header().Set("Connection", "close")
	}
}
