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
	// revision returns the revision of the write; 0 is not known.
	revision() Revision
}

// ConfigUpdated is a new version of the configuration.
type ConfigUpdated struct {
	Revision Revision
	Config   *paroute.Config
}

// TargetUpdated is what a target says of itself.
type TargetUpdated struct{ Target Target }

// TargetRemoved is the removal of a target's entry.
type TargetRemoved struct {
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

// EntryUpdated is what an entry VM says of itself.
type EntryUpdated struct{ Entry Entry }

// EntryRemoved is the removal of an entry VM's registration.
type EntryRemoved struct {
	Name     string
	Revision Revision
}

// LimiterUpdated says which entry VM keeps the pools of rate limits; an empty Name says that none does.
type LimiterUpdated struct {
	Name     string
	Revision Revision
}

// WarmNote says that a target handled an object lately.
type WarmNote struct {
	Target, Object string
	// Age is how long ago that was.
	Age time.Duration
}

// WarmSnapshot is what was warm when an entry VM last kept it in the store.
type WarmSnapshot struct{ Notes []WarmNote }

func (c LimiterUpdated) revision() Revision { return c.Revision }
func (WarmSnapshot) revision() Revision     { return 0 }
func (c ConfigUpdated) revision() Revision  { return c.Revision }
func (c TargetUpdated) revision() Revision  { return c.Target.Revision }
func (c TargetRemoved) revision() Revision  { return c.Revision }
func (c ZoneEvacuated) revision() Revision  { return c.Revision }
func (c ZoneRestored) revision() Revision   { return c.Revision }
func (c EntryUpdated) revision() Revision   { return c.Entry.Revision }
func (c EntryRemoved) revision() Revision   { return c.Revision }

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

// MinStartInterval returns the least time between the starts of two lifetimes of an entry VM's process.
//
// Load: the time of day jumps between two starts. Harm prevented: a process that started a moment ago takes itself for
// one that ran for long, and has what only such a one may have. Within one lifetime of the machine the time since its
// start tells; it tells too little, and nothing wrong, where the machine started anew and was up for longer than before.
func (e Entry) MinStartInterval(former Entry) time.Duration {
	if former.BornUp > 0 && e.BornUp >= former.BornUp {
		return time.Duration(e.BornUp-former.BornUp) * time.Millisecond
	}
	return time.Duration(e.Born-former.Born) * time.Millisecond
}
