package pamember

import (
	"time"

	"papayahead/pabundle"
)

// View returns the membership at time now. It returns the same snapshot until something changes. A change of load
// reports alone shows after a Round only, because they change all the time and a snapshot copies every member.
func (m *Member) View(now time.Time) *View {
	m.reindex()
	if m.view != nil && m.view.Version == m.version+m.viewedReportVersion &&
		(m.viewedReportVersion == m.reportVersion || now.Sub(m.viewedAt) < Round) {
		return m.view
	}
	m.viewedAt, m.viewedReportVersion = now, m.reportVersion
	v := &View{Version: m.version + m.reportVersion, Self: m.self.Identity, Members: make([]MemberView, 0, len(m.index.all))}
	for _, e := range m.index.all {
		v.Members = append(v.Members, MemberView{
			Identity:      e.record.Identity,
			State:         m.localState(e),
			Load:          e.load,
			DirectContact: m.directContact(e),
		})
	}
	m.view = v
	return v
}

// localState returns the state of an entry in the local view, which may be Unreachable.
func (m *Member) localState(e *entry) State {
	s := e.record.State
	if s.Gone() || e.record.Name == m.self.Name {
		return s
	}
	if e.zoneHeartbeat != nil && e.zoneHeartbeat.lost {
		return Unreachable
	}
	if e.suspicion != nil && e.suspicion.undecided {
		return Unreachable
	}
	return s
}

// directContact reports whether the own region exchanges messages with an entry's region without a relay in between.
func (m *Member) directContact(e *entry) bool {
	if e.record.Region == m.self.Region {
		return e.zoneHeartbeat == nil || !e.zoneHeartbeat.lost
	}
	return !m.contactHeartbeats.lost(group(string(e.record.Region)))
}

// Self returns the member's own record.
func (m *Member) Self() Record { return m.self }

// Peers returns the usable members of the own region and, on a relay, a random one of each other region. A
// paspread.Replicator offers its head to them.
func (m *Member) Peers() (near, far []pabundle.EntryName) {
	m.reindex()
	for _, e := range m.index.region {
		near = append(near, e.record.Name)
	}
	if !m.index.relay {
		return near, nil
	}
	for _, r := range m.index.otherRegions {
		far = append(far, pick(m.random, r.entries).record.Name)
	}
	return near, far
}
