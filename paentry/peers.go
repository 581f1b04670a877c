package paentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"

	"papayahead/pabundle"
	"papayahead/paclock"
	"papayahead/pacontrol"
	"papayahead/pamember"
	"papayahead/paport"
	"papayahead/paproxy"
	"papayahead/paspread"
	"papayahead/pawire"
)

const (
	// controlTimeout bounds a small call between daemons; a message between regions takes 35 ms. With a
	// shorter timeout, calls over a busy link count as lost; with a longer one, calls to a dead peer pile up.
	controlTimeout = time.Second
	// pieceTimeout bounds the transfer of a bundle piece of up to a megabyte.
	pieceTimeout = 5 * time.Second
	// maxControlCalls bounds the control calls in progress. Further ones are dropped, which their callers
	// handle like a message lost in the network.
	maxControlCalls = 256
	// connectionsPerPeer and totalPeerConnections bound the pooled control connections; a daemon talks to
	// a few dozen peers.
	connectionsPerPeer   = 2
	totalPeerConnections = 128
	// peerConnsDivisor is the divisor of the connections of callers that yields those of other daemons.
	peerConnsDivisor = 2
	// peerIdleTimeout is the time after which an unused control connection is closed.
	peerIdleTimeout = time.Minute
)

// peers makes control calls to other daemons. They use their own connections, so that the slow stream of
// a forwarded request does not delay a heartbeat.
type peers struct {
	daemon     *Daemon
	pool       *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	slots      chan struct{}
	askStreaks askStreaks
}

func newPeers(d *Daemon) *peers {
	return &peers{
		daemon: d,
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration: peerIdleTimeout, Capacity: totalPeerConnections, KeyCapacity: connectionsPerPeer,
		}),
		slots: make(chan struct{}, maxControlCalls),
	}
}

func (p *peers) conn(ctx context.Context, a netip.AddrPort) drpcpool.Conn {
	return p.pool.Get(ctx, a, func(ctx context.Context, a netip.AddrPort) (drpcpool.Conn, error) {
		c, err := p.daemon.config.Network.Dial(ctx, "tcp", a.String())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		return drpcconn.New(c), nil
	})
}

// startCall runs f on its own goroutine with a timeout. If maxControlCalls are in progress, it calls dropped instead.
func (p *peers) startCall(ctx context.Context, timeout time.Duration, dropped func(), f func(ctx context.Context)) {
	select {
	case p.slots <- struct{}{}:
	default:
		dropped()
		return
	}
	p.daemon.spawn(func() {
		defer func() { <-p.slots }()
		ctx, cancel := paclock.WithTimeout(ctx, p.daemon.config.Clock, timeout)
		defer cancel()
		f(ctx)
	})
}

func ignoreDrop() {}

// sendMember sends a membership message and posts the messages of the reply.
func (p *peers) sendMember(ctx context.Context, e pamember.Envelope) {
	p.startCall(ctx, controlTimeout, ignoreDrop, func(ctx context.Context) {
		c := pawire.NewDRPCMembershipClient(p.conn(ctx, e.Address))
		w := pamember.ToWire([]pamember.Message{e.Message})
		w.Stamp = p.daemon.config.Recorder.Stamps.NextText()
		r, err := c.Exchange(ctx, w)
		if err != nil {
			return
		}
		p.daemon.config.Recorder.Stamps.ReceiveText(r.GetStamp())
		p.receiveMembers(r)
	})
}

func (p *peers) receiveMembers(w *pawire.MemberMessages) {
	all, err := pamember.FromWire(w)
	if err != nil {
		return
	}
	for _, m := range all {
		p.daemon.post(pacontrol.MemberMessage{Message: m})
	}
}

func (p *peers) offerHead(ctx context.Context, o pacontrol.OfferHead) {
	p.startCall(ctx, controlTimeout, ignoreDrop, func(ctx context.Context) {
		c := pawire.NewDRPCSpreadingClient(p.conn(ctx, o.Address))
		r, err := c.Offer(ctx, paspread.ToWire(p.daemon.config.Settings.Name, o.Head))
		if err != nil {
			return
		}
		p.receiveHead(r)
	})
}

func (p *peers) receiveHead(w *pawire.HeadOffer) {
	o, err := paspread.FromWire(w)
	if err != nil {
		return
	}
	p.daemon.post(pacontrol.HeadOffered{Peer: o.Peer, Head: o.Head})
}

// fetchPiece fetches a bundle piece from a peer or the store and posts it; a failure is posted as a piece without data.
func (d *Daemon) fetchPiece(ctx context.Context, f pacontrol.FetchPiece) {
	failed := pacontrol.PieceFetched{From: f.From, Digest: f.Digest}
	d.peers.startCall(ctx, pieceTimeout, func() { go d.post(failed) }, func(ctx context.Context) {
		got := failed
		if f.From.Store {
			got.Data = d.storedPiece(ctx, f.Digest)
		} else {
			got.Data = d.peers.piece(ctx, f.Address, f.Digest)
		}
		d.post(got)
	})
}

