package pacontrol

import (
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/paowner"
	"papayahead/paplacement"
	"papayahead/paroom"
)

// peerDelay is the round trip to another entry VM of the region, according to figures from users.
const peerDelay = time.Millisecond

// offer admits and places a request. The checks run from the cheapest refusal to the costliest: this
// entry VM's capacity, the key, the region, the targets.
func (k *Control) offer(now time.Time, v Offered) {
	id := v.Request.ID
	if k.bundle == nil {
		k.refuse(id, "NoBundle", noBundleRetryAfter)
		return
	}
	if r := k.room.Admit(now, roomClass(v), v.Request.Bytes, k.config.Random.Float64()); r.Refused {
		k.refuse(id, paowner.OverRoom.String(), r.RetryAfter)
		return
	}
	k.admitted[id] = v.Request.Bytes
	k.requestService[id] = v.Request.Service
	switch {
	case v.Origin != "":
		k.offerForwarded(now, v)
	case v.Key != "":
		k.claimKey(now, v)
	default:
		k.route(now, v)
	}
}

func (k *Control) refuse(id paowner.RequestID, reason string, comeBack time.Duration) {
	k.countRefusal(id, reason)
	k.effects = append(k.effects, Refuse{Request: id, Reason: reason, RetryAfter: comeBack})
}

// longBytes is the size from which a request counts as long in the entry VM's admission control.
const longBytes = 1 << 20

func roomClass(v Offered) paroom.Class {
	switch {
	case v.Origin != "":
		return paroom.Settled
	case v.Repeat:
		return paroom.Retry
	case v.Request.Bytes >= longBytes:
		return paroom.Long
	default:
		return paroom.Short
	}
}

// endAttempt handles the end of an attempt in this or another region.
func (k *Control) endAttempt(now time.Time, v Ended) {
	k.recordAttempt(v)
	if _, ok := k.remotes[v.Request]; ok {
		k.endRemote(now, v)
		return
	}
	k.decisions = k.owner.Finish(now, v.Request, v.Result, k.decisions)
}

// endRequest releases the state of a request that is over.
func (k *Control) endRequest(now time.Time, id paowner.RequestID) {
	k.decisions = k.owner.Cancel(now, id, k.decisions)
	delete(k.remotes, id)
	if s, ok := k.redeemed[id]; ok {
		k.granter.Done(s)
		delete(k.redeemed, id)
	}
	if b, ok := k.admitted[id]; ok {
		k.room.Release(b)
		delete(k.admitted, id)
		delete(k.requestService, id)
	}
	k.settle(now, id)
}

// noBundleRetryAfter is the retry delay given to callers while the daemon has no bundle. Loading one at
// start takes a second when peers or the store answer.
const noBundleRetryAfter = 2 * time.Second

// Candidates implements paowner.CandidateSource with the other owners of the region.
func (k *Control) Candidates(now time.Time, s pabundle.ServiceName, into []paplacement.Candidate) []paplacement.Candidate {
	n, ok := k.index.services[s]
	if !ok || k.view == nil {
		return into
	}
	for _, m := range k.view.Members {
		if m.Name == k.config.Self.Name || m.Region != k.config.Self.Region || !m.Live() {
			continue
		}
		if m.Load.Sequence != k.head.Sequence || n >= len(m.Load.Free) || n >= len(m.Load.Slots) || n >= len(m.Load.Waiting) {
			continue
		}
		into = append(into, paplacement.Candidate{
			Distance: paplacement.SameRegion, Entry: m.Name, Region: m.Region,
			Slots: int(m.Load.Slots[n]), Free: int(m.Load.Free[n]),
			Wait: k.predictWait(s, int(m.Load.Waiting[n]), int(m.Load.Slots[n])),
			Age:  now.Sub(k.reports[m.Name].at), Delay: peerDelay,
		})
	}
	return into
}

// predictWait predicts the wait at another owner from its queue length and slots.
func (k *Control) predictWait(s pabundle.ServiceName, waiting, slots int) time.Duration {
	return k.owner.PredictedRun(s) * time.Duration(waiting) / time.Duration(max(1, slots))
}

// carryOut turns the owner's decisions into effects.
func (k *Control) carryOut() {
	for _, d := range k.decisions {
		switch v := d.(type) {
		case paowner.Start:
			k.markInFlight(v.Request)
			t := k.index.targets[v.Target]
			k.effects = append(k.effects, Start{
				Request: v.Request, Attempt: v.Attempt, Target: v.Target,
				Address: t.Address, Connections: k.connections(t),
			})
		case paowner.Forward:
			k.markInFlight(v.Request)
			k.effects = append(k.effects, k.forward(v))
		case paowner.Refuse:
			k.refuse(v.Request, v.Reason.String(), v.RetryAfter)
		case paowner.Fail:
			k.effects = append(k.effects, Fail{Request: v.Request, Outcome: v.Outcome})
		case paowner.Probe:
			k.effects = append(k.effects, Probe{Target: v.Target, Address: k.index.targets[v.Target].Address})
		case paowner.CloseConnections:
			k.effects = append(k.effects, CloseConnections{Address: k.index.targets[v.Target].Address})
		case paowner.PhaseChanged:
			k.record(paevent.TargetChanged{Subject: k.serviceOf(v.Target), Target: string(v.Target), Phase: v.Phase.String()})
		}
	}
}

func (k *Control) forward(v paowner.Forward) Forward {
	f := Forward{Request: v.Request, Attempt: v.Attempt, Entry: v.Entry, Region: v.Region, MaxWait: v.MaxWait}
	if m, ok := k.view.Find(v.Entry); ok {
		f.Address = m.PeerAddress
		f.Incarnation = uint64(m.Incarnation)
	}
	return f
}
