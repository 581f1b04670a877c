package pamember

import (
	"net/netip"

	"papayahead/pabundle"
)

// Incarnation numbers the lives and refutations of a name: milliseconds since 1970 at the process's start,
// raised by one whenever the member has to contradict what others say of it.
type Incarnation uint64

// MaxIncarnation bounds what is believed from a peer, so that no message can use up the numbers.
const MaxIncarnation Incarnation = 1 << 62

// State is what is known of a member.
type State uint8

// The states; of two records with one incarnation the higher state wins.
const (
	// Alive members take part in everything.
	Alive State = iota
	// Suspected members did not answer probes; they keep their targets until they are Dead.
	Suspected
	// Leaving members finish what they run and take no new work.
	Leaving
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members said good-bye; the state is final for their incarnation.
	Left
	// Unreachable is a verdict of the local view only: no sign of the member's zone for a while.
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

// Identity is who and where an entry VM is.
type Identity struct {
	Name        pabundle.EntryName
	Zone        pabundle.ZoneName
	Region      pabundle.RegionName
	Incarnation Incarnation
	// CallerAddress is where callers' requests go, PeerAddress where other daemons' messages go.
	CallerAddress, PeerAddress netip.AddrPort
}

// Record is what daemons tell each other of one member.
type Record struct {
	Identity
	State State
	// Accuser is who suspects, in a Suspected record.
	Accuser pabundle.EntryName
}

// Supersedes reports whether r is newer knowledge than o of the same name.
func (r Record) Supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.State > o.State
}

// MaxServices bounds the services that Facts speak of.
const MaxServices = 32

// LoadReport are the small changing numbers of a member; they travel within its region and the newest Stamp wins.
type LoadReport struct {
	// Stamp orders a member's facts, also over its restarts: it begins at the incarnation. 0 stands for no facts.
	Stamp uint64
	// Sequence is the roll-out that the member has in force.
	Sequence pabundle.Sequence
	// Headroom is how much more the entry VM itself can take, 0 (nothing) to 255 (idle).
	Headroom uint8
	// Free is the number of free slots, by the order of the services in the bundle of Sequence; 255 means that or more.
	Free []uint8
	// Slots is the number of usable slots and Waiting that of queued requests, in the same order; 255 means that or more.
	Slots, Waiting []uint8
}

// Newer reports whether f is later than o.
func (f LoadReport) Newer(o LoadReport) bool { return f.Stamp > o.Stamp }

// MemberLoadReport are the facts of one member.
type MemberLoadReport struct {
	Name   pabundle.EntryName
	Report LoadReport
}

// ConfigVersion is the configuration that a daemon has in force, for others to notice that theirs is older.
type ConfigVersion struct {
	Sequence pabundle.Sequence
	Digest   pabundle.Digest
}

// Seed is an entry VM from the platform's VM list, which lags: it may be gone, and new ones may be missing.
type Seed struct {
	Name        pabundle.EntryName
	Zone        pabundle.ZoneName
	Region      pabundle.RegionName
	PeerAddress netip.AddrPort
}
