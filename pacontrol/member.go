package pacontrol

import (
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paspread"
	"papayahead/patarget"
)

// factsInterval is how often the own facts are told. Load: free slots that turn over ten times a
// second. Harm of less: gossip that carries news nobody acts on; of more: other owners place work
// by reports that are too old to count.
const factsInterval = time.Second

// hear lets the membership take an event, and acts on what changed.
func (k *Control) stepMembership(now time.Time, e pamember.Event) {
	out := k.member.Step(now, e)
	for _, m := range out.Send {
		k.effects = append(k.effects, Send{Envelope: m})
	}
	moved := false
	for _, c := range out.Changes {
		moved = k.applyChange(now, c) || moved
	}
	if v := k.member.View(now); v != k.view {
		k.view = v
		k.changed = true
		k.observeFacts(now)
	}
	if moved {
		k.setPeers(now)
		k.assignTargets(now)
	}
}

// change acts on one change of the membership and says whether targets may have moved.
func (k *Control) applyChange(now time.Time, c pamember.Change) bool {
	switch v := c.(type) {
	case pamember.StateChanged:
		k.recordMember(v)
		return true
	case pamember.ZoneLost:
		k.record(paevent.ZoneLost{Zone: string(v.Zone)})
		return true
	case pamember.ZoneFound:
		k.record(paevent.ZoneFound{Zone: string(v.Zone)})
		return true
	case pamember.Thawed:
		k.record(paevent.Thawed{Milliseconds: v.Gap.Milliseconds()})
		k.holder.VoidAll()
		k.record(paevent.CreditsVoided{Reason: "this process stood still"})
	case pamember.Refuted:
		k.record(paevent.SuspicionRefuted{Said: v.Said.String()})
	case pamember.AdvertSeen:
		k.spreadStep(now, paspread.Seen{Peer: v.From.Name, Sequence: v.Advert.Sequence})
	}
	return false
}

// assign divides the region's targets over its live entry VMs: each has one owner, who alone sends
// to it. Two daemons may disagree for as long as a change takes to spread; the new owner supposes
// until then that the former owner's work still runs.
func (k *Control) assignTargets(now time.Time) {
	if k.bundle == nil {
		return
	}
	v := k.member.View(now)
	var mine []paowner.OwnedTarget
	owned := map[pabundle.TargetName]bool{}
	for i := range k.bundle.Services {
		s := &k.bundle.Services[i]
		for _, t := range s.Targets {
			region := k.index.regions[t.Zone]
			if region != k.config.Self.Region {
				continue
			}
			o, ok := pamember.Owner(v, region, t.Zone, t.Name)
			if !ok || o != k.config.Self.Name {
				continue
			}
			owned[t.Name] = true
			if !k.owned[t.Name] {
				k.record(paevent.TargetTaken{Subject: paevent.Subject{Service: string(s.Name)}, Target: string(t.Name), Join: "Orphaned"})
			}
			mine = append(mine, k.ownedTarget(s, t))
		}
	}
	k.owned = owned
	k.decisions = k.owner.SetTargets(now, mine, k.decisions)
}

// take describes a target for its owner. One that is new here is taken as orphaned: what its
// former owner, or this VM's former process, sent to it may still run.
func (k *Control) ownedTarget(s *pabundle.Service, t pabundle.Target) paowner.OwnedTarget {
	t.Slots = k.index.slots[t.Name]
	return paowner.OwnedTarget{
		Target: t, Service: s.Name, Connections: k.connections(t),
		Join: patarget.Orphaned, Leaving: k.leaving[t.Name],
	}
}

// connections is this entry VM's part of a target's connections. Only the owner connects; half are
// left for a former owner's connections that are not closed yet.
func (k *Control) connections(t pabundle.Target) int { return max(1, t.MaxConnections/2) }

// tellFacts spreads this entry VM's free slots and room in its region.
func (k *Control) publishFacts(now time.Time) {
	k.nextFacts = now.Add(factsInterval)
	if k.bundle == nil {
		return
	}
	f := pamember.Facts{Sequence: k.head.Sequence, Room: uint8(k.room.Weight() * 255)}
	for _, s := range k.bundle.Services {
		f.Free = append(f.Free, saturateUint8(k.owner.FreeSlots(now, s.Name)))
		f.Slots = append(f.Slots, saturateUint8(k.owner.Slots(now, s.Name)))
		f.Waiting = append(f.Waiting, saturateUint8(k.owner.Waiting(s.Name)))
	}
	k.stepMembership(now, pamember.SetFacts{Facts: f})
}

// saturated is a count as facts carry it: 255 means that or more.
func saturateUint8(n int) uint8 { return uint8(min(255, max(0, n))) }

// observeFacts notes when each member's facts changed, because their age decides what they count.
func (k *Control) observeFacts(now time.Time) {
	for _, m := range k.view.Members {
		if r, ok := k.reports[m.Name]; !ok || r.stamp != m.Facts.Stamp {
			k.reports[m.Name] = report{stamp: m.Facts.Stamp, at: now}
		}
	}
	if len(k.reports) > 2*len(k.view.Members) {
		for n := range k.reports {
			if _, ok := k.view.Find(n); !ok {
				delete(k.reports, n)
			}
		}
	}
}
