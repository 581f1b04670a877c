package pagate

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"papayahead/palane"
	"papayahead/pasteer"
)

// relayHeaderOf returns the header of a response to a relayed request.
func (g *Gate) relayHeaderOf(x *exchange, r relayReply) string {
	r.Target, r.Born, r.Microseconds = x.lastChoice.Target, x.lastChoice.Born, g.config.Clock.Since(x.arrived).Microseconds()
	b, err := json.Marshal(r)
	if err != nil {
		panic("pagate: encode a relay reply as JSON: " + err.Error())
	}
	return string(b)
}

// markRelayed adds what a relay says beside a response; it does nothing for requests of clients.
func (g *Gate) markRelayed(w http.ResponseWriter, x *exchange, r relayReply) {
	if x.relayed != nil {
		w.Header().Set(relayHeader, g.relayHeaderOf(x, r))
	}
}

// serveRelayed handles a request that another entry VM received. It is not authenticated or charged again, and never
// relayed further.
func (g *Gate) serveRelayed(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.relayedInFlight.Add(1)
	defer g.relayedInFlight.Add(-1)
	x := g.newExchange(r)
	defer x.release()
	x.direct = true
	x.relayed = &relayCall{}
	if x.lane.Refused() {
		x.unread = r.ContentLength != 0
		g.refuse(w, x, reasonNoRoom, retryAfterRelay)
		return
	}
	x.lane = nil // The first entry VM keeps the order of its client's requests.
	if err := json.Unmarshal([]byte(r.Header.Get(relayHeader)), x.relayed); err != nil {
		g.writeError(w, x, http.StatusBadRequest, reasonBadRelayCall)
		return
	}
	if reason := g.routeRelayed(x, r); reason != "" {
		g.refuse(w, x, reason, retryAfterRelay)
		return
	}
	if status, reason := g.readBody(x, r, g.state.Load().table.Config.Limits); status != 0 {
		g.refuse(w, x, reason, retryAfterRelay)
		return
	}
	x.deadline = g.deadlineOf(x, r)
	if !g.canFinish(x) {
		g.refuse(w, x, reasonShuttingDown, retryAfterShutdown)
		return
	}
	done, admitted := g.admitQuarantined(w, x)
	if !admitted {
		return
	}
	defer done()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(g.requestsCtx, cancel)()
	g.forward(ctx, w, x)
}

// retryAfterRelay applies when no relay knows the request's configuration yet, or all shut down.
const retryAfterRelay = 200 * time.Millisecond

// routeRelayed routes a relayed request by the configuration here, which must be at least as new as the one by which the
// first entry VM routed it, and as what that one knows of evacuations. It returns why the request cannot be served.
func (g *Gate) routeRelayed(x *exchange, r *http.Request) (reason string) {
	s := g.state.Load()
	switch {
	case g.shuttingDown.Load():
		return reasonShuttingDown
	case s.table == nil || s.table.Config.Version < x.relayed.Version, uint64(s.operatorRevision) < x.relayed.OperatorChange:
		return reasonBehindConfig
	}
	x.version = s.table.Config.Version
	if x.route = s.table.Match(r.Host, requestPath(r.RequestURI)); x.route == nil {
		return reasonNoRoute
	}
	x.sends.Repeatable = x.route.Idempotent
	if name := x.relayed.Workspace; name != "" {
		if x.workspace = s.table.Workspace(name); x.workspace == nil {
			return reasonUnknownWorkspace
		}
	}
	x.tried, x.avoid = append(x.tried, x.relayed.Tried...), x.relayed.Unwilling
	x.service = x.relayed.Service
	if !x.route.HasService(x.service) {
		x.service = g.pickService(x)
	}
	return ""
}

// relayServer returns the server for requests of other entry VMs. Their heads are those of clients with what the entry VMs add.
func (g *Gate) relayServer(l net.Listener) *palane.Server {
	c := g.laneConfig(portPeers, g.ports.shares.Clients)
	c.Base, c.MaxHeaderBytes, c.MaxHead = l, 2*maxHeader, nil
	return g.newServer(c, g.serveRelayed)
}

// saidElsewhere reports whether another relay may serve a request that this one refused: this one shuts down, is behind, has
// used up its part of what limited targets take, is to send nothing to the targets for a time, or has lost targets of the service itself.
func (g *Gate) saidElsewhere(x *exchange, reason string) bool {
	switch reason {
	case reasonShuttingDown, reasonBehindConfig, string(pasteer.ReasonLimited), string(pasteer.ReasonPushback):
		return true
	case string(pasteer.ReasonNoTarget), string(pasteer.ReasonCold), reasonAttemptsSpent:
		return g.lost()[x.service].Targets > 0
	}
	return false
}
