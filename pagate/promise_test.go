package pagate

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"papayahead/paproof"
	"papayahead/pasteer"
)

// Guards against a status that promises that a request did not run, from whichever part of the process it comes: a target's response,
// as a relay of another version passes it on, or a response of the gate's own to a request that was sent.
func TestNoPartOfTheGateWritesAPromiseWithoutProof(t *testing.T) {
	failed := func(status int) attemptResult {
		return attemptResult{reply: &reply{status: status, header: http.Header{"X-Server-Stamp": {"s"}}}, outcome: pasteer.Failed}
	}
	ways := map[string]func(g *Gate, w http.ResponseWriter, x *exchange, status int){
		"a response": func(g *Gate, w http.ResponseWriter, x *exchange, status int) { g.writeReply(w, x, failed(status)) },
		"no further target": func(g *Gate, w http.ResponseWriter, x *exchange, _ int) {
			g.answerNoTarget(w, x, pasteer.Choice{Reason: "Full"})
		},
		"the last failure": func(g *Gate, w http.ResponseWriter, x *exchange, _ int) {
			g.answerLastFailure(w, x, attemptResult{}, true)
		},
		"a refusal": func(g *Gate, w http.ResponseWriter, x *exchange, status int) {
			g.refuseWithStatus(w, x, status, "r", time.Second)
		},
		"an error":           func(g *Gate, w http.ResponseWriter, x *exchange, status int) { g.writeError(w, x, status, "r") },
		"an unreadable body": func(g *Gate, w http.ResponseWriter, x *exchange, status int) { g.refuseBody(w, x, status, "r") },
	}
	for name, way := range ways {
		for _, status := range paproof.Promises() {
			for _, sent := range []bool{true, false} {
				g, _, _ := returnGate(true)
				x := returnExchange(g, 3*time.Second)
				if sent && x.sends.Begin() {
					x.sends.End(paproof.Rejection{})
				}
				w := httptest.NewRecorder()
				way(g, w, x, status)
				isPromise := paproof.IsPromise(w.Code)
				if sent && isPromise {
					t.Errorf("%s, %d: %d to a request that may have run", name, status, w.Code)
				}
				if isPromise && x.sends.Begin() {
					t.Errorf("%s, %d: sent after %d", name, status, w.Code)
				}
				if !isPromise && (w.Header().Get("Retry-After") != "" || w.Header().Get("X-Server-Stamp") != "") {
					t.Errorf("%s, %d: %v", name, status, w.Header())
				}
			}
		}
	}
}
