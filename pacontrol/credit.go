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
	// creditAgain is the pause between asks of one granter for one service.
	aheadAskInterval = 100 * time.Millisecond
	// neededAgain is that pause while requests wait: a round trip between regions with some room. Harm of
	// more: a request asks only once or twice before its wait ends, while its turn may keep a slot free.
	urgentAskInterval = 50 * time.Millisecond
	// creditAhead is the time of demand that credits are asked for; under the term of a credit, so
	// that what is granted is used.
	creditHorizon = time.Second
	// mostCredits bounds one ask. Harm of more: one source holds slots that others could use.
	maxCreditsPerAsk = 32
)

// creditKey names one granter's credits for one service.
type creditKey struct {
	granter pabundle.EntryName
	service pabundle.ServiceName
}

// encodeCredit writes a credit as the token that travels with a forwarded request.
func encodeCredit(r pacredit.CreditRef) string {
	b, err := proto.Marshal(r.Wire())
	if err != nil {
		panic("pacontrol: a credit cannot be written: " + err.Error())
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

// offerForwarded takes a request that another entry VM forwarded here. One of another region has to
// redeem a credit: without it, sources that do not know of each other would overload this region.
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

// grant answers another entry VM's ask for credits.
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

// setLoad tells the granter what it has to give: the usable slots without the policy's reserve.
// Load: every other region spills into this one at once. Harm prevented: a region that has given
// its last slot away cannot take its own callers' next burst.
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

// takeGrant takes the answer to an ask and offers what came to the requests that wait.
func (k *Control) acceptGrant(now time.Time, g pacredit.Grant) {
	switch {
	case k.holder.Accept(now, g):
		for _, x := range g.Items {
			k.grantedAt[creditKey{g.Granter.Name, x.Service}] = now
		}
	case len(g.Items) > 0:
		k.record(paevent.CreditsVoided{Granter: string(g.Granter.Name), Reason: "they came after their term, twice or unasked"})
	}
	k.placeWaiting(now)
}

// askCredits keeps credits at hand for the shares that go to other regions.
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

// ahead is how many credits cover a demand with its bursts. Load: a shift at sixty requests a second
// over a few sources and small owners, where each source expects one or two requests in a credit's
// term. Harm prevented: a burst of three waits for credits until it is refused. Two deviations of a
// Poisson process and one more; unused ones are free again after their term.
func creditsFor(need float64) int { return int(math.Ceil(need+2*math.Sqrt(need))) + 1 }

// askRegion asks the entry VMs of a region for credits ahead of requests, up to what is needed beyond
// those held.
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

// askNow asks the entry VMs of a region for credits for the requests that wait for one.
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

// waiting counts the requests that wait for a credit of a region.
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
