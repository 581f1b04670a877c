package pacontrol

import (
	"encoding/base64"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"papayahead/pabundle"
	"papayahead/pacredit"
	"papayahead/paevent"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paplacement"
	"papayahead/pawire"
)

const (
	// aheadAskInterval is the least time between asks to one granter for one service.
	aheadAskInterval = 100 * time.Millisecond
	// urgentAskInterval is that time while requests wait: a round trip between regions with some margin.
	// With more, only one or two asks are made before a request's wait ends, and a slot may stay free.
	urgentAskInterval = 50 * time.Millisecond
	// creditHorizon is how much future demand credits are asked for; it is shorter than a credit's term,
	// so that granted credits are used.
	creditHorizon = time.Second
	// maxCreditsPerAsk bounds one ask. With more, one source holds slots that others could use.
	maxCreditsPerAsk = 32
)

// creditKey identifies one granter's credits for one service.
type creditKey struct {
	granter pabundle.EntryName
	service pabundle.ServiceName
}

// encodeCredit encodes a credit as the token sent with a forwarded request.
func encodeCredit(r pacredit.CreditRef) string {
	b, err := proto.Marshal(r.Wire())
	if err != nil {
		panic("pacontrol: cannot encode a credit: " + err.Error())
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

func decodeCredit(token string) (pacredit.CreditRef, bool) {
	b, err := base64.RawStdEncoding.DecodeString(token)
	if err != nil {
		return pacredit.CreditRef{}, false
	}
	var w pawire.CreditRef
	if proto.Unmarshal(b, &w) != nil {
		return pacredit.CreditRef{}, false
	}
	r, err := pacredit.RefFromWire(&w)
	return r, err == nil
}

// offerForwarded handles a request that another entry VM forwarded here. One from another region must
// redeem a credit, since sources that do not coordinate could otherwise overload this region.
func (k *Control) offerForwarded(now time.Time, v Offered) {
	m, known := k.view.Find(v.Origin)
	if known && m.Region == k.config.Self.Region {
		v.Request.Origin = paowner.Peer
		k.decisions = k.owner.Offer(now, v.Request, k.decisions)
		return
	}
	v.Request.Origin = paowner.Remote
	r, ok := decodeCredit(v.Credit)
	if !ok || r.Service != v.Request.Service || r.Source.Name != v.Origin {
		k.refuse(v.Request.ID, "CreditMissing", k.jitter(remoteRetryAfter))
		return
	}
	k.setLoad(now, r.Service)
	if got := k.granter.Redeem(now, r); got != pacredit.Start {
		k.refuse(v.Request.ID, "Credit"+got.String(), k.jitter(remoteRetryAfter))
		return
	}
	k.redeemed[v.Request.ID] = r.Service
	k.decisions = k.owner.Offer(now, v.Request, k.decisions)
}

// replyGrant answers another entry VM's ask for credits.
func (k *Control) replyGrant(now time.Time, v CreditAsked) {
	if k.bundle != nil && !k.stopping {
		for _, x := range v.Ask.Items {
			k.setLoad(now, x.Service)
		}
	}
	ask := k.granter.Ask
	if v.Ahead {
		ask = k.granter.AskAhead
	}
	k.effects = append(k.effects, ReplyGrant{Grant: ask(now, v.Ask)})
}

// setLoad updates the granter's capacity: the usable slots without the policy's reserve. When all other
// regions shift traffic here at once, a region that has granted its last slot could not serve its own
// callers' next burst.
func (k *Control) setLoad(now time.Time, s pabundle.ServiceName) {
	reserve := k.bundle.Policy.Reserve
	if k.bundle.Policy.First == pabundle.HeadroomFirst {
		reserve *= paplacement.HeadroomReserves
	}
	slots := k.owner.Slots(now, s)
	if k.stopping {
		slots = 0
	}
	local := max(0, k.owner.InFlight(s)-k.granter.Running(s))
	k.granter.SetLoad(s, pacredit.Load{
		Slots: int(float64(slots) * (1 - min(1, reserve))), Local: local, Waiting: k.owner.Waiting(s),
	})
}

// acceptGrant stores the credits of an answer and forwards waiting requests with them.
func (k *Control) acceptGrant(now time.Time, g pacredit.Grant) {
	switch {
	case k.holder.Accept(now, g):
		for _, x := range g.Items {
			k.grantedAt[creditKey{g.Granter.Name, x.Service}] = now
		}
	case len(g.Items) > 0:
		k.record(paevent.CreditsVoided{Granter: string(g.Granter.Name), Reason: "they arrived after their term, twice or without an ask"})
	}
	k.placeWaiting(now)
}

// askCredits asks ahead for the credits that the shares to other regions need.
func (k *Control) askCredits(now time.Time) {
	here := k.config.Self.Region
	for _, s := range k.bundle.Services {
		r := k.rates[s.Name]
		if r == nil || r.perSecond < 0.1 {
			continue
		}
		for _, x := range k.table.ShareState(s.Name).Shares {
			if x.From == here && x.To != here && x.Share > 0 {
				k.askRegion(now, s.Name, x.To, r.perSecond*x.Share*creditHorizon.Seconds())
			}
		}
	}
}

// creditsFor returns how many credits cover an expected number of requests including bursts: two standard
// deviations of a Poisson process above the mean, and one more. In a shift of sixty requests a second over
// a few sources and small owners, each source expects one or two requests in a credit's term; without the
// margin a burst of three waits for credits until it is refused. Unused credits expire after their term.
func creditsFor(need float64) int { return int(math.Ceil(need+2*math.Sqrt(need))) + 1 }

// askRegion asks the entry VMs of a region for credits ahead of requests: those needed beyond those held.
func (k *Control) askRegion(now time.Time, s pabundle.ServiceName, region pabundle.RegionName, need float64) {
	alive := k.live(region)
	for _, m := range k.view.Members {
		if m.Region != region || !m.Live() || now.Sub(k.askedAt[creditKey{m.Name, s}]) < aheadAskInterval {
			continue
		}
		if want := min(maxCreditsPerAsk, creditsFor(need/float64(alive))) - k.holder.Held(now, m.Name, s); want > 0 {
			k.askCredit(now, m, s, want, true)
		}
	}
}

// askUrgent asks the entry VMs of a region for credits for the requests that wait for one.
func (k *Control) askUrgent(now time.Time, s pabundle.ServiceName, region pabundle.RegionName) {
	alive, waiting := k.live(region), 0
	for _, m := range k.view.Members {
		if m.Region != region || !m.Live() || now.Sub(k.neededAt[creditKey{m.Name, s}]) < urgentAskInterval {
			continue
		}
		if waiting == 0 {
			waiting = k.waiting(s, region)
		}
		k.neededAt[creditKey{m.Name, s}] = now
		k.askCredit(now, m, s, min(maxCreditsPerAsk, creditsFor(float64(waiting)/float64(alive))), false)
	}
}

// waiting returns the number of requests that wait for a credit of a region.
func (k *Control) waiting(s pabundle.ServiceName, region pabundle.RegionName) int {
	n := 0
	for _, f := range k.remotes {
		if !f.running && f.region == region && f.offer.Request.Service == s {
			n++
		}
	}
	return n
}

func (k *Control) askCredit(now time.Time, m pamember.MemberView, s pabundle.ServiceName, want int, ahead bool) {
	k.askedAt[creditKey{m.Name, s}] = now
	k.effects = append(k.effects, AskCredit{
		Address: m.PeerAddress,
		Ask:     k.holder.Ask(now, m.Name, []pacredit.Item{{Service: s, Count: want}}),
		Ahead:   ahead,
	})
}
