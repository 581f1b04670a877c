package pagate

import (
	"time"

	"papayahead/paconn"
	"papayahead/pasteer"
)

// senderDialTimeout bounds the opening of a connection to the sender of a target, which is in the same zone. One that has lost power
// refuses no connection, and the request is then sent directly.
const senderDialTimeout = 100 * time.Millisecond

// newSenderPool returns the pool of connections to the senders of targets.
func (g *Gate) newSenderPool() *paconn.Pool { return g.newPool(g.dialRelay, senderDialTimeout) }

// updateSenders has the balancer know the live entry VMs of this zone while any service has its targets divided among them.
func (g *Gate) updateSenders() {
	g.balancerMutex.Lock()
	used := g.balancer.UsesSenders()
	g.balancerMutex.Unlock()
	if !used {
		return
	}
	var others []pasteer.Peer
	for _, e := range g.entriesWhere(g.state.Load(), g.peers.mayRelay) {
		if e.Zone != g.self.Zone || e.Name == g.self.Name {
			continue
		}
		others = append(others, pasteer.Peer{
			Name: e.Name, Zone: e.Zone, Region: e.Region, Address: e.Peers, Born: e.Born, LinkMbps: e.LinkMbps,
			Lost: g.peers.lostServices(e.Name),
		})
	}
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	g.balancer.UpdateSenders(g.self.LinkMbps, others, g.config.Clock.Now())
}

// noSender reports whether no sender may be handed the request: an entry VM was already, or a part of its body can be read only once.
func (x *exchange) noSender() bool { return len(x.relays) > 0 || x.unbuffered != nil }

// pickSender returns the sender that the last choice names.
func (g *Gate) pickSender(x *exchange, now time.Time) (pasteer.Peer, bool) {
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	return g.balancer.StartSender(x.lastChoice, x.balancerRequest(), now)
}

// isOwnRefusal reports whether a sender refused a request for what it knows or holds alone: its configuration and paths, its memory,
// and its share of what cold and limited targets bear. The entry VM that received the request may still send it. Any other refusal tells of load.
func (r *relayReply) isOwnRefusal() bool {
	switch r.Reason {
	case string(pasteer.ReasonNoTarget), string(pasteer.ReasonCold), string(pasteer.ReasonLimited), string(pasteer.ReasonPushback),
		reasonShuttingDown, reasonBehindConfig, reasonNoRoute, reasonUnknownWorkspace, reasonBuffersFull:
		return true
	}
	return false
}

// reportSender reports the outcome of an attempt through a sender to the balancer and counts it.
func (g *Gate) reportSender(x *exchange, p pasteer.Peer, r attemptResult) {
	report := pasteer.SenderReport{RelayReport: pasteer.RelayReport{Name: p.Name, Service: x.service, Object: x.object}}
	outcome := r.outcome.String()
	if r.relayed == nil {
		report.Unresponsive = r.outcome != pasteer.Abandoned && r.outcome != pasteer.Withheld
	} else {
		outcome = string(r.relayed.Outcome)
		report.Responded, report.Failed = true, r.relayed.Elsewhere
		report.Leaving = r.relayed.Reason == reasonShuttingDown
		switch pasteer.Reason(r.relayed.Reason) {
		case pasteer.ReasonLimited, pasteer.ReasonPushback:
			report.RetryAfter = time.Duration(r.relayed.RetryMicroseconds) * time.Microsecond
		}
		if r.relayed.Outcome != relayNotRun {
			report.Target, report.Born = r.relayed.Target, r.relayed.Born
		}
		if r.relayed.Outcome == relayAnswered {
			report.LoadKnown, report.Load = r.report.LoadKnown, r.report.Running+r.report.Waiting
		}
		report.Delay = max(0, r.report.Duration-time.Duration(r.relayed.Microseconds)*time.Microsecond)
		x.lastChoice.Target = r.relayed.Target
	}
	x.lastFailure = r.failure
	g.meter.countHandedOver(outcome, report.Delay)
	q := x.balancerRequest()
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	g.balancer.FinishSender(report, q, g.config.Clock.Now())
}
