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
	"papayahead/paproxy"
	"papayahead/paspread"
	"papayahead/pawire"
)

const (
	// controlTimeout bounds a small call between daemons. Load: 35 ms between regions. Harm of less:
	// calls over a busy link count as lost; of more: calls to a dead peer pile up.
	controlTimeout = time.Second
	// pieceTimeout bounds the transfer of a piece of up to a megabyte.
	pieceTimeout = 5 * time.Second
	// maxControlCalls bounds the control calls under way; beyond it messages are dropped, as the
	// network may drop them.
	maxControlCalls = 256
	// peerConnections bounds the kept control connections, per peer and in all; a daemon talks to a
	// few dozen neighbours.
	peerConnections    = 2
	allPeerConnections = 128
	// peerIdle closes control connections that were not used.
	peerIdle = time.Minute
)

// peers makes small calls to other daemons, on connections of their own: a slow stream of a
// forwarded request must not hold up a heartbeat.
type peers struct {
	daemon *Daemon
	pool   *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	slots  chan struct{}
	asks   askRecord
}

func newPeers(d *Daemon) *peers {
	return &peers{
		daemon: d,
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration: peerIdle, Capacity: allPeerConnections, KeyCapacity: peerConnections,
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

// call runs one small call on a goroutine of its own; with too many under way it is dropped.
func (p *peers) call(ctx context.Context, timeout time.Duration, dropped func(), f func(ctx context.Context)) {
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

func nothing() {}

// sendMember sends a membership message; what comes back is heard as messages of their own.
func (p *peers) sendMember(ctx context.Context, e pamember.Envelope) {
	p.call(ctx, controlTimeout, nothing, func(ctx context.Context) {
		c := pawire.NewDRPCMembershipClient(p.conn(ctx, e.Address))
		w := pamember.ToWire([]pamember.Message{e.Message})
		w.Stamp = p.daemon.config.Recorder.Stamps.Text()
		r, err := c.Exchange(ctx, w)
		if err != nil {
			return
		}
		p.daemon.config.Recorder.Stamps.Heard(r.GetStamp())
		p.hear(r)
	})
}

func (p *peers) hear(w *pawire.MemberMessages) {
	all, err := pamember.FromWire(w)
	if err != nil {
		return
	}
	for _, m := range all {
		p.daemon.post(pacontrol.MemberMessage{Message: m})
	}
}

func (p *peers) offerHead(ctx context.Context, o pacontrol.OfferHead) {
	p.call(ctx, controlTimeout, nothing, func(ctx context.Context) {
		c := pawire.NewDRPCSpreadingClient(p.conn(ctx, o.Address))
		r, err := c.Offer(ctx, paspread.ToWire(p.daemon.config.Settings.Name, o.Head))
		if err != nil {
			return
		}
		p.heard(r)
	})
}

func (p *peers) heard(w *pawire.HeadOffer) {
	o, err := paspread.FromWire(w)
	if err != nil {
		return
	}
	p.daemon.post(pacontrol.HeadOffered{Peer: o.Peer, Head: o.Head})
}

// fetchPiece asks a peer or the store for a piece; a failure is told as a piece without data.
func (d *Daemon) fetchPiece(ctx context.Context, f pacontrol.FetchPiece) {
	failed := pacontrol.PieceFetched{From: f.From, Digest: f.Digest}
	d.peers.call(ctx, pieceTimeout, func() { go d.post(failed) }, func(ctx context.Context) {
		got := failed
		if f.From.Store {
			got.Data = d.storedPiece(ctx, f.Digest)
		} else {
			got.Data = d.peers.piece(ctx, f.Address, f.Digest)
		}
		d.post(got)
	})
}

func (p *peers) piece(ctx context.Context, a netip.AddrPort, g pabundle.Digest) []byte {
	r, err := pawire.NewDRPCPiecesClient(p.conn(ctx, a)).Fetch(ctx, &pawire.PieceRequest{Digest: string(g)})
	if err != nil || !r.GetFound() {
		return nil
	}
	return r.GetData()
}

// servePeers answers the calls of other daemons.
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
			panic("paentry: a service was registered twice: " + err.Error())
		}
	}
	server := paproxy.PeerServer{Handler: mux}
	// It returns only because the context ended, which closes the listener.
	_ = server.Serve(ctx, d.listeners.peers)
}

// peerServer is the other end of peers.
type peerServer struct{ daemon *Daemon }

// Exchange implements pawire.DRPCMembershipServer. What the control state sends back to the caller's
// address goes into the reply.
func (s *peerServer) Exchange(ctx context.Context, w *pawire.MemberMessages) (*pawire.MemberMessages, error) {
	all, err := pamember.FromWire(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stamps := &s.daemon.config.Recorder.Stamps
	stamps.Heard(w.GetStamp())
	var reply []pamember.Message
	for _, m := range all {
		reply = append(reply, s.daemon.answer(m)...)
	}
	answer := pamember.ToWire(reply)
	answer.Stamp = stamps.Text()
	return answer, nil
}

// answer takes a message and returns what is to be answered to its sender.
func (d *Daemon) answer(m pamember.Message) []pamember.Message {
	var reply []pamember.Message
	d.ask(pacontrol.MemberMessage{Message: m}, func(e pacontrol.Effect) bool {
		s, ok := e.(pacontrol.Send)
		if !ok || s.Envelope.Address != m.From.PeerAddress {
			return false
		}
		reply = append(reply, s.Envelope.Message)
		return true
	})
	return reply
}

// ask takes an event and waits; take sees each effect on the control goroutine and says whether it
// keeps the effect for itself.
func (d *Daemon) ask(e pacontrol.Event, take func(pacontrol.Effect) bool) {
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
