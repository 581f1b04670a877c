package pamember

import (
	"cmp"
	"slices"
	"time"

	"papayahead/pabundle"
)

// freshness follows numbers that only rise: the beats of zones, or of contacts with regions. A number that stands
// still for its limit is lost; it is found again when it rises after that for a probation.
type freshness struct {
	items map[uint32]*beat
	// order holds the beats by rising group.
	order []*beat
}

type beat struct {
	group    uint32
	value    uint64
	name     string
	limit    time.Duration
	advanced time.Time
	// since is when a lost beat was lost, returned when it began to come again.
	lost            bool
	since, returned time.Time
}

// follow begins to follow a group.
func (f *freshness) follow(now time.Time, name string, limit time.Duration) *beat {
	if f.items == nil {
		f.items = map[uint32]*beat{}
	}
	g := group(name)
	if b := f.items[g]; b != nil {
		return b
	}
	b := &beat{group: g, name: name, limit: limit, advanced: now}
	f.items[g] = b
	i, _ := slices.BinarySearchFunc(f.order, g, func(b *beat, g uint32) int { return cmp.Compare(b.group, g) })
	f.order = slices.Insert(f.order, i, b)
	return b
}

// hear takes in a value that a peer knows.
func (f *freshness) hear(now time.Time, g GroupHeartbeat) {
	b := f.items[g.Group]
	if b == nil || g.Counter <= b.value || g.Counter > uint64(MaxIncarnation) {
		return
	}
	b.value = g.Counter
	b.advanced = now
}

// raise lifts a number by the clock. It never falls behind what is known, so that a new process with a slow clock, or
// the death of one with a fast clock, does not make the number stand still.
func (f *freshness) raise(now time.Time, g uint32) {
	b := f.items[g]
	f.hear(now, GroupHeartbeat{Group: g, Counter: max(b.value+1, uint64(now.Unix()))})
}

// check moves a beat between lost and found, and reports whether it did and whether it fell silent or was heard again.
func (b *beat) check(now time.Time) (moved, heard bool) {
	stale := now.Sub(b.advanced) > b.limit
	silent := b.silent()
	switch {
	case !b.lost && stale:
		b.lost, b.since, b.returned = true, now, time.Time{}
		moved = true
	case b.lost && stale:
		b.returned = time.Time{}
	case b.lost && b.returned.IsZero():
		b.returned = now
	case b.lost && now.Sub(b.returned) >= probation:
		b.lost = false
		moved = true
	}
	return moved, silent != b.silent()
}

// silent reports whether the group is lost and not even in its probation.
func (b *beat) silent() bool { return b.lost && b.returned.IsZero() }

// shift begins all waiting anew.
func (f *freshness) shift(now time.Time) {
	for _, b := range f.items {
		b.advanced = now
	}
}

func (f *freshness) lost(g uint32) bool {
	b := f.items[g]
	return b != nil && b.lost
}

// list returns the values that are known of groups with at most a limit: nearStale for the zones of the own region.
func (f *freshness) list(limit time.Duration) []GroupHeartbeat {
	all := make([]GroupHeartbeat, 0, len(f.order))
	for _, b := range f.order {
		if b.value > 0 && b.limit <= limit {
			all = append(all, GroupHeartbeat{Group: b.group, Counter: b.value})
		}
	}
	return all[:min(len(all), maxGroups)]
}

// beat raises the own zone's beat and looks for zones that fell silent or came back.
func (m *Member) beat(now time.Time, out *Output) {
	own := string(m.self.Zone)
	m.zones.follow(now, own, nearStale)
	if m.self.State != Left && m.isDue(now, &m.due.beat, Round) {
		m.zones.raise(now, group(own))
	}
	for _, b := range m.zones.order {
		if b.name == own {
			continue
		}
		moved, heard := b.check(now)
		m.index.dirty = m.index.dirty || heard
		if !moved {
			continue
		}
		m.version++
		if b.lost {
			out.changed(ZoneLost{Zone: pabundle.ZoneName(b.name)})
		} else {
			out.changed(ZoneFound{Zone: pabundle.ZoneName(b.name)})
		}
	}
	for _, b := range m.contacts.order {
		if moved, _ := b.check(now); moved {
			m.version++
		}
	}
}

// followZone begins to follow the zone of a new member.
func (m *Member) followZone(now time.Time, d Identity) *beat {
	limit := farStale
	if d.Region == m.self.Region {
		limit = nearStale
	} else {
		m.contacts.follow(now, string(d.Region), contactStale)
	}
	return m.zones.follow(now, string(d.Zone), limit)
}

// contactStale is how long a region may go without a message straight from another before the two count as apart.
// A region's three relays reach each of 25 others every eight seconds and are reached as often.
const contactStale = 30 * time.Second
