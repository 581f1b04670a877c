package paview

import (
	"slices"

	"papayahead/pabundle"
)

// NewAnnouncement returns the announcement to send now, with the next version.
func (v *View) NewAnnouncement() Announcement {
	v.version++
	a := Announcement{Member: v.Self, Version: v.version, Retired: v.retired}
	for n, p := range v.peers {
		if !p.last.Retired {
			m := Member{Name: n, Incarnation: p.last.Incarnation, Round: p.last.Round}
			a.Members = append(a.Members, SeenMember{Member: m, Learned: !p.direct})
		}
	}
	slices.SortFunc(a.Members, func(x, y SeenMember) int { return compare(x.Name, y.Name) })
	return a
}

// Members returns the members in use, sorted: the agreed ones and all that were added since. It returns
// nil while there is no agreed view; callers then refuse what depends on it.
//
// Call it again after each Receive, UpdateList and Tick, before the next announcement is sent: that one
// confirms new members, which may use their views as soon as they receive it.
func (v *View) Members() []pabundle.EntryName {
	if v.agreed == nil {
		return nil
	}
	var names []pabundle.EntryName
	for n := range v.agreed {
		names = append(names, n)
	}
	for n, p := range v.peers {
		if !v.agreed[n] && !p.last.Retired {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

func compare(a, b pabundle.EntryName) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
