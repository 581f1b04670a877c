package paplatform

import (
	"context"
	"net/netip"
)

// VMKind is the kind of process that runs on a VM.
type VMKind string

// The kinds of VM.
const (
	// Entry is a VM that runs the papayahead daemon.
	Entry VMKind = "Entry"
	// Target is a VM that runs a service.
	Target VMKind = "Target"
)

// String returns the name of the kind.
func (k VMKind) String() string { return string(k) }

// VMState tells whether the platform is about to remove a VM.
type VMState string

// The states of a VM. A removed VM isn't listed.
const (
	// Live is the state of a VM that is not about to be removed.
	Live VMState = "Live"
	// Leaving is the state of a VM that is about to be removed and must not get new requests.
	Leaving VMState = "Leaving"
)

// String returns the name of the state.
func (s VMState) String() string { return string(s) }

// VM is a VM in the platform's list.
type VM struct {
	Name  string
	Kind  VMKind
	Zone  string
	State VMState
	// CallerAddress is the address of an entry VM for clients' requests.
	CallerAddress netip.AddrPort
	// PeerAddress is the address of an entry VM for calls from other entry VMs.
	PeerAddress netip.AddrPort
	// ServiceAddress is the address of a target VM for requests.
	ServiceAddress netip.AddrPort
}

// VMList is the platform's list of live and leaving VMs. It lags: a VM may still be listed after it has failed,
// and be missing after it has started.
type VMList interface {
	// List returns all VMs, sorted by name. It fails with Unavailable.
	List(ctx context.Context) ([]VM, error)
}
