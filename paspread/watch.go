package paspread

import (
	"papayahead/pabundle"
	"papayahead/pamember"
)

// WatchersPerZone is how many daemons of a zone watch the store. With two, the loss of one delays no change, and the
// number of pending watches grows with the zones (166 at 83), not with the fleet (2,100).
const WatchersPerZone = 2

// Watchers returns the daemons of a zone that watch the store: the live members with the highest rendezvous scores, so
// that all agree without coordination and a loss replaces one watcher only.
func Watchers(v *pamember.View, zone pabundle.ZoneName) []pabundle.EntryName {
	ranked := pamember.Ranked(v, "watch/"+string(zone), func(m pamember.MemberView) bool { return m.Zone == zone })
	var names []pabundle.EntryName
	for _, m := range ranked[:min(len(ranked), WatchersPerZone)] {
		names = append(names, m.Name)
	}
	return names
}

// IsWatcher reports whether the view's own daemon watches the store.
func IsWatcher(v *pamember.View) bool {
	for _, n := range Watchers(v, v.Self.Zone) {
		if n == v.Self.Name {
			return true
		}
	}
	return false
}
