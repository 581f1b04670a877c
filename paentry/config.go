package paentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/jonboulle/clockwork"

	"papayahead/paevent"
	"papayahead/pamember"
	"papayahead/paplatform"
	"papayahead/pasetting"
)

// Network opens listeners and connections; tests replace it by a network in memory.
type Network interface {
	// Listen opens a TCP listener.
	Listen(ctx context.Context, a netip.AddrPort) (net.Listener, error)
	// Dial opens a TCP connection.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Config holds the settings of a Daemon and the services that it uses.
type Config struct {
	Settings pasetting.Entry
	// Version is reported in events.
	Version string
	// Incarnation distinguishes this process from earlier ones of the same name: milliseconds since 1970.
	Incarnation pamember.Incarnation
	Clock       clockwork.Clock
	// Random must not be used by others: the Daemon does not lock it.
	Random   *rand.Rand
	Store    paplatform.Store
	VMList   paplatform.VMList
	Network  Network
	Recorder *paevent.Recorder
	// OnReceived is called when what the system may hold of unread connections has changed by much, with the bytes; it may be nil.
	OnReceived func(bytes int64)
}

// TCP is the Network of the operating system.
type TCP struct {
	// LocalAddr is the local address of outgoing connections; the zero value lets the system choose.
	LocalAddr netip.Addr

	listen net.ListenConfig
}

// Listen implements Network.
func (t *TCP) Listen(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	return t.listen.Listen(ctx, "tcp", a.String())
}

// Dial implements Network.
func (t *TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	if t.LocalAddr.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(t.LocalAddr, 0))
	}
	return d.DialContext(ctx, network, address)
}