// piece returns a bundle piece from a peer, nil if the peer lacks it or the call failed.
func (p *peers) piece(ctx context.Context, a netip.AddrPort, g pabundle.Digest) []byte {
	r, err := pawire.NewDRPCPiecesClient(p.conn(ctx, a)).Fetch(ctx, &pawire.PieceRequest{Digest: string(g)})
	if err != nil || !r.GetFound() {
		return nil
	}
	return r.GetData()
}

// servePeers serves the calls of other daemons until ctx is cancelled.
func (d *Daemon) servePeers(ctx context.Context) {
	mux := drpcmux.New()
	s := &peerServer{daemon: d}
	for _, err := range []error{
		pawire.DRPCRegisterMembership(mux, s),
		pawire.DRPCRegisterSpreading(mux, s),
		pawire.DRPCRegisterPieces(mux, s),
		pawire.DRPCRegisterCredits(mux, s),
		pawire.DRPCRegisterAgreement(mux, s),
		pawire.DRPCRegisterLedger(mux, s),
		pawire.DRPCRegisterForwarding(mux, d.front),
	} {
		if err != nil {
			panic("paentry: registering a DRPC service: " + err.Error())
		}
	}
	server := paproxy.PeerServer{Handler: mux}
	peers := &paport.Cap{Listener: d.listeners.peers, Clock: d.config.Clock, Max: d.config.Settings.MaxConnections / peerConnsDivisor, FirstByte: peerIdleTimeout}
	// Serve returns only once ctx is cancelled, which closes the listener: that fails at nothing else.
	_ = server.Serve(ctx, pawire.NewBoundListener(peers, &d.memory))
}

// peerServer implements the DRPC services that peers calls on other daemons.
type peerServer struct{ daemon *Daemon }

// Exchange implements pawire.DRPCMembershipServer. Messages that the control state sends to the caller in
// answer go into the reply instead of a call of their own.
func (s *peerServer) Exchange(ctx context.Context, w *pawire.MemberMessages) (*pawire.MemberMessages, error) {
	all, err := pamember.FromWire(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stamps := &s.daemon.config.Recorder.Stamps
	stamps.ReceiveText(w.GetStamp())
	var reply []pamember.Message
	for _, m := range all {
		reply = append(reply, s.daemon.memberReplies(m)...)
	}
	answer := pamember.ToWire(reply)
	answer.Stamp = stamps.NextText()
	return answer, nil
}

// memberReplies applies a membership message and returns the messages that answer its sender.
func (d *Daemon) memberReplies(m pamember.Message) []pamember.Message {
	var reply []pamember.Message
	d.stepAndReply(pacontrol.MemberMessage{Message: m}, func(e pacontrol.Effect) bool {
		s, ok := e.(pacontrol.Send)
		if !ok || s.Envelope.Address != m.From.PeerAddress {
			return false
		}
		reply = append(reply, s.Envelope.Message)
		return true
	})
	return reply
}

// stepAndReply sends an event and waits until it is applied. On the control goroutine it passes each
// effect to take; an effect for which take returns true is part of the reply and is not executed.
func (d *Daemon) stepAndReply(e pacontrol.Event, take func(pacontrol.Effect) bool) {
	answered := make(chan struct{})
	d.send(step{event: e, then: func(effects []pacontrol.Effect) {
		for i, x := range effects {
			if take(x) {
				effects[i] = nil
			}
		}
		close(answered)
	}})
	select {
	case <-answered:
	case <-d.done:
	}
}

// Offer implements pawire.DRPCSpreadingServer.
func (s *peerServer) Offer(_ context.Context, w *pawire.HeadOffer) (*pawire.HeadOffer, error) {
	o, err := paspread.FromWire(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.daemon.stepAndWait(pacontrol.HeadOffered{Peer: o.Peer, Head: o.Head})
	var h pabundle.Head
	s.daemon.query(func(k *pacontrol.Control) { h = k.Head() })
	return paspread.ToWire(s.daemon.config.Settings.Name, h), nil
}

// Fetch implements pawire.DRPCPiecesServer.
func (s *peerServer) Fetch(_ context.Context, r *pawire.PieceRequest) (*pawire.PieceReply, error) {
	reply := &pawire.PieceReply{}
	s.daemon.query(func(k *pacontrol.Control) {
		reply.Data, reply.Found = k.Piece(pabundle.Digest(r.GetDigest()))
	})
	return reply, nil
}
