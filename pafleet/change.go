package pafleet

import (
	"net/netip"
	"time"

	"papayahead/paroute"
)

// Revision orders all changes of the platform's store.
type Revision uint64

// Change is one thing that was written to the platform's store.
type Change interface {
	// written returns the revision of the write; 0 is not known.
	written() Revision
}

// ConfigWritten is a new version of the configuration.
type ConfigWritten struct {
	Revision Revision
	Config   *paroute.Config
}

// TargetSaid is what a target says of itself.
type TargetSaid struct{ Target Target }

// TargetGone is the removal of a target's entry.
type TargetGone struct {
	ID       string
	Revision Revision
}

// ZoneEvacuated asks that no more be sent to the targets of a zone.
type ZoneEvacuated struct {
	Zone     string
	Revision Revision
}

// ZoneRestored takes an evacuation back.
type ZoneRestored struct {
	Zone     string
	Revision Revision
}

// EntrySaid is what an entry VM says of itself.
type EntrySaid struct{ Entry Entry }

// EntryGone is the removal of an entry VM's registration.
type EntryGone struct {
	Name     string
	Revision Revision
}

// LimiterSaid says which entry VM keeps the pools of rate limits; an empty Name says that none does.
type LimiterSaid struct {
	Name     string
	Revision Revision
}

// WarmNote says that a target handled an object lately.
type WarmNote struct {
	Target, Object string
	// Age is how long ago that was.
	Age time.Duration
}

// WarmKept is what was warm when an entry VM last kept it in the store.
type WarmKept struct{ Notes []WarmNote }

func (c LimiterSaid) written() Revision   { return c.Revision }
func (WarmKept) written() Revision        { return 0 }
func (c ConfigWritten) written() Revision { return c.Revision }
func (c TargetSaid) written() Revision    { return c.Target.Revision }
func (c TargetGone) written() Revision    { return c.Revision }
func (c ZoneEvacuated) written() Revision { return c.Revision }
func (c ZoneRestored) written() Revision  { return c.Revision }
func (c EntrySaid) written() Revision     { return c.Entry.Revision }
func (c EntryGone) written() Revision     { return c.Revision }

// Target is one lifetime of a target.
type Target struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// Slots is how many requests the target works on at once.
	Slots int
	// Draining says that the target is about to leave and takes no more work.
	Draining bool
	// ColdLeft is how much longer the target stays cold, as of the word's arrival.
	ColdLeft time.Duration
	// Born is the Unix millisecond of the target's start; a later one is another lifetime.
	Born int64
	// Sequence counts the target's words in one lifetime.
	Sequence int64
	Revision Revision
	// Registered is the revision at which its entry came into the store, later than a removal before; 0 is not known.
	Registered Revision `json:",omitempty"`
}

// Newer says whether t is a later word of the same target than u.
func (t *Target) Newer(u *Target) bool {
	if t.Born != u.Born {
		return t.Born > u.Born
	}
	return t.Sequence > u.Sequence
}

// differs says whether t says more than u of the same lifetime, beside that the target lives.
func (t *Target) differs(u *Target) bool {
	return t.Draining != u.Draining || t.Registered > u.Registered || t.Address != u.Address || t.Slots != u.Slots ||
		t.Service != u.Service || t.Zone != u.Zone
}

// Entry is an entry VM as it registered itself.
type Entry struct {
	Name   string
	Zone   string
	Region string
	// Front is where callers connect, Peers where other entry VMs do.
	Front netip.AddrPort
	Peers netip.AddrPort
	// Born is the Unix millisecond of the process's start.
	Born int64
	// BornUp is the milliseconds from the machine's start to the process's; 0 is not known.
	BornUp int64 `json:",omitempty"`
	// LinkMbps is the bandwidth of its link; 0 is not known.
	LinkMbps float64 `json:",omitempty"`
	Revision Revision
}

// RanAtLeast returns the least time between the starts of two lifetimes of an entry VM's process.
//
// Load: the time of day jumps between two starts. Harm prevented: a process that started a moment ago takes itself for
// one that ran for long, and has what only such a one may have. Within one lifetime of the machine the time since its
// start tells; it tells too little, and nothing wrong, where the machine started anew and was up for longer than before.
func (e Entry) RanAtLeast(former Entry) time.Duration {
	if former.BornUp > 0 && e.BornUp >= former.BornUp {
		return time.Duration(e.BornUp-former.BornUp) * time.Millisecond
	}
	return time.Duration(e.Born-former.Born) * time.Millisecond
}
