package pacontrol

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pashift"
	"papayahead/pawire"
)

// ShareStatesAsked is the query of a daemon that has just started; its effect is a ReplyShareStates.
type ShareStatesAsked struct{ Sequence pabundle.Sequence }

// ShareStatesReceived answers an AskShareStates.
type ShareStatesReceived struct{ States ShareStates }

func (ShareStatesAsked) event()    {}
func (ShareStatesReceived) event() {}

// AskShareStates asks a peer for its current shares; ShareStatesReceived reports the answer.
type AskShareStates struct {
	Address  netip.AddrPort
	Sequence pabundle.Sequence
}

// ReplyShareStates answers a ShareStatesAsked.
type ReplyShareStates struct{ States ShareStates }

func (AskShareStates) effect()   {}
func (ReplyShareStates) effect() {}

// ShareStates are a daemon's current shares under a roll-out.
type ShareStates struct {
	Sequence pabundle.Sequence
	Services map[pabundle.ServiceName]pashift.ShareState
}

// shareStatesWait is how long after its first bundle a daemon accepts a peer's share states. With more,
// shares that have moved by then jump back; with less, the answer of a peer between regions is missed.
const shareStatesWait = 2 * time.Second

// askShareStates asks one live peer of the region for its current shares.
//
// A daemon that restarts during a failover knows the schedule but not how far the failover has
// progressed. Without its peer's shares it would send all of its callers' requests to the region that is
// down or full, a jump of the whole share. The peer's shares are safe, as its limiter applied the cap.
func (k *Control) askShareStates(now time.Time) {
	k.copySharesUntil = now.Add(shareStatesWait)
	var near []netip.AddrPort
	for _, m := range k.view.Members {
		if m.Name != k.config.Self.Name && m.Region == k.config.Self.Region && m.Live() {
			near = append(near, m.PeerAddress)
		}
	}
	if len(near) > 0 {
		k.effects = append(k.effects, AskShareStates{Address: near[k.config.Random.IntN(len(near))], Sequence: k.head.Sequence})
	}
}

// replyShareStates answers a peer; a daemon that has just started itself replies without shares.
func (k *Control) replyShareStates(now time.Time, asked pabundle.Sequence) {
	s := ShareStates{Sequence: k.head.Sequence}
	if k.bundle != nil && asked == k.head.Sequence && !now.Before(k.copySharesUntil) {
		s.Services = map[pabundle.ServiceName]pashift.ShareState{}
		for _, v := range k.bundle.Services {
			s.Services[v.Name] = k.table.ShareState(v.Name)
		}
	}
	k.effects = append(k.effects, ReplyShareStates{States: s})
}

// copyShareStates adopts a peer's shares, once and only within shareStatesWait of the first bundle.
func (k *Control) copyShareStates(now time.Time, s ShareStates) {
	if k.bundle == nil || s.Sequence != k.head.Sequence || len(s.Services) == 0 || !now.Before(k.copySharesUntil) {
		return
	}
	k.copySharesUntil = now
	for n, x := range s.Services {
		k.limiter.CopyShares(n, x)
	}
	k.table = k.limiter.Step(now)
}

// Wire encodes the share states as a message.
func (s ShareStates) Wire() *pawire.StandingTold {
	w := &pawire.StandingTold{Sequence: uint64(s.Sequence)}
	for n, x := range s.Services {
		for _, y := range x.Shares {
			w.Shares = append(w.Shares, &pawire.HeadStart{Service: string(n), From: string(y.From), To: string(y.To), Share: y.Share})
		}
		for _, r := range x.Down {
			w.Down = append(w.Down, &pawire.RegionDown{Service: string(n), Region: string(r)})
		}
	}
	return w
}

// maxShareStates bounds the shares of a message: services times pairs of regions at the design size.
const maxShareStates = 1 << 16

// ShareStatesFromWire checks and reads a message; it returns trace.BadParameter for a bad one.
func ShareStatesFromWire(w *pawire.StandingTold) (ShareStates, error) {
	if len(w.GetShares()) > maxShareStates || len(w.GetDown()) > maxShareStates {
		return ShareStates{}, trace.BadParameter("share states with %d shares: want at most %d", len(w.GetShares()), maxShareStates)
	}
	s := ShareStates{Sequence: pabundle.Sequence(w.GetSequence()), Services: map[pabundle.ServiceName]pashift.ShareState{}}
	for _, x := range w.GetShares() {
		if !(x.GetShare() >= 0 && x.GetShare() <= 1) {
			return ShareStates{}, trace.BadParameter("share states with a share of %v: want 0 to 1", x.GetShare())
		}
		n := pabundle.ServiceName(x.GetService())
		v := s.Services[n]
		v.Shares = append(v.Shares, pabundle.Share{
			From: pabundle.RegionName(x.GetFrom()), To: pabundle.RegionName(x.GetTo()), Share: x.GetShare(),
		})
		s.Services[n] = v
	}
	for _, x := range w.GetDown() {
		n := pabundle.ServiceName(x.GetService())
		v := s.Services[n]
		v.Down = append(v.Down, pabundle.RegionName(x.GetRegion()))
		s.Services[n] = v
	}
	return s, nil
}
