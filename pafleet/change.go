package pafleet

import (
	"net/netip"
	"time"

	"papayahead/paroute"
)

// Revision is a revision of the platform's store. Revisions order all writes to it; 0 means unknown.
type Revision uint64

// Change is one write to the platform's store.
type Change interface {
	// revision returns the store revision of the write, or 0 if it is unknown.
	revision() Revision
}

// ConfigUpdated carries a new version of the configuration.
type ConfigUpdated struct {
	Revision Revision
	Config   *paroute.Config
}

// TargetUpdated carries a target's registration or heartbeat.
type TargetUpdated struct{ Target Target }

// TargetRemoved reports that the key of a target was removed from the store.
type TargetRemoved struct {
	ID       string
	Revision Revision
}

// ZoneEvacuated is an operator's request to send no more traffic to the targets of a zone.
type ZoneEvacuated struct {
	Zone     string
	Revision Revision
}

// ZoneRestored cancels the evacuation of a zone.
type ZoneRestored struct {
	Zone     string
	Revision Revision
}

// EntryUpdated carries the registration of an entry VM.
type EntryUpdated struct{ Entry Entry }

// EntryRemoved reports that the registration of an entry VM was removed from the store.
type EntryRemoved struct {
	Name     string
	Revision Revision
}

// LimiterUpdated names the limiter: the entry VM that holds the token pools of the rate limits. An empty Name means that
// there is none.
type LimiterUpdated struct {
	Name     string
	Revision Revision
}

// WarmNote records that a target handled an object recently, and therefore serves it faster.
type WarmNote struct {
	Target, Object string
	// Age is the time since then.
	Age time.Duration
}

// WarmSnapshot is the set of warm objects that an entry VM last saved in the store.
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

// Target is the state of a target as it registered itself, within one lifetime of its process.
type Target struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Draining is set when the target is shutting down and accepts no new requests.
	Draining bool
	// ColdLeft is the remaining warm-up time when the update arrives.
	ColdLeft time.Duration
	// Born is the start time of the target's process in Unix milliseconds; a later value is a new lifetime.
	Born int64
	// Sequence numbers the target's updates within one lifetime.
	Sequence int64
	Revision Revision
	// Registered is the revision at which the target's key was created in the store, after any previous removal; 0 if
	// unknown.
	Registered Revision `json:",omitempty"`
}

// Newer reports whether t is a later update of the same target than u.
func (t *Target) Newer(u *Target) bool {
	if t.Born != u.Born {
		return t.Born > u.Born
	}
	return t.Sequence > u.Sequence
}

// differs reports whether t is more than a heartbeat after u, an earlier update of the same lifetime.
func (t *Target) differs(u *Target) bool {
	return t.Draining != u.Draining || t.Registered > u.Registered || t.Address != u.Address || t.Slots != u.Slots ||
		t.Service != u.Service || t.Zone != u.Zone
}

// Entry is the registration of an entry VM.
type Entry struct {
	Name   string
	Zone   string
	Region string
	// Front is the address for callers, Peers the one for other entry VMs.
	Front netip.AddrPort
	Peers netip.AddrPort
	// Born is the start time of the process in Unix milliseconds.
	Born int64
	// BornUp is the uptime of the VM at the start of the process, in milliseconds; 0 if unknown.
	BornUp int64 `json:",omitempty"`
	// LinkMbps is the bandwidth of the network link in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:",omitempty"`
	Revision Revision
}

// MinStartInterval returns a lower bound of the time between the starts of two lifetimes of an entry VM's process.
//
// It compares VM uptimes where it can, since the wall clock may jump between the starts: a process that restarted a moment
// ago would then conclude that its previous lifetime began long before, and claim tokens that only a long-lived process may
// have. If the VM rebooted in between and its uptime is higher than at the previous start, the difference of the uptimes is
// too small, which is safe.
func (e Entry) MinStartInterval(previous Entry) time.Duration {
	if previous.BornUp > 0 && e.BornUp >= previous.BornUp {
		return time.Duration(e.BornUp-previous.BornUp) * time.Millisecond
	}
	return time.Duration(e.Born-previous.Born) * time.Millisecond
}
