package paview

import (
	"maps"
	"slices"
	"time"

	"papayahead/pabundle"
)

// MaxTickGap is the pause between two calls after which a view trusts nothing it knew. Load: ticks
// of a second or less. Harm: a process that slept while the list dropped its VM acts on keys and
// shares that others hold by now. Value: above any tick under load, below the time in which the
// list drops a VM and the others take over.
const MaxTickGap = 3 * time.Second

// MaxMembers bounds what is taken from announcements.
const MaxMembers = 512

// Member is one start of an entry VM.
type Member struct {
	Name pabundle.EntryName
	// Incarnation tells the starts of one VM apart; it rises.
	Incarnation uint64
	// Round rises when the member wants to be confirmed anew.
	Round uint64
}

// Announcement is what an entry VM tells the others of its region.
type Announcement struct {
	Member
	// Version orders the announcements of one incarnation.
	Version uint64
	// Retired says that the member uses no view any more and never will again.
	Retired bool
	// Members lists the members that the sender counts, as it last heard of them.
	Members []SeenMember
}

// SeenMember is a member as another one counts it.
type SeenMember struct {
	Member
	// Learned says that the sender knows it only from others; what is learned is not passed on,
	// or two entry VMs would remind each other of a dead one for ever.
	Learned bool
}

// View is one entry VM's part of the agreement. Set the exported fields before use; it is used by
// one goroutine.
type View struct {
	// Self is this entry VM and its start.
	Self Member
	// ListLag is the longest time that a change of the VM list takes to be seen by every reader.
	ListLag time.Duration
	// Started is when this process started.
	Started time.Time

	others  map[pabundle.EntryName]*other
	agreed  map[pabundle.EntryName]bool
	listed  time.Time // last successful read of the list
	present bool      // the list named this VM
	last    time.Time
	version uint64
	retired bool
}

// other is what is known of one other entry VM.
type other struct {
	heard       Announcement
	incarnation uint64 // the latest start that anyone has seen
	absentSince time.Time
	direct      bool // from the own list or from itself
}

// UpdateList takes a successful read of the VM list: the names of the region's entry VMs, live and
// leaving. A name is dropped once reads have lacked it for Lag. While this VM is not named itself,
// there is no agreed view: either the list is older than this VM, or the platform counts it as gone.
func (v *View) UpdateList(now time.Time, names []pabundle.EntryName) {
	v.Tick(now)
	v.listed = now
	if v.present = slices.Contains(names, v.Self.Name); !v.present {
		v.agreed = nil
	}
	for _, n := range names {
		if n == v.Self.Name {
			continue
		}
		o := v.other(n)
		o.direct, o.absentSince = true, time.Time{}
	}
	for n, o := range v.others {
		switch {
		case slices.Contains(names, n):
		case o.absentSince.IsZero():
			o.absentSince = now
		case now.Sub(o.absentSince) >= v.ListLag:
			delete(v.others, n)
		}
	}
	v.settle()
}

// Receive takes an announcement of another entry VM; older ones than the last are dropped.
func (v *View) Receive(now time.Time, a Announcement) {
	v.Tick(now)
	if a.Name == v.Self.Name || a.Name == "" || len(a.Members) > MaxMembers || len(v.others) >= MaxMembers {
		return
	}
	o := v.other(a.Name)
	h := &o.heard
	if a.Incarnation < h.Incarnation || a.Incarnation == h.Incarnation && a.Version <= h.Version {
		return
	}
	o.heard, o.direct = a, true
	o.incarnation = max(o.incarnation, a.Incarnation)
	for _, m := range a.Members {
		if m.Name != v.Self.Name && m.Name != "" && (!m.Learned || v.others[m.Name] != nil) && len(v.others) < MaxMembers {
			l := v.other(m.Name)
			l.incarnation = max(l.incarnation, m.Incarnation)
		}
	}
	v.settle()
}

// Tick finds a freeze of this process; call it often, and before using the view.
//
// Guards against a process that was paused while its VM was dropped from the list: it shows as two
// keepers of one key. The guard holds because the gap is found before the view is used again, and
// the new round makes every confirmation from before the pause worthless.
func (v *View) Tick(now time.Time) {
	if !v.last.IsZero() && now.Sub(v.last) > MaxTickGap {
		v.Invalidate(now)
	}
	if now.After(v.last) {
		v.last = now
	}
	v.settle()
}

// Invalidate drops the agreed view and asks to be confirmed anew.
func (v *View) Invalidate(now time.Time) {
	v.Self.Round++
	v.agreed = nil
	v.Started = now
}

// Retire ends the use of views for good, before a shutdown; the others then need not wait for the list.
func (v *View) Retire() {
	v.retired = true
	v.agreed = nil
}

func (v *View) other(n pabundle.EntryName) *other {
	if v.others == nil {
		v.others = make(map[pabundle.EntryName]*other)
	}
	o := v.others[n]
	if o == nil {
		o = &other{}
		v.others[n] = o
	}
	return o
}

// settle adopts the members as agreed when all of them confirm.
func (v *View) settle() {
	if v.retired || !v.present || v.listed.Sub(v.Started) < v.ListLag {
		return
	}
	for _, o := range v.others {
		if !o.heard.Retired && !o.confirms(v.Self) {
			return
		}
	}
	agreed := map[pabundle.EntryName]bool{v.Self.Name: true}
	for n, o := range v.others {
		if !o.heard.Retired {
			agreed[n] = true
		}
	}
	if !maps.Equal(agreed, v.agreed) {
		v.agreed = agreed
	}
}

// confirms says whether the latest start of the other one counts this start and round of self.
//
// Guards against a confirmation by a start that is over: its successor has forgotten that it counted
// this entry VM, and both would claim the whole. The guard holds because some third one that has
// confirmed the successor names its incarnation.
func (o *other) confirms(self Member) bool {
	if o.heard.Incarnation < o.incarnation {
		return false
	}
	for _, m := range o.heard.Members {
		if m.Name == self.Name {
			return m.Incarnation == self.Incarnation && m.Round >= self.Round
		}
	}
	return false
}
