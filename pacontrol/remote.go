package pacontrol

import (
	"maps"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/paowner"
	"papayahead/pashift"
	"papayahead/patarget"
)

const (
	// creditWait is how long a request may wait for a credit: a round trip of 35 ms between regions with
	// margin for a queue. With more, refusals that are due come later.
	creditWait = 150 * time.Millisecond
	// remoteAttempts bounds the entry VMs of another region that one request is offered to.
	remoteAttempts = 3
	// remoteRetryAfter is the retry delay given to callers when no credit came: 1.5 times a credit's term.
	remoteRetryAfter = 3 * time.Second
)

// remote is a request that goes to another region.
type remote struct {
	offer    Offered
	region   pabundle.RegionName
	since    time.Time
	attempts int
	// running is set while an attempt is under way at entry.
	running bool
	entry   pabundle.EntryName
}

// route chooses the region of a caller's request by the shares in force.
func (k *Control) route(now time.Time, v Offered) {
	here := k.config.Self.Region
	var r pashift.Route
	if v.From == here {
		k.countArrival(v.Request.Service)
		r = k.selector.Route(k.table, pashift.Forward, v.Request.Service, here, k.config.Random.Float64())
	} else {
		r = k.selector.AdmitArrival(k.table, now, v.Request.Service, v.From, here, k.config.Random.Float64())
	}
	if r.Refused && v.From != here && k.live(v.From) > 0 {
		// The caller's own region is live: sending the request there is not a shift.
		r = pashift.Route{Region: v.From}
	}
	switch {
	case r.Refused:
		k.refuse(v.Request.ID, "ShiftCap", r.RetryAfter)
	case r.Region == here:
		k.decisions = k.owner.Offer(now, v.Request, k.decisions)
	default:
		k.remotes[v.Request.ID] = &remote{offer: v, region: r.Region, since: now}
		k.tryRemote(now, v.Request.ID)
	}
}

// live returns the number of entry VMs of a region that accept requests.
func (k *Control) live(r pabundle.RegionName) int {
	n := 0
	for _, m := range k.view.Members {
		if m.Region == r && m.Live() {
			n++
		}
	}
	return n
}

// tryRemote forwards a request with one of the region's credits. Without one it asks for credits and the
// request waits, since the first request to a region finds none.
func (k *Control) tryRemote(now time.Time, id paowner.RequestID) {
	f := k.remotes[id]
	s := f.offer.Request.Service
	best, most := pabundle.EntryName(""), 0
	for _, m := range k.view.Members {
		if m.Region != f.region || !m.Live() {
			continue
		}
		if n := k.holder.Held(now, m.Name, s); n > most {
			best, most = m.Name, n
		}
	}
	if most == 0 {
		k.askUrgent(now, s, f.region)
		return
	}
	ref, ok := k.holder.Spend(now, best, s)
	if !ok {
		return
	}
	f.attempts++
	f.running, f.entry = true, best
	k.markInFlight(id)
	m, _ := k.view.Find(best)
	k.effects = append(k.effects, Forward{
		Request: id, Attempt: f.attempts, Entry: best, Region: f.region, Address: m.PeerAddress,
		Incarnation: uint64(m.Incarnation), Credit: encodeCredit(ref),
	})
}

// placeWaiting forwards waiting requests with credits that have arrived.
func (k *Control) placeWaiting(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(k.remotes)) {
		if !k.remotes[id].running {
			k.tryRemote(now, id)
		}
	}
}

// tickWaiting ends waits longer than creditWait, and asks again for the other requests.
func (k *Control) tickWaiting(now time.Time) {
	asked := map[destination]bool{}
	for _, id := range slices.Sorted(maps.Keys(k.remotes)) {
		f := k.remotes[id]
		to := destination{f.offer.Request.Service, f.region}
		switch {
		case f.running:
		case now.Sub(f.since) > creditWait:
			delete(k.remotes, id)
			k.endCreditWait(now, f)
		case !asked[to]:
			asked[to] = true
			k.askUrgent(now, to.service, to.region)
		}
	}
}

// destination is a service in another region.
type destination struct {
	service pabundle.ServiceName
	region  pabundle.RegionName
}

// endCreditWait ends the wait for a credit that did not come. If the bundle sends all of the service's
// requests to this region, the share moved only because the region is full or failing: the request then
// goes to this region after all, which accepts or refuses it by its capacity. If the bundle moves the
// share, the request is refused: the return of all such requests at once would be an uncapped shift.
func (k *Control) endCreditWait(now time.Time, f *remote) {
	if f.offer.From == k.config.Self.Region && k.servedLocally(f.offer.Request.Service) {
		k.decisions = k.owner.Offer(now, f.offer.Request, k.decisions)
		return
	}
	k.refuse(f.offer.Request.ID, "NoCredit", k.jitter(remoteRetryAfter))
}

// servedLocally reports whether the bundle sends all requests of this region's callers to this region
// and no earlier shift of them is under way.
func (k *Control) servedLocally(s pabundle.ServiceName) bool {
	n, ok := k.index.services[s]
	if _, moving := k.head.Start[s]; !ok || moving {
		return false
	}
	for _, x := range k.bundle.Services[n].Shares {
		if x.From == k.config.Self.Region && x.To != x.From && x.Share > 0 {
			return false
		}
	}
	return true
}

// endRemote decides what follows an attempt in another region.
func (k *Control) endRemote(now time.Time, v Ended) {
	f := k.remotes[v.Request]
	if !f.running || f.attempts != v.Result.Attempt {
		return
	}
	f.running = false
	notRun := v.Result.Outcome.DidNotRun()
	if notRun && v.Result.RetryAfter == 0 {
		// The peer is gone, has restarted or considers the credit void: its other credits are void too.
		k.holder.Void(f.entry)
		k.record(paevent.CreditsVoided{Granter: string(f.entry), Reason: "a forwarded request was lost or its credit was void"})
	}
	switch {
	case v.Result.Outcome == patarget.Answered, v.Result.Outcome == patarget.Abandoned:
		delete(k.remotes, v.Request)
	case notRun && f.attempts < remoteAttempts && now.Before(f.offer.Request.Deadline):
		f.since = now
		k.tryRemote(now, v.Request)
	case notRun:
		delete(k.remotes, v.Request)
		k.refuse(v.Request, paowner.Attempts.String(), max(v.Result.RetryAfter, k.jitter(remoteRetryAfter)))
	default:
		delete(k.remotes, v.Request)
		k.effects = append(k.effects, Fail{Request: v.Request, Outcome: v.Result.Outcome})
	}
}

// jitter adds up to half, so that callers refused together do not retry together.
func (k *Control) jitter(d time.Duration) time.Duration {
	return d + time.Duration(k.config.Random.Float64()*float64(d)/2)
}
