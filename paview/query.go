package paview

import (
	"slices"

	"papayahead/pabundle"
)

// NewAnnouncement returns what to tell the others now; each call raises the version.
func (v *View) NewAnnouncement() Announcement {
	v.version++
	a := Announcement{Member: v.Self, Version: v.version, Retired: v.retired}
	for n, o := range v.others {
		if !o.heard.Retired {
			m := Member{Name: n, Incarnation: o.heard.Incarnation, Round: o.heard.Round}
			a.Members = append(a.Members, SeenMember{Member: m, Learned: !o.direct})
		}
	}
	slices.SortFunc(a.Members, func(x, y SeenMember) int { return compare(x.Name, y.Name) })
	return a
}

// Members returns the members in use, sorted: the agreed ones and all that have come since. It
// returns nil while there is no agreed view; whoever needs one refuses then.
//
// Take it anew after each Hear, List and Tick, and before an announcement made after these is sent:
// the announcement confirms newcomers, who may use their views as soon as they have it.
func (v *View) Members() []pabundle.EntryName {
	if v.agreed == nil {
		return nil
	}
	var names []pabundle.EntryName
	for n := range v.agreed {
		names = append(names, n)
	}
	for n, o := range v.others {
		if !v.agreed[n] && !o.heard.Retired {
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
