package pacontrol

import (
	"reflect"
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/pamember"
	"papayahead/paplatform"
	"papayahead/paview"
)

// agreement is this entry VM's part in the region's agreement on its member set, which decides how
// link capacity is divided and which entry VMs keep the idempotency keys.
type agreement struct {
	view paview.View
	// listed is the platform's VM list as last read.
	listed []paplatform.VM
	// announced is what was last announced to all members.
	announced []paview.SeenMember
	next      time.Time
}

const (
	// announceInterval is how often a view that is not agreed yet, or has changed, is announced.
	announceInterval = time.Second
	// announceFactor is how many times less often an unchanged view is announced, to one random entry
	// VM, to repair lost announcements.
	announceFactor = 5
)

func (a *agreement) configure(c Config) {
	a.view.Self = paview.Member{Name: c.Self.Name, Incarnation: uint64(c.Self.Incarnation)}
	a.view.ListLag = c.ListLag
	a.view.Started = c.Started
}

// updateRegionList passes the region's entry VMs in the VM list to the agreement. It does nothing before
// the first bundle, because the regions of zones are not known until then.
func (k *Control) updateRegionList(now time.Time) {
	if k.bundle == nil || k.agreement.listed == nil {
		return
	}
	var names []pabundle.EntryName
	for _, v := range k.agreement.listed {
		if v.Kind == paplatform.Entry && k.regionOf(pabundle.ZoneName(v.Zone)) == k.config.Self.Region {
			names = append(names, pabundle.EntryName(v.Name))
		}
	}
	k.agreement.view.UpdateList(now, names)
	k.updateMembers(now)
}

// updateMembers passes the agreed member set to the ledger. It must run before any later announcement:
// an announcement confirms new members, which may then claim their parts at once.
func (k *Control) updateMembers(now time.Time) {
	members := k.agreement.view.Members()
	k.ledger.SetMembers(now, members)
	if len(members) != k.members {
		k.members = len(members)
		k.record(paevent.AgreementChanged{Members: k.members})
		k.changed = true
	}
}

// tickAgreement advances the agreement, updates the ledger and sends announcements that are due.
func (k *Control) tickAgreement(now time.Time) {
	a := &k.agreement
	a.view.Tick(now)
	k.updateMembers(now)
	k.confirmRollOut(now)
	if now.Before(a.next) {
		return
	}
	a.next = now.Add(announceInterval)
	sees := a.view.NewAnnouncement().Members
	if k.members == 0 || !reflect.DeepEqual(sees, a.announced) {
		a.announced = sees
		k.announceAll()
		return
	}
	a.next = now.Add(announceFactor * announceInterval)
	if n := len(sees); n > 0 {
		k.announceTo(sees[k.config.Random.IntN(n)].Name)
	}
}

func (k *Control) announceAll() {
	for _, s := range k.agreement.view.NewAnnouncement().Members {
		k.announceTo(s.Name)
	}
}

func (k *Control) announceTo(n pabundle.EntryName) {
	if a, ok := k.peerAddress(n); ok {
		k.effects = append(k.effects, Announce{Address: a, Announcement: k.agreement.view.NewAnnouncement()})
	}
}

func (k *Control) handleAnnouncement(now time.Time, a paview.Announcement) {
	k.agreement.view.Receive(now, a)
	k.updateMembers(now)
	k.effects = append(k.effects, ReplyAnnounce{Announcement: k.agreement.view.NewAnnouncement()})
}

// confirmRollOut tells the ledger that a roll-out is in force everywhere, once every entry VM of the VM
// list has advertised it. This includes those that gossip reports dead, because one behind a network
// partition may still grant keys. It requires a message from each of them; in a fleet where not all
// daemons talk to each other, the keys whose home region a roll-out moves stay refused.
func (k *Control) confirmRollOut(now time.Time) {
	if k.confirmedSequence == k.head.Sequence || k.agreement.listed == nil {
		return
	}
	for _, v := range k.agreement.listed {
		n := pabundle.EntryName(v.Name)
		if v.Kind != paplatform.Entry || n == k.config.Self.Name || k.hasLeft(n) {
			continue
		}
		if k.configSequences[n] < k.head.Sequence {
			return
		}
	}
	k.confirmedSequence = k.head.Sequence
	k.ledger.ConfirmRollOut(now, k.head.Sequence)
}

// hasLeft reports whether a member announced that it left.
func (k *Control) hasLeft(n pabundle.EntryName) bool {
	m, ok := k.view.Find(n)
	return ok && m.State == pamember.Left
}
