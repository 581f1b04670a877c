package paview

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"papayahead/pabundle"
	"papayahead/pawire"
)

const lag = 10 * time.Second

var epoch = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)

func newView(name pabundle.EntryName, incarnation uint64) *View {
	return &View{Self: Member{Name: name, Incarnation: incarnation}, ListLag: lag, Started: epoch}
}

// announcement returns the announcement of a member that counts the given members.
func announcement(name pabundle.EntryName, incarnation, version uint64, members ...Member) Announcement {
	a := Announcement{Member: Member{Name: name, Incarnation: incarnation}, Version: version}
	for _, m := range members {
		a.Members = append(a.Members, SeenMember{Member: m})
	}
	return a
}

// updateList ticks every second up to the given time after epoch and then applies a read of the list.
func updateList(v *View, after time.Duration, names ...pabundle.EntryName) {
	for at := v.tickedAt; at.Before(epoch.Add(after)) && !v.tickedAt.IsZero(); at = at.Add(time.Second) {
		v.Tick(at)
	}
	v.UpdateList(epoch.Add(after), names)
}

// Guards against two entry VMs that use conflicting sets of members: one would take a share of the link or
// a key that the other has. This can happen if the list is out of date, or if a confirmation is meant for
// an earlier incarnation or round or comes from an earlier incarnation of the peer.
func TestNoViewIsUsedBeforeAllMembersConfirm(t *testing.T) {
	k, k2 := Member{"k", 1, 0}, Member{"k", 2, 0}
	cases := map[string]struct {
		incarnation uint64
		events      func(v *View)
		want        []pabundle.EntryName
	}{
		"the list is as old as the start": {1, func(v *View) { updateList(v, 0, "k") }, nil},
		"alone on a recent list":          {1, func(v *View) { updateList(v, lag, "k") }, []pabundle.EntryName{"k"}},
		"not on the list":                 {1, func(v *View) { updateList(v, lag) }, nil},
		"a member sent nothing":           {1, func(v *View) { updateList(v, lag, "i", "k") }, nil},
		"confirmed": {1, func(v *View) {
			updateList(v, lag, "i", "k")
			v.Receive(v.tickedAt, announcement("i", 1, 1, k))
		}, []pabundle.EntryName{"i", "k"}},
		"an earlier incarnation was confirmed": {2, func(v *View) {
			updateList(v, lag, "i", "k")
			v.Receive(v.tickedAt, announcement("i", 1, 1, k))
		}, nil},
		"an earlier round was confirmed": {1, func(v *View) {
			updateList(v, lag, "i", "k")
			v.Receive(v.tickedAt, announcement("i", 1, 1, k))
			v.Invalidate(epoch)
			v.Tick(v.tickedAt)
		}, nil},
		"the process was paused": {1, func(v *View) {
			updateList(v, lag, "k")
			v.Tick(v.tickedAt.Add(MaxTickGap + 1))
		}, nil},
		"confirmed by an earlier incarnation of a member": {2, func(v *View) {
			updateList(v, lag, "a", "i", "k")
			v.Receive(v.tickedAt, announcement("i", 1, 1, k2))
			v.Receive(v.tickedAt, announcement("a", 1, 1, k2, Member{"i", 2, 0}))
		}, nil},
		"another member counts one that the list lacks": {1, func(v *View) {
			updateList(v, lag, "a", "k")
			v.Receive(v.tickedAt, announcement("a", 1, 1, k, Member{"m", 1, 0}))
		}, nil},
		"a new member is used at once, and an old list does not drop it": {1, func(v *View) {
			updateList(v, lag, "k")
			v.Receive(v.tickedAt, announcement("m", 1, 1))
			updateList(v, lag+time.Second, "k")
			updateList(v, lag+2*time.Second, "k")
		}, []pabundle.EntryName{"k", "m"}},
		"a member has been missing from the list for the lag": {1, func(v *View) {
			updateList(v, lag, "k")
			v.Receive(v.tickedAt, announcement("m", 1, 1, k))
			updateList(v, lag+time.Second, "k")
			updateList(v, 2*lag+time.Second, "k")
		}, []pabundle.EntryName{"k"}},
		"an older announcement arrives late": {1, func(v *View) {
			updateList(v, lag, "i", "k")
			v.Receive(v.tickedAt, announcement("i", 1, 2))
			v.Receive(v.tickedAt, announcement("i", 1, 1, k))
		}, nil},
		"a member retired": {1, func(v *View) {
			updateList(v, lag, "i", "k")
			v.Receive(v.tickedAt, Announcement{Member: Member{"i", 1, 0}, Version: 1, Retired: true})
		}, []pabundle.EntryName{"k"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := newView("k", c.incarnation)
			c.events(v)
			if got := v.Members(); !slices.Equal(got, c.want) {
				t.Errorf("the members are %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against members that keep a dead entry VM alive by listing it to each other after the VM list
// has dropped it: its share of the link would stay unused and its keys would be refused for ever.
func TestDeadMemberIsForgotten(t *testing.T) {
	views := []*View{newView("a", 1), newView("b", 1), newView("c", 1)}
	for second := range 60 {
		now := epoch.Add(time.Duration(second) * time.Second)
		names := []pabundle.EntryName{"a", "b", "c", "dead"}
		if second > 10 {
			names = names[:3]
		}
		for i, v := range views {
			if second%3 == i {
				v.UpdateList(now, names)
			}
			a := v.NewAnnouncement()
			for _, o := range views {
				o.Receive(now, a)
			}
		}
	}
	for _, v := range views {
		if got := v.Members(); len(got) != 3 {
			t.Errorf("%s counts %v", v.Self.Name, got)
		}
	}
}

// Decoding arbitrary bytes must give an error or an announcement that Receive handles without a panic.
func FuzzAnnouncement(f *testing.F) {
	b, err := proto.Marshal(announcement("i", 1, 1, Member{"k", 1, 0}).Wire())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var m pawire.MemberView
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		if a, err := AnnouncementFromWire(&m); err == nil {
			v := newView("k", 1)
			updateList(v, lag, "i", "k")
			v.Receive(v.tickedAt, a)
			v.NewAnnouncement().Wire()
		}
	})
}
