package panetwork

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// Cut stops all bytes from one host to another; the other direction goes on.
func (n *Network) Cut(from, to netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = map[direction]bool{}
	}
	n.cuts[direction{from, to}] = true
}

// Heal ends a cut; the bytes that waited arrive.
func (n *Network) Heal(from, to netip.Addr) {
	n.mu.Lock()
	delete(n.cuts, direction{from, to})
	n.mu.Unlock()
	n.wakeAll()
}

// HealAll ends all cuts.
func (n *Network) HealAll() {
	n.mu.Lock()
	clear(n.cuts)
	n.mu.Unlock()
	n.wakeAll()
}

// Silence stops all bytes, for good, on the connections that now stand between two hosts; new ones
// work. It returns how many there were.
func (n *Network) Silence(a, b netip.Addr) int {
	silenced := 0
	for _, c := range n.all() {
		if c.between(a, b) {
			c.in.silence()
			c.out.silence()
			silenced++
		}
	}
	return silenced / 2
}

// Reset breaks all connections of a host off, as when its process is killed.
func (n *Network) Reset(a netip.Addr) {
	for _, c := range n.all() {
		if c.local.Addr() == a || c.remote.Addr() == a {
			c.in.fail(errReset)
			c.out.fail(errReset)
		}
	}
}

func (n *Network) isCut(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[direction{from, to}]
}

func (n *Network) all() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		all = append(all, c)
	}
	return all
}

func (n *Network) wakeAll() {
	for _, c := range n.all() {
		c.in.wake()
	}
}

// pathPoll is how often a dial across a cut looks whether it has healed.
const pathPoll = 5 * time.Millisecond

// awaitPath waits until both directions between two hosts are whole, as a TCP handshake does.
func (n *Network) awaitPath(ctx context.Context, a, b netip.Addr) error {
	for n.isCut(a, b) || n.isCut(b, a) {
		select {
		case <-time.After(pathPoll):
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "connection to %s timed out", b)
		}
	}
	return nil
}
