package paentry

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pacontrol"
	"papayahead/pacredit"
	"papayahead/paledger"
	"papayahead/paview"
	"papayahead/pawire"
)

// Client and server of the calls for credits, agreement on the members and the idempotency-key ledger.

func (p *peers) askCredit(ctx context.Context, a pacontrol.AskCredit) {
	dropped := func() { p.recordAsk(a, pacredit.Grant{}, errTooManyCalls) }
	p.startCall(ctx, controlTimeout, dropped, func(ctx context.Context) {
		g, err := p.askGrant(ctx, a)
		p.recordAsk(a, g, err)
		if err == nil {
			p.daemon.post(pacontrol.CreditGranted{Grant: g})
		}
	})
}

func (p *peers) askGrant(ctx context.Context, a pacontrol.AskCredit) (pacredit.Grant, error) {
	ask := a.Ask.Wire()
	ask.Ahead = a.Ahead
	w, err := pawire.NewDRPCCreditsClient(p.conn(ctx, a.Address)).Ask(ctx, ask)
	if err != nil {
		return pacredit.Grant{}, trace.Wrap(err)
	}
	return pacredit.GrantFromWire(w)
}

func (p *peers) announce(ctx context.Context, a pacontrol.Announce) {
	p.startCall(ctx, controlTimeout, ignoreDrop, func(ctx context.Context) {
		w, err := pawire.NewDRPCAgreementClient(p.conn(ctx, a.Address)).Announce(ctx, a.Announcement.Wire())
		if err != nil {
			return
		}
		r, err := paview.AnnouncementFromWire(w)
		if err != nil {
			return
		}
		p.daemon.post(pacontrol.Announced{Announcement: r})
	})
}

func (p *peers) askStanding(ctx context.Context, a pacontrol.AskShareStates) {
	p.startCall(ctx, controlTimeout, ignoreDrop, func(ctx context.Context) {
		c := pawire.NewDRPCAgreementClient(p.conn(ctx, a.Address))
		w, err := c.Standing(ctx, &pawire.StandingAsk{Sequence: uint64(a.Sequence)})
		if err != nil {
			return
		}
		s, err := pacontrol.ShareStatesFromWire(w)
		if err != nil {
			return
		}
		p.daemon.post(pacontrol.ShareStatesReceived{States: s})
	})
}

// claimAttempts is the number of times a claim is sent. A pooled connection to the key's keeper may have
// broken, which makes the first attempt fail at once. Repeating is safe: the keeper grants a key to one
// copy of a request, however often that copy claims it.
const claimAttempts = 2

func (p *peers) claim(ctx context.Context, c pacontrol.ClaimKey) {
	answer := pacontrol.Claimed{Request: c.Request, Lost: true}
	p.startCall(ctx, controlTimeout, func() { go p.daemon.post(answer) }, func(ctx context.Context) {
		for range claimAttempts {
			w, err := pawire.NewDRPCLedgerClient(p.conn(ctx, c.Address)).Claim(ctx, c.Claim.Wire())
			if err != nil {
				continue
			}
			if r, err := paledger.ReplyFromWire(w); err == nil {
				answer.Reply, answer.Lost = r, false
			}
			break
		}
		p.daemon.post(answer)
	})
}

const (
	// settleAttempts bounds how often a settlement is sent, to outlast a keeper that is slow for a moment.
	// If none arrives, repeats of the request are answered Unknown, which is true but of no use to the caller.
	settleAttempts = 3
	// settleRetryDelay is the time between two of these attempts.
	settleRetryDelay = 200 * time.Millisecond
)

func (p *peers) settle(ctx context.Context, s pacontrol.SettleKey) {
	p.startCall(ctx, settleAttempts*(controlTimeout+settleRetryDelay), ignoreDrop, func(ctx context.Context) {
		for range settleAttempts {
			_, err := pawire.NewDRPCLedgerClient(p.conn(ctx, s.Address)).Settle(ctx, s.Settlement.Wire())
			if err == nil || !sleep(ctx, p.daemon.config.Clock, settleRetryDelay) {
				return
			}
		}
	})
}

func (p *peers) handOverKeys(ctx context.Context, h pacontrol.HandOverKeys) {
	p.startCall(ctx, pieceTimeout, ignoreDrop, func(ctx context.Context) {
		// The error is ignored: if a part is lost, the successor refuses the keys that it does not know.
		_, _ = pawire.NewDRPCLedgerClient(p.conn(ctx, h.Address)).Handover(ctx, h.Handover.Wire())
	})
}

// Ask implements pawire.DRPCCreditsServer.
func (s *peerServer) Ask(_ context.Context, w *pawire.CreditAsk) (*pawire.CreditGrant, error) {
	a, err := pacredit.AskFromWire(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reply := pacredit.Grant{}
	s.daemon.stepAndReply(pacontrol.CreditAsked{Ask: a, Ahead: w.GetAhead()}, func(e pacontrol.Effect) bool {
		g, ok := e.(pacontrol.ReplyGrant)
		if ok {
			reply = g.Grant
		}
		return ok
	})
	return reply.Wire(), nil
}

// Announce implements pawire.DRPCAgreementServer.
func (s *peerServer) Announce(_ context.Context, w *pawire.MemberView) (*pawire.MemberView, error) {
	a, err := paview.AnnouncementFromWire(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reply := paview.Announcement{}
	s.daemon.stepAndReply(pacontrol.Announced{Announcement: a}, func(e pacontrol.Effect) bool {
		r, ok := e.(pacontrol.ReplyAnnounce)
		if ok {
			reply = r.Announcement
		}
		return ok
	})
	return reply.Wire(), nil
}

// Standing implements pawire.DRPCAgreementServer.
func (s *peerServer) Standing(_ context.Context, w *pawire.StandingAsk) (*pawire.StandingTold, error) {
	reply := pacontrol.ShareStates{}
	s.daemon.stepAndReply(pacontrol.ShareStatesAsked{Sequence: pabundle.Sequence(w.GetSequence())}, func(e pacontrol.Effect) bool {
		r, ok := e.(pacontrol.ReplyShareStates)
		if ok {
			reply = r.States
		}
		return ok
	})
	return reply.Wire(), nil
}

// Claim implements pawire.DRPCLedgerServer.
func (s *peerServer) Claim(_ context.Context, w *pawire.LedgerClaim) (*pawire.LedgerReply, error) {
	c, err := paledger.ClaimFromWire(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reply := paledger.Reply{}
	s.daemon.stepAndReply(pacontrol.ClaimAsked{Claim: c}, func(e pacontrol.Effect) bool {
		r, ok := e.(pacontrol.ReplyClaim)
		if ok {
			reply = r.Reply
		}
		return ok
	})
	return reply.Wire(), nil
}

// Settle implements pawire.DRPCLedgerServer.
func (s *peerServer) Settle(_ context.Context, w *pawire.LedgerSettle) (*pawire.LedgerReply, error) {
	x, err := paledger.SettlementFromWire(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.daemon.stepAndWait(pacontrol.KeySettled{Settlement: x})
	return &pawire.LedgerReply{}, nil
}

// Handover implements pawire.DRPCLedgerServer.
func (s *peerServer) Handover(_ context.Context, w *pawire.LedgerHandover) (*pawire.LedgerReply, error) {
	h, err := paledger.HandoverFromWire(w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.daemon.stepAndWait(pacontrol.KeysHandedOver{Handover: h})
	return &pawire.LedgerReply{}, nil
}
