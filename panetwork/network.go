package panetwork

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Network connects hosts. The zero value is ready; it may be used from many goroutines.
type Network struct {
	// Arrival returns when bytes arrive that are sent now; nil and the zero time mean at once. It must not decrease
	// for the same hosts. It may be called from many goroutines.
	Arrival func(from, to netip.Addr, bytes int) time.Time

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	cuts      map[direction]bool
	conns     map[*conn]bool
	nextPort  uint16
}

// direction is one way between two hosts.
type direction struct{ from, to netip.Addr }

// Host is one machine on the network.
type Host struct {
	Network *Network
	Address netip.Addr
}

// firstPort is the first port that dialling ends get.
const firstPort = 32768

// Listen opens a listener; it fails if the address is taken.
func (h *Host) Listen(_ context.Context, a netip.AddrPort) (net.Listener, error) {
	n := h.Network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]*listener{}
	}
	if _, taken := n.listeners[a]; taken {
		return nil, trace.AlreadyExists("address %s is in use", a)
	}
	l := &listener{network: n, address: a, accepts: make(chan *conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[a] = l
	return l, nil
}

// acceptBacklog is how many connections wait to be accepted; more are refused.
const acceptBacklog = 128

// Dial opens a connection. Across a cut it waits until the cut heals or the context ends; with
// nobody listening it fails at once.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.BadParameter("address %q: want IP:PORT", address)
	}
	if err := h.Network.awaitPath(ctx, h.Address, to.Addr()); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := h.Network.shakeHands(ctx, h.Address, to.Addr()); err != nil {
		return nil, trace.Wrap(err)
	}
	return h.Network.connect(h.Address, to)
}

// shakeHands waits for a round trip between two hosts.
func (n *Network) shakeHands(ctx context.Context, a, b netip.Addr) error {
	for _, d := range []direction{{a, b}, {b, a}} {
		t := n.arrival(d.from, d.to, 0)
		if t.IsZero() {
			continue
		}
		select {
		case <-time.After(time.Until(t)):
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "connection to %s timed out", b)
		}
	}
	return nil
}

// arrival returns when bytes arrive that are sent now, or the zero time for at once.
func (n *Network) arrival(from, to netip.Addr, bytes int) time.Time {
	if n.Arrival == nil {
		return time.Time{}
	}
	return n.Arrival(from, to, bytes)
}

func (n *Network) connect(from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to]
	if l == nil {
		return nil, trace.ConnectionProblem(nil, "connection to %s refused", to)
	}
	n.nextPort++
	local := netip.AddrPortFrom(from, firstPort+n.nextPort%(1<<15))
	near, far := newPair(n, local, to)
	select {
	case l.accepts <- far:
	default:
		return nil, trace.ConnectionProblem(nil, "connection to %s refused: backlog full", to)
	}
	if n.conns == nil {
		n.conns = map[*conn]bool{}
	}
	n.conns[near], n.conns[far] = true, true
	return near, nil
}

// forget drops a closed connection.
func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type listener struct {
	network *Network
	address netip.AddrPort
	accepts chan *conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
