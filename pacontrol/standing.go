package pacontrol

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pashift"
	"papayahead/pawire"
)

// StandingAsked is a question of a daemon that has just started; its effect is a ReplyStanding.
type StandingAsked struct{ Sequence pabundle.Sequence }

// StandingTold answers an AskStanding.
type StandingTold struct{ Standing Standing }

func (StandingAsked) event() {}
func (StandingTold) event()  {}

// AskStanding asks a neighbour where its shares stand; StandingTold reports the answer.
type AskStanding struct {
	Address  netip.AddrPort
	Sequence pabundle.Sequence
}

// ReplyStanding answers a StandingAsked.
type ReplyStanding struct{ Standing Standing }

func (AskStanding) effect()   {}
func (ReplyStanding) effect() {}

// Standing is where a daemon's shares stand under a roll-out.
type Standing struct {
	Sequence pabundle.Sequence
	Services map[pabundle.ServiceName]pashift.ShareState
}

// standingWait is how long after its first bundle a daemon takes a neighbour's standing. Harm of
// more: shares that have moved by then jump back; of less: a neighbour between regions is not heard.
const standingWait = 2 * time.Second

// askStanding asks one live neighbour of the region where its shares stand.
//
// Guards against a daemon that restarts during a failover: it knows the schedule, but not how far the
// failover has gone, and would send all of its callers' requests to the region that is down or full,
// a jump of the whole share. The guard holds because a neighbour's limiter kept the cap all along.
func (k *Control) askStanding(now time.Time) {
	k.standingUntil = now.Add(standingWait)
	var near []netip.AddrPort
	for _, m := range k.view.Members {
		if m.Name != k.config.Self.Name && m.Region == k.config.Self.Region && m.Live() {
			near = append(near, m.PeerAddress)
		}
	}
	if len(near) > 0 {
		k.effects = append(k.effects, AskStanding{Address: near[k.config.Random.IntN(len(near))], Sequence: k.head.Sequence})
	}
}

// tellStanding answers a neighbour; one that has just started itself has nothing to tell.
func (k *Control) tellStanding(now time.Time, asked pabundle.Sequence) {
	s := Standing{Sequence: k.head.Sequence}
	if k.bundle != nil && asked == k.head.Sequence && !now.Before(k.standingUntil) {
		s.Services = map[pabundle.ServiceName]pashift.ShareState{}
		for _, v := range k.bundle.Services {
			s.Services[v.Name] = k.table.ShareState(v.Name)
		}
	}
	k.effects = append(k.effects, ReplyStanding{Standing: s})
}

// followStanding takes a neighbour's standing, once and only right after the first bundle.
func (k *Control) followStanding(now time.Time, s Standing) {
	if k.bundle == nil || s.Sequence != k.head.Sequence || len(s.Services) == 0 || !now.Before(k.standingUntil) {
		return
	}
	k.standingUntil = now
	for n, x := range s.Services {
		k.limiter.CopyShares(n, x)
	}
	k.table = k.limiter.Step(now)
}

// Wire returns the standing as a message.
func (s Standing) Wire() *pawire.StandingTold {
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

// maxStanding bounds the shares of a message: services times pairs of regions at the size designed for.
const maxStanding = 1 << 16

// StandingFromWire checks and reads a message; it returns trace.BadParameter for a bad one.
func StandingFromWire(w *pawire.StandingTold) (Standing, error) {
	if len(w.GetShares()) > maxStanding || len(w.GetDown()) > maxStanding {
		return Standing{}, trace.BadParameter("standing of %d shares: want at most %d", len(w.GetShares()), maxStanding)
	}
	s := Standing{Sequence: pabundle.Sequence(w.GetSequence()), Services: map[pabundle.ServiceName]pashift.ShareState{}}
	for _, x := range w.GetShares() {
		if !(x.GetShare() >= 0 && x.GetShare() <= 1) {
			return Standing{}, trace.BadParameter("standing with a share of %v: want 0 to 1", x.GetShare())
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
