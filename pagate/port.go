package pagate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabucket"
	"papayahead/paconn"
	"papayahead/paevent"
	"papayahead/palane"
	"papayahead/paport"
)

// port is a port of an entry VM.
type port string

// The ports.
const (
	portClients   port = "Clients"
	portReadiness port = "Readiness"
	portLookUps   port = "LookUps"
	portPeers     port = "EntryVMs"
	portMetrics   port = "Metrics"
)

// notReadyAfter is how long a port may fail to accept connections before the entry VM isn't ready: a few attempts.
const notReadyAfter = 500 * time.Millisecond

// portLineRate and portLineBurst bound the log lines on errors of ports and on a lack of room, per second.
const (
	portLineRate  = 1
	portLineBurst = 1
)

// unusedClosedAtOnce is how many unused connections of clients are closed when the process has no descriptor left.
const unusedClosedAtOnce = 64

// ports are the open ports of an entry VM. The bounds on their connections leave a part of the descriptors for targets, the store and
// other entry VMs.
type ports struct {
	listeners map[port]*paport.Listener
	// ended is how many servers have ended that should last as long as the process.
	ended atomic.Int64
	// shares bound the connections.
	shares paport.Shares
	// opened bounds the connections to targets and relays.
	opened paconn.Room
	// errorLines and fullLines bound the log lines on errors and on a lack of room; fullLogged is how much was done for it as logged.
	errorLines, fullLines pabucket.Bucket
	fullLogged            uint64
}

// set sets the bounds.
func (p *ports) set(c Config) {
	p.shares = paport.Divide(c.Settings.Sockets)
	p.opened.Max = p.shares.Targets
	for _, lines := range []*pabucket.Bucket{&p.errorLines, &p.fullLines} {
		lines.Rate, lines.Burst = portLineRate, portLineBurst
	}
}

// listen opens the ports.
func (g *Gate) listen() error {
	s := g.config.Settings
	g.ports.listeners = map[port]*paport.Listener{}
	for _, p := range []struct {
		port    port
		address netip.AddrPort
	}{{portClients, s.Front}, {portReadiness, s.Ready}, {portLookUps, s.Directory}, {portPeers, s.Peers}} {
		base, err := g.config.Network.Listen(p.address)
		if err != nil {
			return trace.Wrap(err, "listen on %s", p.address)
		}
		g.meter.acceptErrors(p.port).Set(0)
		g.ports.listeners[p.port] = paport.NewListener(paport.Config{
			Base: base, Clock: g.config.Clock, MakeRoom: g.freeDescriptors, OnError: func(err error) { g.acceptFailed(p.port, err) },
		})
	}
	return nil
}

// acceptFailed records that a port could not accept a connection.
func (g *Gate) acceptFailed(p port, err error) {
	g.meter.acceptErrors(p).Inc()
	if g.ports.errorLines.Take(g.config.Clock.Now()) {
		g.record(paevent.AcceptFailed{Port: string(p), Reason: err.Error()})
	}
}

// newPool returns a pool of connections that dial opens; a timeout of 0 is the default.
func (g *Gate) newPool(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration) *paconn.Pool {
	return paconn.New(paconn.Config{
		Dial: dial, DialTimeout: timeout, Clock: g.config.Clock, Room: &g.ports.opened, FreeDescriptors: g.freeDescriptors,
	})
}

// freeDescriptors closes connections of clients that have no request, when the process has no descriptor left.
func (g *Gate) freeDescriptors() { g.clientListener.CloseUnused(unusedClosedAtOnce) }

// logFullClients logs that there is no room for clients, while that is so; it is called once a tick.
func (g *Gate) logFullClients(now time.Time) {
	n := g.clientListener.Counts()
	done := n.Closed + n.Refused
	if done == g.ports.fullLogged || !g.ports.fullLines.Take(now) {
		return
	}
	g.ports.fullLogged = done
	g.record(paevent.ClientsFull{Open: n.Open, Max: g.ports.shares.Clients, Closed: n.Closed, Refused: n.Refused, Dropped: n.Dropped})
}

// exportConnections adds the open connections, and what was done for lack of room, to the metrics.
func (g *Gate) exportConnections(others map[string]*palane.Listener) {
	counts := func(name string, value func(n palane.Counts) float64) {
		g.meter.set.NewGauge(name, func() float64 { return value(g.clientListener.Counts()) })
	}
	counts(`papayahead_gate_connections{kind="Clients"}`, func(n palane.Counts) float64 { return float64(n.Open) })
	counts(`papayahead_gate_client_connections_closed_for_room`, func(n palane.Counts) float64 { return float64(n.Closed) })
	counts(`papayahead_gate_clients_refused_for_room`, func(n palane.Counts) float64 { return float64(n.Refused) })
	counts(`papayahead_gate_clients_dropped_for_room`, func(n palane.Counts) float64 { return float64(n.Dropped) })
	g.meter.set.NewGauge(`papayahead_gate_connections{kind="Targets"}`, func() float64 { return float64(g.ports.opened.Open()) })
	for kind, l := range others {
		g.meter.set.NewGauge(`papayahead_gate_connections{kind="`+kind+`"}`, func() float64 { return float64(l.Counts().Open) })
		g.meter.set.NewGauge(`papayahead_gate_connections_closed_for_room{kind="`+kind+`"}`, func() float64 {
			n := l.Counts()
			return float64(n.Closed + n.Refused)
		})
	}
}

// CountAcceptError records that the port for metrics, which is served outside of the Gate, could not accept a connection.
func (g *Gate) CountAcceptError(err error) { g.acceptFailed(portMetrics, err) }

// serve runs a server of a port until it ends, which it should not before the process does.
func (g *Gate) serve(run func() error) {
	g.spawn(func() {
		err := run()
		if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return
		}
		g.ports.ended.Add(1)
		g.record(paevent.ListenerFailed{Reason: err.Error()})
	})
}

// servesPorts reports whether all ports are served: no server has ended, and none of them fails to accept connections for longer than a
// moment.
func (g *Gate) servesPorts() bool {
	if g.ports.ended.Load() > 0 {
		return false
	}
	now := g.config.Clock.Now()
	for _, l := range g.ports.listeners {
		if l.FailingFor(now) > notReadyAfter {
			return false
		}
	}
	return true
}
