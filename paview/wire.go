package paview

import (
	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pawire"
)

// maxName bounds the length of names in messages, in bytes.
const maxName = 255

// Wire converts the announcement to a message.
func (a Announcement) Wire() *pawire.MemberView {
	m := &pawire.MemberView{
		Name: string(a.Name), Incarnation: a.Incarnation, Round: a.Round, Version: a.Version, Retired: a.Retired,
	}
	for _, s := range a.Members {
		m.Members = append(m.Members, &pawire.SeenMember{
			Name: string(s.Name), Incarnation: s.Incarnation, Round: s.Round, Learned: s.Learned,
		})
	}
	return m
}

// AnnouncementFromWire checks and converts a message; it returns trace.BadParameter for an invalid one.
func AnnouncementFromWire(m *pawire.MemberView) (Announcement, error) {
	if n := len(m.GetName()); n == 0 || n > maxName {
		return Announcement{}, trace.BadParameter("member view: the name has %d bytes, want 1 to %d", n, maxName)
	}
	if n := len(m.GetMembers()); n > MaxMembers {
		return Announcement{}, trace.BadParameter("member view: %d members, want at most %d", n, MaxMembers)
	}
	a := Announcement{
		Member:  Member{pabundle.EntryName(m.GetName()), m.GetIncarnation(), m.GetRound()},
		Version: m.GetVersion(), Retired: m.GetRetired(),
	}
	for _, s := range m.GetMembers() {
		if n := len(s.GetName()); n == 0 || n > maxName {
			return Announcement{}, trace.BadParameter("member view: a member's name has %d bytes, want 1 to %d", n, maxName)
		}
		seen := Member{pabundle.EntryName(s.GetName()), s.GetIncarnation(), s.GetRound()}
		a.Members = append(a.Members, SeenMember{Member: seen, Learned: s.GetLearned()})
	}
	return a, nil
}
