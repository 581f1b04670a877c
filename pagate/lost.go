package pagate

import (
	"maps"
	"slices"
	"time"

	"papayahead/paconn"
	"papayahead/paevent"
	"papayahead/pasteer"
	"papayahead/pawire"
)

// lostServices are the services of which this entry VM fails to connect to some targets.
type lostServices map[string]pasteer.LostPath

// publishLost makes the lost services known to neighbours and look-ups, and logs changes.
func (g *Gate) publishLost(lost lostServices, now time.Time) {
	old := g.lost()
	g.lostPaths.Store(&lost)
	for name, l := range lost {
		if !l.Relays || old[name].Relays {
			continue
		}
		g.lostSince[name] = now
		reached, age := g.reachedBy(name, l.Targets, now)
		how, _ := g.pathFailures.Load(name)
		e := paevent.TargetsLost{Service: name, Targets: l.Targets, ReachedBy: reached, SaidMilliseconds: age.Milliseconds()}
		e.Failure, _ = how.(string)
		g.record(e)
	}
	for name, l := range old {
		if l.Relays && !lost[name].Relays {
			since := g.lostSince[name]
			delete(g.lostSince, name)
			g.record(paevent.TargetsFound{Service: name, Lost: lost[name].Targets, Milliseconds: now.Sub(since).Milliseconds()})
		}
	}
}

// notePathFailure keeps how the latest connection to a target of a service failed, for the log.
func (g *Gate) notePathFailure(service string, f paconn.Failure) {
	g.pathFailures.Store(service, string(f))
}

// maxLoggedPeers is how many entry VMs a log line on lost targets names.
const maxLoggedPeers = 8

// reachedBy returns the names of entry VMs that reach more of a service's targets, of those in contact, and how long ago the
// earliest of them said so.
func (g *Gate) reachedBy(service string, lost int, now time.Time) (names []string, age time.Duration) {
	for _, p := range g.relayPeers() {
		if 2*p.Lost[service].Targets >= lost || len(names) == maxLoggedPeers || !g.peers.recentlyContacted(p.Name) {
			continue
		}
		names = append(names, p.Name)
		age = max(age, g.peers.contactAge(p.Name, now))
	}
	return names, age
}

// contactAge returns how long ago an entry VM was last in contact.
func (p *peers) contactAge(name string, now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Sub(p.known[name].contactAt)
}

// lost returns the lost services as last published.
func (g *Gate) lost() lostServices {
	if p := g.lostPaths.Load(); p != nil {
		return *p
	}
	return nil
}

// lostPathsOut returns the lost services for a message to a neighbour.
func (g *Gate) lostPathsOut() []*pawire.LostPath {
	lost := g.lost()
	var all []*pawire.LostPath
	for _, name := range slices.Sorted(maps.Keys(lost)) {
		all = append(all, &pawire.LostPath{Service: name, Targets: uint32(lost[name].Targets), Relays: lost[name].Relays})
	}
	return all
}

// lostPathsIn returns the lost services that a neighbour's message names.
func lostPathsIn(all []*pawire.LostPath) lostServices {
	if len(all) == 0 {
		return nil
	}
	lost := lostServices{}
	for _, l := range all {
		lost[l.GetService()] = pasteer.LostPath{Targets: int(l.GetTargets()), Relays: l.GetRelays()}
	}
	return lost
}

// lostServices returns the services whose targets an entry VM said lately that it fails to reach.
func (p *peers) lostServices(name string) lostServices {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if k := p.known[name]; k != nil && p.gate.config.Clock.Now().Sub(k.contactAt) < contactWindow {
		return k.lost
	}
	return nil
}
