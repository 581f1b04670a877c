package pacontrol

import (
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/palookup"
	"papayahead/pamember"
	"papayahead/paspread"
)

// startSpread starts the distribution of bundles once the first VM list has named peers.
func (k *Control) startSpread(now time.Time) {
	if k.spreadStarted {
		return
	}
	k.spreadStarted = true
	k.setPeers(now)
	k.spreadStep(now, paspread.Boot{})
}

// setPeers sets the peers that bundles are exchanged with: the region's live members and, on a relay, one
// of each other region, so that a roll-out reaches other regions without the store.
func (k *Control) setPeers(now time.Time) {
	near, far := k.member.Peers()
	k.spreadStep(now, paspread.Peers{SameRegion: near, OtherRegions: far})
}

// spreadStep passes an event to the distribution of bundles and carries out its commands.
func (k *Control) spreadStep(now time.Time, e paspread.Event) {
	for _, c := range k.spread.Step(now, e) {
		switch v := c.(type) {
		case paspread.Offer:
			if m, ok := k.view.Find(v.To); ok {
				k.effects = append(k.effects, OfferHead{To: v.To, Address: m.PeerAddress, Head: v.Head})
			}
		case paspread.Fetch:
			f := FetchPiece{From: v.From, Digest: v.Digest}
			if m, ok := k.view.Find(v.From.Peer); ok {
				f.Address = m.PeerAddress
			}
			k.effects = append(k.effects, f)
		case paspread.Adopted:
			k.adopt(now, v)
		case paspread.Rejected:
			k.recordRejected(v)
		}
	}
}

// adopt puts a complete bundle in force. An inconsistent one is ignored and the old one stays in force:
// it was written by a program with other rules, and applying a part of it would be worse.
func (k *Control) adopt(now time.Time, a paspread.Adopted) {
	get := func(d pabundle.Digest) ([]byte, bool) { p, ok := a.Pieces[d]; return p, ok }
	b, err := pabundle.Assemble(a.Head.Digest, get)
	if err != nil {
		k.record(paevent.BundleUnavailable{Subject: sequence(a.Head), Digest: string(a.Head.Digest), Reason: err.Error()})
		return
	}
	t := &palookup.Builder{}
	if err := t.Add(b.ClientBlocks); err != nil {
		k.record(paevent.BundleUnavailable{Subject: sequence(a.Head), Digest: string(a.Head.Digest), Reason: err.Error()})
		return
	}
	k.head, k.bundle, k.clientBlocks = a.Head, &b, t.Table()
	k.index = newIndex(&b)
	if r := k.index.regions[k.config.Self.Zone]; r != k.config.Self.Region {
		k.record(paevent.ZoneMismatch{Zone: string(k.config.Self.Zone), Region: string(k.config.Self.Region), Bundle: string(r)})
	}
	k.adoptLimits(now)
	k.decisions = k.owner.Configure(now, b.Policy, b.Services, k.decisions)
	k.stepMembership(now, pamember.SetConfigVersion{Config: pamember.ConfigVersion{Sequence: a.Head.Sequence, Digest: a.Head.Digest}})
	k.record(paevent.BundleInForce{
		Subject: sequence(a.Head), Digest: string(a.Head.Digest), RollID: a.Head.RollID, Operator: a.Head.Operator,
		DelayMilliseconds: now.Sub(a.Head.RolledAt).Milliseconds(),
	})
	k.assignTargets(now)
	k.changed = true
}

func sequence(h pabundle.Head) paevent.Subject { return paevent.Subject{Sequence: uint64(h.Sequence)} }
