package pagate

import (
	"context"
	"slices"
	"time"

	"papayahead/paconn"
	"papayahead/pafleet"
	"papayahead/pasteer"
)

const (
	// pathInterval is the time between two checks of the paths to targets, unless a failure wakes them.
	pathInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe: a few round trips of 70 ms between regions.
	probeTimeout = 400 * time.Millisecond
)

// watchPaths probes targets to which connections fail, and keeps what the balancer knows of other entry VMs up to date
// meanwhile.
func (g *Gate) watchPaths(ctx context.Context) {
	for ctx.Err() == nil {
		g.checkPaths(ctx)
		select {
		case <-g.config.Clock.After(pathInterval):
		case <-g.pathFailed:
		case <-ctx.Done():
		}
	}
}

// checkPaths starts the probes that are due.
func (g *Gate) checkPaths(ctx context.Context) {
	now := g.config.Clock.Now()
	g.updateSenders()
	g.balancerMutex.Lock()
	hasLost := g.balancer.HasLost()
	g.balancerMutex.Unlock()
	var peers []pasteer.Peer
	if hasLost {
		peers = g.relayPeers()
	}
	g.balancerMutex.Lock()
	if hasLost {
		g.balancer.UpdatePeers(peers, now)
	}
	probes := g.balancer.Probes(now)
	lost := lostServices(g.balancer.LostServices())
	g.balancerMutex.Unlock()
	g.publishLost(lost, now)
	for _, p := range probes {
		g.spawn(func() { g.probe(ctx, p) })
	}
}

// wakePathWatch has watchPaths check at once, after an attempt that failed to reach its target.
func (g *Gate) wakePathWatch() {
	select {
	case g.pathFailed <- struct{}{}:
	default:
	}
}

// probe opens a connection to a target and keeps it for a request.
func (g *Gate) probe(ctx context.Context, p pasteer.Probe) {
	g.meter.probes.Inc()
	c, err := g.conns.Connect(ctx, p.Address, p.Target, p.Born, probeTimeout)
	if err != nil && (ctx.Err() != nil || paconn.IsNoDescriptor(err)) {
		return // It tells nothing of the path.
	}
	if err == nil {
		g.conns.Put(c)
	} else {
		g.notePathFailure(p.Service, paconn.DialFailure(ctx, err))
	}
	g.balancerMutex.Lock()
	pathFailed := g.balancer.ProbeDone(p, err == nil, g.config.Clock.Now())
	g.balancerMutex.Unlock()
	if pathFailed {
		g.conns.CloseIdle(p.Address)
	}
	g.wakePathWatch()
}

// updateRelayPeers has the balancer know the other entry VMs, if that is older than pathInterval.
func (g *Gate) updateRelayPeers(now time.Time) {
	g.balancerMutex.Lock()
	old := now.Sub(g.relayPeersAt) >= pathInterval
	if old {
		g.relayPeersAt = now
	}
	g.balancerMutex.Unlock()
	if !old {
		return
	}
	peers := g.relayPeers()
	g.balancerMutex.Lock()
	defer g.balancerMutex.Unlock()
	g.balancer.UpdatePeers(peers, now)
}

// relayPeers returns the other live entry VMs, of a large region those that this entry VM calls: the failure of any
// other would be noticed late.
func (g *Gate) relayPeers() []pasteer.Peer {
	live := g.entriesWhere(g.state.Load(), g.peers.mayRelay)
	near := hashRing(g.self, live)
	if len(near) > maxNeighbours {
		near = g.neighbours(live)
	}
	var all []pasteer.Peer
	for _, e := range live {
		isNear := func(o pafleet.Entry) bool { return o.Name == e.Name }
		if e.Name == g.self.Name || e.Region == g.self.Region && !slices.ContainsFunc(near, isNear) {
			continue
		}
		all = append(all, pasteer.Peer{
			Name: e.Name, Zone: e.Zone, Region: e.Region, Address: e.Peers, Born: e.Born, Lost: g.peers.lostServices(e.Name),
		})
	}
	return all
}
