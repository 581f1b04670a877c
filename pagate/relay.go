package pagate

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"papayahead/paheader"
	"papayahead/paproof"
	"papayahead/pasteer"
)

// dialRelay opens a connection to an entry VM for relayed requests.
func (g *Gate) dialRelay(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := g.config.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := io.WriteString(c, relayPrefix); err != nil {
		c.Close()
		return nil, trace.Wrap(err)
	}
	return c, nil
}

// maxRelays is how many relays are offered a request: those that cannot serve it say so within a round trip.
const maxRelays = 3

// forwardToRelay hands the request to an entry VM that reaches its service's targets, and reports whether the client has
// its response. If not, the request did not run, or may run once more, and x.direct says whether to try without relays.
func (g *Gate) forwardToRelay(ctx context.Context, w http.ResponseWriter, x *exchange) (responded bool) {
	p, ok := g.pickRelay(x)
	if !ok {
		x.direct = true
		return false
	}
	r := g.sendToRelay(ctx, x, p)
	x.relays = append(x.relays, p.Name)
	x.direct = len(x.relays) >= maxRelays
	tried := p.Name
	if r.relayed == nil || r.relayed.Elsewhere {
		x.failedRelays = append(x.failedRelays, p.Name)
	} else {
		tried = r.relayed.Target
	}
	g.reportRelay(x, p, r)
	if r.reply == nil && x.clientCtx.Err() != nil {
		g.recordEnd(x, 0, reasonClientGone)
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.outcome == pasteer.Abandoned:
		g.answerLastFailure(w, x, r, false)
	case r.mayMoveOn(x):
		return false
	case r.relayed != nil && r.proof.Proved():
		g.answerNoTarget(w, x, r.relayed.refusal())
	case g.takeRetry(x, r):
		if r.reply != nil {
			x.failedReply = r.reply
		}
		x.tried = append(x.tried, tried)
		return false
	case r.reply != nil:
		g.writeReply(w, x, r)
	default:
		g.answerLastFailure(w, x, r, false)
	}
	return true
}

// mayMoveOn reports whether another relay may take a request that did not run: this one was not reached, or said so and
// its body is held in memory.
func (r *attemptResult) mayMoveOn(x *exchange) bool {
	if r.relayed == nil {
		return r.proof.Proved()
	}
	return r.proof.Proved() && (r.relayed.Elsewhere || x.lastChoice.Sender != 0 && r.relayed.isOwnRefusal()) && x.unbuffered == nil
}

// pickRelay chooses the relay of the next attempt.
func (g *Gate) pickRelay(x *exchange) (pasteer.Peer, bool) {
	now := g.config.Clock.Now()
	if x.lastChoice.Sender != 0 {
		return g.pickSender(x, now)
	}
	if x.lastChoice.ToSender {
		g.updateRelayPeers(now)
	}
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	pick := g.balancer.PickRelay
	if x.lastChoice.ToSender {
		pick = g.balancer.PickLimitSender
	}
	p, ok := pick(x.balancerRequest(), x.failedRelays, now)
	if ok {
		g.balancer.StartRelay(p.Name)
	}
	return p, ok
}

// reportRelay reports the outcome of a relayed attempt to the balancer and counts it.
func (g *Gate) reportRelay(x *exchange, p pasteer.Peer, r attemptResult) {
	if x.lastChoice.Sender != 0 {
		g.reportSender(x, p, r)
		return
	}
	report := pasteer.RelayReport{Name: p.Name, Service: x.service, Object: x.object}
	outcome := r.outcome.String()
	if r.relayed == nil {
		report.Unresponsive = r.outcome != pasteer.Abandoned && r.outcome != pasteer.Withheld
	} else {
		outcome = string(r.relayed.Outcome)
		report.Failed = r.relayed.Elsewhere
		switch pasteer.Reason(r.relayed.Reason) {
		case pasteer.ReasonLimited, pasteer.ReasonPushback:
			report.RetryAfter = time.Duration(r.relayed.RetryMicroseconds) * time.Microsecond
		}
		report.Target = r.relayed.Target
		report.Delay = max(0, r.report.Duration-time.Duration(r.relayed.Microseconds)*time.Microsecond)
		x.lastChoice.Target = r.relayed.Target
	}
	x.lastFailure = r.failure
	g.meter.countRelayed(outcome, report.Delay)
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	g.balancer.FinishRelay(report, g.config.Clock.Now())
}

// sendToRelay sends the request to a relay, once.
func (g *Gate) sendToRelay(ctx context.Context, x *exchange, p pasteer.Peer) attemptResult {
	call, err := json.Marshal(relayCall{
		From: g.self.Name, Version: x.version, Service: x.service, Workspace: x.workspaceName(), Tried: x.tried,
		Unwilling: g.unwilling(x.service), OperatorChange: uint64(g.settledOperatorChange()),
	})
	if err != nil {
		panic("pagate: encode a relay call as JSON: " + err.Error())
	}
	c := pasteer.Choice{Target: p.Name, Address: p.Address, Born: p.Born}
	if x.route.Idempotent {
		// Another relay can take it. Any other request may have run, and its response may still come.
		var done func()
		ctx, done = g.relayCancels.Add(ctx, p.Name)
		defer done()
	}
	a := &attempt{gate: g, x: x, choice: c, relayCall: string(call), startedAt: g.config.Clock.Now()}
	if x.lastChoice.Sender != 0 {
		return a.sendOn(ctx, g.senderConns)
	}
	return a.sendOn(ctx, g.relayConns)
}

// readRelayed reads a relay's response.
func (a *attempt) readRelayed(ctx context.Context, response *http.Response) attemptResult {
	var said relayReply
	if err := json.Unmarshal([]byte(response.Header.Get(relayHeader)), &said); err != nil {
		return a.fail(ctx, trace.Wrap(err, "response of a relay"))
	}
	response.Header.Del(relayHeader)
	r := attemptResult{relayed: &said, proof: paproof.ByRelay(said.Outcome == relayNotRun), outcome: pasteer.Answered, report: a.report()}
	if said.Outcome != relayAnswered || response.StatusCode >= http.StatusInternalServerError {
		r.outcome = pasteer.Failed
	}
	if a.x.lastChoice.Sender != 0 && said.Outcome == relayUnknown && said.Reason == reasonDeadline {
		r.outcome = pasteer.Abandoned
	}
	if said.Outcome == relayAnswered {
		load := paheader.ParseLoad(response.Header.Get(a.gate.config.Headers.Load))
		r.report.LoadKnown, r.report.Running, r.report.Waiting = load.Known, load.Running, load.Waiting
		a.gate.observeDraining(said.Target, said.Born, response.Header)
		return a.readBody(ctx, response, r)
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered))
	a.releaseConn(response, err == nil)
	return r
}
