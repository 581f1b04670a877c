package pacontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/pashift"
	"papayahead/paspread"
)

// refusalKind is the key that refusals are counted by.
type refusalKind struct {
	service pabundle.ServiceName
	reason  string
}

// downRegion is a region that counts as down for a service.
type downRegion struct {
	service pabundle.ServiceName
	region  pabundle.RegionName
}

// serviceOf returns the subject of events about a target.
func (k *Control) serviceOf(t pabundle.TargetName) paevent.Subject {
	for _, s := range k.bundle.Services {
		for _, x := range s.Targets {
			if x.Name == t {
				return paevent.Subject{Service: string(s.Name)}
			}
		}
	}
	return paevent.Subject{}
}

// recordMember records a member's change; Old stays empty for a new member.
func (k *Control) recordMember(v pamember.StateChanged) {
	e := paevent.MemberChanged{
		Member: string(v.Member.Name), Zone: string(v.Member.Zone), Incarnation: uint64(v.Member.Incarnation), New: v.New.String(),
	}
	if v.Old != v.New {
		e.Old = v.Old.String()
	}
	k.record(e)
}

func (k *Control) countRefusal(id paowner.RequestID, reason string) {
	k.refusals[refusalKind{k.requestService[id], reason}]++
}

// recordSecond records the refusals of the last second by kind: at saturation, an event for each refusal
// would flood the log.
func (k *Control) recordSecond(now time.Time) {
	kinds := slices.SortedFunc(maps.Keys(k.refusals), func(a, b refusalKind) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.reason, b.reason))
	})
	for _, x := range kinds {
		k.record(paevent.QueueRefuses{Subject: paevent.Subject{Service: string(x.service)}, Reason: x.reason, Refused: k.refusals[x]})
	}
	clear(k.refusals)
	k.recordShifts(now)
	k.recordDownRegions()
}

// recordShifts records the starts and ends of services' shifts under the bundle in force.
func (k *Control) recordShifts(now time.Time) {
	end := pashift.EndsAt(pashift.RollOut{Bundle: k.bundle, Start: pashift.ServiceShares(k.head.Start), RolledAt: k.head.RolledAt})
	for _, s := range k.bundle.Services {
		_, starts := k.head.Start[s.Name]
		moves := starts && now.Before(end)
		switch {
		case moves && !k.shifting[s.Name]:
			k.record(paevent.ShiftStarted{Subject: k.subject(s.Name), EndsInMilliseconds: end.Sub(now).Milliseconds()})
		case !moves && k.shifting[s.Name]:
			k.record(paevent.ShiftEnded{Subject: k.subject(s.Name)})
		}
		k.shifting[s.Name] = moves
	}
}

// recordDownRegions records regions that newly count as down, if that affects this region's callers: this
// region itself, or any region while some of its callers' requests are refused.
func (k *Control) recordDownRegions() {
	here := k.config.Self.Region
	for _, s := range k.bundle.Services {
		down := k.table.ShareState(s.Name).Down
		refused := k.table.Refused(s.Name, here)
		for _, r := range k.bundle.Regions {
			x := downRegion{s.Name, r.Name}
			is := slices.Contains(down, r.Name) && (r.Name == here || refused > 0)
			if is && !k.downRegions[x] {
				k.record(paevent.RegionShed{
					Subject: k.subject(s.Name), From: string(here), Region: string(r.Name), Refused: refused,
				})
			}
			k.downRegions[x] = is
		}
	}
}

func (k *Control) subject(s pabundle.ServiceName) paevent.Subject {
	return paevent.Subject{Service: string(s), Sequence: uint64(k.head.Sequence)}
}

// compareStore records that the store's head is older than the one in force: the store has lost writes.
func (k *Control) compareStore(h pabundle.Head) {
	behind := h.Sequence < k.head.Sequence
	if behind && !k.storeBehind {
		k.record(paevent.StoreBehind{Subject: sequence(k.head), Store: uint64(h.Sequence)})
	}
	k.storeBehind = behind
}

// recordRejected records an invalid head or piece as the event that tells operators its cause.
func (k *Control) recordRejected(v paspread.Rejected) {
	source := string(v.From.Peer)
	if v.From.Store {
		source = "store"
	}
	switch v.Fault {
	case paspread.ForeignHead:
		k.record(paevent.HeadRefused{Source: source, Reason: v.Fault.String()})
	case paspread.ConflictingHead:
		k.record(paevent.SequenceFork{Subject: sequence(k.head), Current: string(k.head.Digest), Source: source})
	default:
		k.record(paevent.PieceRefused{Subject: sequence(k.head), Source: source, Reason: v.Fault.String()})
	}
}
