package pasteer

import (
	"net/netip"
	"slices"
	"time"
)

// Probe is a target to which a connection is to be opened, to learn whether the path to it works.
type Probe struct {
	Target  string
	Service string
	Address netip.AddrPort
	Born    int64
}

const (
	// maxProbes is how many connections are tried at once per service.
	maxProbes = 4
	// suspicionProbes is how many further targets are tried when one is lost, and each suspicionTime while requests are
	// relayed; suspicionAge is how long ago the last response of such a target is at least.
	suspicionProbes = 2
	suspicionTime   = time.Second
	suspicionAge    = 500 * time.Millisecond
)

// Probes returns the connections to try now: to lost targets whose turn it is, to targets that answer nothing, once, and to
// few others after one is lost or while requests are relayed. It answers the load of a path that fails, and of one that works again, without spending
// requests of callers on it: a request on a connection that lost its path waits for seconds, and may have run.
func (b *Balancer) Probes(now time.Time) []Probe {
	var all []Probe
	relaying := slices.ContainsFunc(b.allServices(), func(s *service) bool { return s.relays })
	for _, svc := range b.services {
		all = append(all, b.probesOf(svc, relaying, now)...)
	}
	return all
}

// allServices returns the services in no order.
func (b *Balancer) allServices() []*service {
	all := make([]*service, 0, len(b.services))
	for _, svc := range b.services {
		all = append(all, svc)
	}
	return all
}

// probesOf returns the probes of one service. relaying says that some service's requests go through other entry VMs.
func (b *Balancer) probesOf(svc *service, relaying bool, now time.Time) []Probe {
	var due, suspects []*target
	lost := time.Time{}
	for i := range svc.targets {
		t := svc.targets[(svc.probeNext+i)%len(svc.targets)]
		if t.excluded {
			continue
		}
		isLost := !t.path.lostSince.IsZero() || t.viaRelay
		lost = later(lost, t.path.lostSince)
		switch ready := !now.Before(t.path.probeAt); {
		case ready && (isLost || t.unresponsive(now) && t.path.reachedAt.Before(t.unresponsiveAt)):
			due = append(due, t)
		case ready && t.used && now.Sub(t.path.reachedAt) > suspicionAge:
			suspects = append(suspects, t)
		}
	}
	due = due[:min(len(due), maxProbes)]
	if lost.After(svc.suspectedAt) || relaying && now.Sub(svc.suspectedAt) > suspicionTime {
		// Once for each target that is lost: on links that lose packets, probes would fail and lead to further ones.
		svc.suspectedAt = now
		due = append(due, suspects[:min(len(suspects), suspicionProbes)]...)
	}
	svc.probeNext += len(due)
	var all []Probe
	for _, t := range due {
		t.path.probeAt = now.Add(probeInterval)
		all = append(all, Probe{Target: t.state.ID, Service: svc.name, Address: t.state.Address, Born: t.state.Born})
	}
	return all
}

// ProbeDone records whether a connection could be opened, and reports whether the path to the target failed: open connections
// have lost it too. After one that could, the other lost targets are tried at once.
func (b *Balancer) ProbeDone(p Probe, connected bool, now time.Time) (pathFailed bool) {
	t := b.targets[p.Target]
	if t == nil || t.state.Born != p.Born {
		return false
	}
	if !connected {
		t.rememberMarks(now)
		b.pathFailed(t, now)
		return t.viaRelay
	}
	wasLost := t.viaRelay || !t.path.lostSince.IsZero()
	b.pathRestored(t, now)
	if !wasLost {
		return false
	}
	for _, o := range b.targets {
		if o.viaRelay || !o.path.lostSince.IsZero() {
			o.path.probeAt = now
		}
	}
	return false
}
