package pagate

import (
	"context"
	"net"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"papayahead/paport"
	"papayahead/pawire"
)

// servePeers serves other entry VMs: their calls, and the requests that they relay here.
func (g *Gate) servePeers(ctx context.Context, l net.Listener) {
	mux := drpcmux.New()
	if err := trace.NewAggregate(pawire.DRPCRegisterSyncing(mux, g.peers), pawire.DRPCRegisterLimiting(mux, g.limiter)); err != nil {
		panic("pagate: register the calls of entry VMs: " + err.Error())
	}
	split := drpcmigrate.NewListenMux(
		&paport.Cap{Listener: l, Clock: g.config.Clock, Max: g.ports.shares.Peers, FirstByte: headerTimeout}, len(relayPrefix))
	relays := g.relayServer(split.Route(relayPrefix))
	g.serve(func() error {
		defer relays.Close()
		defer context.AfterFunc(ctx, relays.Close)()
		return relays.Run()
	})
	g.serve(func() error {
		return untilDone(ctx, drpcserver.New(mux).Serve(ctx, pawire.NewBoundListener(split.Default(), &g.memory.budget)))
	})
	g.serve(func() error { return untilDone(ctx, split.Run(ctx)) })
}

// untilDone returns the error of a server, or nil if it ended because ctx is done.
func untilDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
