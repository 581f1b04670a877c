package pamember

import (
	"net/netip"

	"papayahead/pabundle"
)

// Incarnation numbers the lifetimes and refutations of a member: Unix milliseconds at the process's start, incremented
// whenever the member refutes what others claim of it.
type Incarnation uint64

// MaxIncarnation bounds what is accepted from a peer, so that no message can exhaust the numbers.
const MaxIncarnation Incarnation = 1 << 62

// State is the state of a member.
type State uint8

// The states; of two records with the same incarnation the higher state wins.
const (
	// Alive members own targets and take new requests.
	Alive State = iota
	// Suspected members did not answer probes; they keep their targets until they are Dead.
	Suspected
	// Leaving members finish their running requests and take no new ones.
	Leaving
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members stopped as planned; the state is final for their incarnation.
	Left
	// Unreachable is a state of the local view only: the heartbeat of the member's zone is stale, or this daemon could
	// not decide on a suspicion.
	Unreachable
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "Alive"
	case Suspected:
		return "Suspected"
	case Leaving:
		return "Leaving"
	case Dead:
		return "Dead"
	case Left:
		return "Left"
	default:
		return "Unreachable"
	}
}

// Gone reports whether the state ends an incarnation.
func (s State) Gone() bool { return s == Dead || s == Left }

// Identity names an entry VM, its location and its addresses.
type Identity struct {
	Name        pabundle.EntryName
	Zone        pabundle.ZoneName
	Region      pabundle.RegionName
	Incarnation Incarnation
	// CallerAddress accepts callers' requests, PeerAddress other daemons' messages.
	CallerAddress, PeerAddress netip.AddrPort
}

// Record is the replicated state of one member.
type Record struct {
	Identity
	State State
	// Accuser is the member that suspects this one, in a Suspected record.
	Accuser pabundle.EntryName
}

// Supersedes reports whether r is newer than o, a record of the same member.
func (r Record) Supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.State > o.State
}

// MaxServices bounds the number of services in a LoadReport.
const MaxServices = 32

// LoadReport is the load of a member. It is gossiped within its region, and the highest Stamp wins.
type LoadReport struct {
	// Stamp orders a member's reports, also across restarts: it starts at the incarnation. 0 means that there is no
	// report.
	Stamp uint64
	// Sequence is the sequence of the configuration that the member has in force.
	Sequence pabundle.Sequence
	// Headroom is how much more load the entry VM itself can take, 0 (none) to 255 (idle).
	Headroom uint8
	// Free is the number of free slots, by the order of the services in the bundle of Sequence; 255 means that or more.
	Free []uint8
	// Slots is the number of usable slots and Waiting that of queued requests, in the same order; 255 means that or more.
	Slots, Waiting []uint8
}

// Newer reports whether f is later than o.
func (f LoadReport) Newer(o LoadReport) bool { return f.Stamp > o.Stamp }

// MemberLoadReport is the load report of one member.
type MemberLoadReport struct {
	Name   pabundle.EntryName
	Report LoadReport
}

// ConfigVersion identifies the configuration that a daemon has in force; peers compare it to notice that theirs is
// older.
type ConfigVersion struct {
	Sequence pabundle.Sequence
	Digest   pabundle.Digest
}

// Seed is an entry VM from the platform's VM list. The list lags: the VM may be gone, and new ones may be missing.
type Seed struct {
	Name        pabundle.EntryName
	Zone        pabundle.ZoneName
	Region      pabundle.RegionName
	PeerAddress netip.AddrPort
}
