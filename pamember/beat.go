package pamember

import (
	"cmp"
	"slices"
	"time"

	"papayahead/pabundle"
)

// heartbeatTracker follows counters that only rise: the heartbeats of zones, or of direct contacts with regions. A group
// whose counter does not rise for staleAfter is lost; it is found again once its counter has risen for the probation.
type heartbeatTracker struct {
	byGroup map[uint32]*heartbeat
	// order holds the heartbeats sorted by group.
	order []*heartbeat
}

type heartbeat struct {
	group      uint32
	value      uint64
	name       string
	staleAfter time.Duration
	advanced   time.Time
	// lostAt is when a lost heartbeat was lost, recoveringSince when it began to rise again.
	lost                    bool
	lostAt, recoveringSince time.Time
}

// track returns the heartbeat of a group, which it starts to track if it is new.
func (f *heartbeatTracker) track(now time.Time, name string, limit time.Duration) *heartbeat {
	if f.byGroup == nil {
		f.byGroup = map[uint32]*heartbeat{}
	}
	g := group(name)
	if b := f.byGroup[g]; b != nil {
		return b
	}
	b := &heartbeat{group: g, name: name, staleAfter: limit, advanced: now}
	f.byGroup[g] = b
	i, _ := slices.BinarySearchFunc(f.order, g, func(b *heartbeat, g uint32) int { return cmp.Compare(b.group, g) })
	f.order = slices.Insert(f.order, i, b)
	return b
}

// observe applies a counter received from a peer; lower and out-of-range values are ignored.
func (f *heartbeatTracker) observe(now time.Time, g GroupHeartbeat) {
	b := f.byGroup[g.Group]
	if b == nil || g.Counter <= b.value || g.Counter > uint64(MaxIncarnation) {
		return
	}
	b.value = g.Counter
	b.advanced = now
}

// increment sets a counter to the clock's seconds, or to one more than the known value if that is higher. A process with
// a slow clock, or the death of one with a fast clock, thus doesn't stop the counter from rising.
func (f *heartbeatTracker) increment(now time.Time, g uint32) {
	b := f.byGroup[g]
	f.observe(now, GroupHeartbeat{Group: g, Counter: max(b.value+1, uint64(now.Unix()))})
}

// check updates whether a heartbeat is lost, and reports whether that changed and whether silent changed.
func (b *heartbeat) check(now time.Time) (lostChanged, silentChanged bool) {
	stale := now.Sub(b.advanced) > b.staleAfter
	silent := b.silent()
	switch {
	case !b.lost && stale:
		b.lost, b.lostAt, b.recoveringSince = true, now, time.Time{}
		lostChanged = true
	case b.lost && stale:
		b.recoveringSince = time.Time{}
	case b.lost && b.recoveringSince.IsZero():
		b.recoveringSince = now
	case b.lost && now.Sub(b.recoveringSince) >= probation:
		b.lost = false
		lostChanged = true
	}
	return lostChanged, silent != b.silent()
}

// silent reports whether the group is lost and its probation has not begun.
func (b *heartbeat) silent() bool { return b.lost && b.recoveringSince.IsZero() }

// restartTimers restarts the staleness timers of all groups.
func (f *heartbeatTracker) restartTimers(now time.Time) {
	for _, b := range f.byGroup {
		b.advanced = now
	}
}

func (f *heartbeatTracker) lost(g uint32) bool {
	b := f.byGroup[g]
	return b != nil && b.lost
}

// counters returns the known counters of the groups whose staleAfter is at most limit: localStaleAfter selects the
// zones of the own region.
func (f *heartbeatTracker) counters(limit time.Duration) []GroupHeartbeat {
	all := make([]GroupHeartbeat, 0, len(f.order))
	for _, b := range f.order {
		if b.value > 0 && b.staleAfter <= limit {
			all = append(all, GroupHeartbeat{Group: b.group, Counter: b.value})
		}
	}
	return all[:min(len(all), maxGroups)]
}

// updateHeartbeats increments the own zone's counter and reports the zones that were lost or found.
func (m *Member) updateHeartbeats(now time.Time, out *Output) {
	own := string(m.self.Zone)
	m.zoneHeartbeats.track(now, own, localStaleAfter)
	if m.self.State != Left && m.isDue(now, &m.schedule.heartbeat, Round) {
		m.zoneHeartbeats.increment(now, group(own))
	}
	for _, b := range m.zoneHeartbeats.order {
		if b.name == own {
			continue
		}
		lostChanged, silentChanged := b.check(now)
		m.index.dirty = m.index.dirty || silentChanged
		if !lostChanged {
			continue
		}
		m.version++
		if b.lost {
			out.changed(ZoneLost{Zone: pabundle.ZoneName(b.name)})
		} else {
			out.changed(ZoneFound{Zone: pabundle.ZoneName(b.name)})
		}
	}
	for _, b := range m.contactHeartbeats.order {
		if moved, _ := b.check(now); moved {
			m.version++
		}
	}
}

// trackZone tracks the zone of a new member and, for another region, the contact with that region.
func (m *Member) trackZone(now time.Time, d Identity) *heartbeat {
	limit := remoteStaleAfter
	if d.Region == m.self.Region {
		limit = localStaleAfter
	} else {
		m.contactHeartbeats.track(now, string(d.Region), contactStaleAfter)
	}
	return m.zoneHeartbeats.track(now, string(d.Zone), limit)
}

// contactStaleAfter is how long a region may go without a direct message from another before their direct contact counts
// as lost. A region's three relays contact each of 25 other regions every eight seconds, and are contacted as often.
const contactStaleAfter = 30 * time.Second
