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

// agreement is this entry VM's part in the region's agreement on who counts, on which the division
// of links and the keepers of keys rest.
type agreement struct {
	view paview.View
	// listed is the platform's VM list as it was last read.
	listed []paplatform.VM
	// told is what was last announced.
	announced []paview.Seen
	next      time.Time
}

const (
	// announceInterval is how often a view that is not agreed yet, or has changed, is announced.
	announceInterval = time.Second
	// announceFactor is how many times less often an unchanged view is announced, to one other entry
	// VM: what the network lost is made good by it.
	announceFactor = 5
)

func (a *agreement) configure(c Config) {
	a.view.Self = paview.Member{Name: c.Self.Name, Incarnation: uint64(c.Self.Incarnation)}
	a.view.Lag = c.ListLag
	a.view.Started = c.Started
}

// listRegion takes the region's entry VMs from the VM list. Before the first bundle the zones'
// regions are not known, so that the list says nothing.
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
	k.agreement.view.List(now, names)
	k.updateMembers(now)
}

// takeMembers hands on who counts now. It has to come before any announcement that follows: that
// confirms newcomers, who may claim their parts as soon as they have it.
func (k *Control) updateMembers(now time.Time) {
	members := k.agreement.view.Members()
	k.ledger.SetMembers(now, members)
	if len(members) != k.members {
		k.members = len(members)
		k.record(paevent.AgreementChanged{Members: k.members})
		k.changed = true
	}
}

// agree keeps the agreement up and lets the ledger know of it.
func (k *Control) tickAgreement(now time.Time) {
	a := &k.agreement
	a.view.Tick(now)
	k.updateMembers(now)
	k.confirmRollOut(now)
	if now.Before(a.next) {
		return
	}
	a.next = now.Add(announceInterval)
	sees := a.view.Announcement().Sees
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
	for _, s := range k.agreement.view.Announcement().Sees {
		k.announceTo(s.Name)
	}
}

func (k *Control) announceTo(n pabundle.EntryName) {
	if a, ok := k.peerAddress(n); ok {
		k.effects = append(k.effects, Announce{Address: a, Announcement: k.agreement.view.Announcement()})
	}
}

func (k *Control) handleAnnouncement(now time.Time, a paview.Announcement) {
	k.agreement.view.Hear(now, a)
	k.updateMembers(now)
	k.effects = append(k.effects, ReplyAnnounce{Announcement: k.agreement.view.Announcement()})
}

// confirmHomes says that a roll-out moved the home regions everywhere, once every entry VM of the VM
// list was heard to have taken it: also one that gossip calls dead may still grant keys behind a cut.
// It rests on hearing from each of them, which holds for a fleet whose daemons all talk to each
// other; where it does not, keys that a roll-out moves stay refused.
func (k *Control) confirmRollOut(now time.Time) {
	if k.confirmedSequence == k.head.Sequence || k.agreement.listed == nil {
		return
	}
	for _, v := range k.agreement.listed {
		n := pabundle.EntryName(v.Name)
		if v.Kind != paplatform.Entry || n == k.config.Self.Name || k.hasLeft(n) {
			continue
		}
		if k.adverts[n] < k.head.Sequence {
			return
		}
	}
	k.confirmedSequence = k.head.Sequence
	k.ledger.ConfirmRollOut(now, k.head.Sequence)
}

// saidGoodBye reports whether a member left by its own word.
func (k *Control) hasLeft(n pabundle.EntryName) bool {
	m, ok := k.view.Find(n)
	return ok && m.State == pamember.Left
}
