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

func view(name pabundle.EntryName, incarnation uint64) *View {
	return &View{Self: Member{Name: name, Incarnation: incarnation}, ListLag: lag, Started: epoch}
}

// says is an announcement of a member that counts others.
func says(name pabundle.EntryName, incarnation, version uint64, sees ...Member) Announcement {
	a := Announcement{Member: Member{Name: name, Incarnation: incarnation}, Version: version}
	for _, m := range sees {
		a.Members = append(a.Members, SeenMember{Member: m})
	}
	return a
}

func list(v *View, after time.Duration, names ...pabundle.EntryName) {
	for at := v.last; at.Before(epoch.Add(after)) && !v.last.IsZero(); at = at.Add(time.Second) {
		v.Tick(at)
	}
	v.UpdateList(epoch.Add(after), names)
}

// Two entry VMs of a region each believe in a set of members. Each case is an order of events after
// which one of them would take a part of the link, or a key, that another one has: because the list
// was old, the confirmation was meant for an earlier start or round of it, or came from a start
// that is over.
func TestNoViewIsUsedBeforeAllMembersConfirm(t *testing.T) {
	k, k2 := Member{"k", 1, 0}, Member{"k", 2, 0}
	cases := map[string]struct {
		incarnation uint64
		events      func(v *View)
		want        []pabundle.EntryName
	}{
		"a list as old as the start may lack a member": {1, func(v *View) { list(v, 0, "k") }, nil},
		"alone on a fresh list":                        {1, func(v *View) { list(v, lag, "k") }, []pabundle.EntryName{"k"}},
		"not on the list":                              {1, func(v *View) { list(v, lag) }, nil},
		"a member is silent":                           {1, func(v *View) { list(v, lag, "i", "k") }, nil},
		"confirmed": {1, func(v *View) {
			list(v, lag, "i", "k")
			v.Receive(v.last, says("i", 1, 1, k))
		}, []pabundle.EntryName{"i", "k"}},
		"confirmed to an earlier start": {2, func(v *View) {
			list(v, lag, "i", "k")
			v.Receive(v.last, says("i", 1, 1, k))
		}, nil},
		"confirmed to an earlier round": {1, func(v *View) {
			list(v, lag, "i", "k")
			v.Receive(v.last, says("i", 1, 1, k))
			v.Invalidate(epoch)
			v.Tick(v.last)
		}, nil},
		"frozen": {1, func(v *View) {
			list(v, lag, "k")
			v.Tick(v.last.Add(MaxTickGap + 1))
		}, nil},
		"confirmed by a start that is over": {2, func(v *View) {
			list(v, lag, "a", "i", "k")
			v.Receive(v.last, says("i", 1, 1, k2))
			v.Receive(v.last, says("a", 1, 1, k2, Member{"i", 2, 0}))
		}, nil},
		"another one counts a member that the list lacks": {1, func(v *View) {
			list(v, lag, "a", "k")
			v.Receive(v.last, says("a", 1, 1, k, Member{"m", 1, 0}))
		}, nil},
		"a newcomer is counted at once, and an old list does not drop it": {1, func(v *View) {
			list(v, lag, "k")
			v.Receive(v.last, says("m", 1, 1))
			list(v, lag+time.Second, "k")
			list(v, lag+2*time.Second, "k")
		}, []pabundle.EntryName{"k", "m"}},
		"a member that is gone from the list for the lag": {1, func(v *View) {
			list(v, lag, "k")
			v.Receive(v.last, says("m", 1, 1, k))
			list(v, lag+time.Second, "k")
			list(v, 2*lag+time.Second, "k")
		}, []pabundle.EntryName{"k"}},
		"an older announcement comes late": {1, func(v *View) {
			list(v, lag, "i", "k")
			v.Receive(v.last, says("i", 1, 2))
			v.Receive(v.last, says("i", 1, 1, k))
		}, nil},
		"a member retired": {1, func(v *View) {
			list(v, lag, "i", "k")
			v.Receive(v.last, Announcement{Member: Member{"i", 1, 0}, Version: 1, Retired: true})
		}, []pabundle.EntryName{"k"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := view("k", c.incarnation)
			c.events(v)
			if got := v.Members(); !slices.Equal(got, c.want) {
				t.Errorf("the members are %v, want %v", got, c.want)
			}
		})
	}
}

// An entry VM dies and the list drops it. If the others kept reminding each other of it, its part of
// the link would stay unused and its keys refused for ever.
func TestADeadMemberIsForgottenByAll(t *testing.T) {
	views := []*View{view("a", 1), view("b", 1), view("c", 1)}
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

// Whatever bytes arrive, reading them gives an error or an announcement that is safe to hear.
func FuzzAnnouncement(f *testing.F) {
	b, err := proto.Marshal(says("i", 1, 1, Member{"k", 1, 0}).Wire())
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
			v := view("k", 1)
			list(v, lag, "i", "k")
			v.Receive(v.last, a)
			v.NewAnnouncement().Wire()
		}
	})
}
