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

// reportInterval is how often this entry VM publishes its load report. Free slots turn over ten times a second.
// A shorter interval adds gossip that nobody acts on; with a longer one, other owners place requests by
// load reports too old to count.
const reportInterval = time.Second

// stepMembership passes an event to the membership and handles the changes.
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
		k.observeLoadReports(now)
	}
	if moved {
		k.setPeers(now)
		k.assignTargets(now)
	}
}

// applyChange handles one change of the membership and reports whether targets may have new owners.
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
	case pamember.PauseDetected:
		k.record(paevent.Thawed{Milliseconds: v.Gap.Milliseconds()})
		k.holder.VoidAll()
		k.record(paevent.CreditsVoided{Reason: "this process was suspended"})
	case pamember.Refuted:
		k.record(paevent.SuspicionRefuted{Said: v.Claimed.String()})
	case pamember.NewerConfigSeen:
		k.spreadStep(now, paspread.NewerSequenceSeen{Peer: v.From.Name, Sequence: v.Config.Sequence})
	}
	return false
}

// assignTargets divides the region's targets over its live entry VMs: each has one owner, which alone
// sends to it. Two daemons may disagree while a change spreads; until then the new owner assumes that
// the former owner's requests still run.
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

// ownedTarget describes a target for its owner. A target that is new here counts as orphaned: requests
// from its former owner, or from this VM's former process, may still run there.
func (k *Control) ownedTarget(s *pabundle.Service, t pabundle.Target) paowner.OwnedTarget {
	t.Slots = k.index.slots[t.Name]
	return paowner.OwnedTarget{
		Target: t, Service: s.Name, Connections: k.connections(t),
		Join: patarget.Orphaned, Leaving: k.leaving[t.Name],
	}
}

// connections is the number of connections that this entry VM may open to a target. Only the owner
// connects; half of the target's limit is left for a former owner's connections that are still open.
func (k *Control) connections(t pabundle.Target) int { return max(1, t.MaxConnections/2) }

// publishLoadReport gossips this entry VM's slots, queue lengths and spare capacity in its region.
func (k *Control) publishLoadReport(now time.Time) {
	k.nextReport = now.Add(reportInterval)
	if k.bundle == nil {
		return
	}
	f := pamember.LoadReport{Sequence: k.head.Sequence, Headroom: uint8(k.room.Weight() * 255)}
	for _, s := range k.bundle.Services {
		f.Free = append(f.Free, saturateUint8(k.owner.FreeSlots(now, s.Name)))
		f.Slots = append(f.Slots, saturateUint8(k.owner.Slots(now, s.Name)))
		f.Waiting = append(f.Waiting, saturateUint8(k.owner.Waiting(s.Name)))
	}
	k.stepMembership(now, pamember.SetLoadReport{Report: f})
}

// saturateUint8 encodes a count for the load report: 255 means 255 or more.
func saturateUint8(n int) uint8 { return uint8(min(255, max(0, n))) }

// observeLoadReports records when each member's load report changed, because placement weighs them by age.
func (k *Control) observeLoadReports(now time.Time) {
	for _, m := range k.view.Members {
		if r, ok := k.reports[m.Name]; !ok || r.stamp != m.Load.Stamp {
			k.reports[m.Name] = report{stamp: m.Load.Stamp, at: now}
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
