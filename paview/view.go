package paview

import (
	"maps"
	"slices"
	"time"

	"papayahead/pabundle"
)

// MaxTickGap is the longest pause between two calls of Tick before the view is invalidated. A process
// that was paused while the list dropped its VM would otherwise act on keys and shares that other entry
// VMs have taken over. It is longer than any tick under load, as ticks are a second or less apart, and
// shorter than the list takes to drop a VM and the others to take over.
const MaxTickGap = 3 * time.Second

// MaxMembers is the largest number of members in an announcement, and the number of known peers from
// which on announcements are ignored.
const MaxMembers = 512

// Member is one incarnation of an entry VM.
type Member struct {
	Name pabundle.EntryName
	// Incarnation identifies a start of the process; it rises with each start.
	Incarnation uint64
	// Round rises when the member needs new confirmations, after its view was invalidated.
	Round uint64
}

// Announcement is the state of a member that it sends to the other entry VMs of its region.
type Announcement struct {
	Member
	// Version orders the announcements of one incarnation.
	Version uint64
	// Retired means that this incarnation no longer uses a view and never will again.
	Retired bool
	// Members lists the other members that the sender counts, each as of its last announcement.
	Members []SeenMember
}

// SeenMember is a member as listed in another one's announcement.
type SeenMember struct {
	Member
	// Learned means that the sender knows the member only from announcements of others. A receiver does
	// not add such a member, or two entry VMs would keep a dead one alive by repeating it to each other.
	Learned bool
}

// View is one entry VM's state of the agreement. Set the exported fields before use; it is not safe for
// concurrent use.
type View struct {
	// Self is this entry VM.
	Self Member
	// ListLag is the longest time until every reader of the VM list sees a change.
	ListLag time.Duration
	// Started is when this process started; Invalidate moves it.
	Started time.Time

	peers      map[pabundle.EntryName]*peer
	agreed     map[pabundle.EntryName]bool
	listedAt   time.Time // last successful read of the list
	selfListed bool      // the last read contained this VM
	tickedAt   time.Time // latest time that Tick was given
	version    uint64
	retired    bool
}

// peer is what this entry VM knows of another one.
type peer struct {
	last        Announcement
	incarnation uint64    // the highest in any announcement
	absentSince time.Time // first read of the list without it, zero if the last one contained it
	direct      bool      // known from the VM list or its own announcement
}

// UpdateList applies a successful read of the VM list: the names of the region's entry VMs, live and
// leaving. A name is dropped once it has been missing from all reads for ListLag. While this VM itself
// is missing, there is no agreed view: the list is older than this VM, or the platform considers it gone.
func (v *View) UpdateList(now time.Time, names []pabundle.EntryName) {
	v.Tick(now)
	v.listedAt = now
	if v.selfListed = slices.Contains(names, v.Self.Name); !v.selfListed {
		v.agreed = nil
	}
	for _, n := range names {
		if n == v.Self.Name {
			continue
		}
		p := v.peer(n)
		p.direct, p.absentSince = true, time.Time{}
	}
	for n, p := range v.peers {
		switch {
		case slices.Contains(names, n):
		case p.absentSince.IsZero():
			p.absentSince = now
		case now.Sub(p.absentSince) >= v.ListLag:
			delete(v.peers, n)
		}
	}
	v.tryAgree()
}

// Receive applies an announcement of another entry VM. It ignores one that is not newer than the last.
func (v *View) Receive(now time.Time, a Announcement) {
	v.Tick(now)
	if a.Name == v.Self.Name || a.Name == "" || len(a.Members) > MaxMembers || len(v.peers) >= MaxMembers {
		return
	}
	p := v.peer(a.Name)
	h := &p.last
	if a.Incarnation < h.Incarnation || a.Incarnation == h.Incarnation && a.Version <= h.Version {
		return
	}
	p.last, p.direct = a, true
	p.incarnation = max(p.incarnation, a.Incarnation)
	for _, m := range a.Members {
		if m.Name != v.Self.Name && m.Name != "" && (!m.Learned || v.peers[m.Name] != nil) && len(v.peers) < MaxMembers {
			l := v.peer(m.Name)
			l.incarnation = max(l.incarnation, m.Incarnation)
		}
	}
	v.tryAgree()
}

// Tick detects a pause of this process; call it at least once a second, and before using the view.
//
// If a process is paused until the list drops its VM, the others take over its keys, and one key would
// have two keepers once it resumes. Tick prevents this: it invalidates the view before its next use, and
// the new round makes confirmations from before the pause useless.
func (v *View) Tick(now time.Time) {
	if !v.tickedAt.IsZero() && now.Sub(v.tickedAt) > MaxTickGap {
		v.Invalidate(now)
	}
	if now.After(v.tickedAt) {
		v.tickedAt = now
	}
	v.tryAgree()
}

// Invalidate drops the agreed view and starts a new round, which all members have to confirm. It also
// requires a list that is ListLag newer than now.
func (v *View) Invalidate(now time.Time) {
	v.Self.Round++
	v.agreed = nil
	v.Started = now
}

// Retire stops using views for good, before a shutdown. The other members then need not wait until the
// list drops this VM.
func (v *View) Retire() {
	v.retired = true
	v.agreed = nil
}

func (v *View) peer(n pabundle.EntryName) *peer {
	if v.peers == nil {
		v.peers = make(map[pabundle.EntryName]*peer)
	}
	p := v.peers[n]
	if p == nil {
		p = &peer{}
		v.peers[n] = p
	}
	return p
}

// tryAgree adopts all known members as the agreed view if every one of them confirms this entry VM. It
// needs a list that was read ListLag after Started, as an older one may lack a member.
func (v *View) tryAgree() {
	if v.retired || !v.selfListed || v.listedAt.Sub(v.Started) < v.ListLag {
		return
	}
	for _, p := range v.peers {
		if !p.last.Retired && !p.confirms(v.Self) {
			return
		}
	}
	agreed := map[pabundle.EntryName]bool{v.Self.Name: true}
	for n, p := range v.peers {
		if !p.last.Retired {
			agreed[n] = true
		}
	}
	if !maps.Equal(agreed, v.agreed) {
		v.agreed = agreed
	}
}

// confirms reports whether the latest incarnation of the peer lists the current incarnation and round of self.
//
// A confirmation from an earlier incarnation must not count: the restarted peer no longer knows that it
// confirmed self, and both would claim the whole. An earlier one is recognized because some third member,
// which confirmed the new incarnation, lists it in its announcement.
func (p *peer) confirms(self Member) bool {
	if p.last.Incarnation < p.incarnation {
		return false
	}
	for _, m := range p.last.Members {
		if m.Name == self.Name {
			return m.Incarnation == self.Incarnation && m.Round >= self.Round
		}
	}
	return false
}
