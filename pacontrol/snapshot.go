package pacontrol

import (
	"time"

	"papayahead/pabundle"
	"papayahead/palookup"
	"papayahead/pamember"
	"papayahead/paspread"
)

// Snapshot is the immutable part of the control state that the request path reads.
type Snapshot struct {
	Head pabundle.Head
	// Bundle is nil until the first was accepted.
	Bundle   *pabundle.Bundle
	View     *pamember.View
	Services map[pabundle.ServiceName]*pabundle.Service
	// Plan answers look-ups, Blocks maps a caller's address to its region.
	Plan   *palookup.Plan
	Blocks *palookup.Table
	// Watches says that this daemon is one of those that watch the store for their zone.
	Watches bool
	// Stopping says that a graceful shutdown has begun.
	Stopping bool
	// Members is the number of agreed entry VMs of the region; 0 if there is no agreement.
	Members int
	// Owned is the number of targets that this entry VM owns.
	Owned int
	// Loads is the load of each service at this entry VM, when the snapshot was made: at most
	// planInterval ago. It is for metrics; no decision reads it.
	Loads map[pabundle.ServiceName]ServiceLoad
	// RoomUse is the highest utilization of the entry VM's own limits, 1 at the limit.
	RoomUse float64
}

// ServiceLoad is the load of one service at one entry VM.
type ServiceLoad struct {
	// Slots, Free and InFlight count the own targets' slots, those that a request could take now, and
	// the requests that run there. Waiting requests wait for a slot.
	Slots, Free, InFlight, Waiting int
	// Granted are the credits given to other regions and not spent; Remote is their work that runs here.
	Granted, Remote int
	// Credits are those held for each other region.
	Credits map[pabundle.RegionName]int
	// Shares is where the own region's requests go; Refused is the part that may go nowhere yet.
	Shares  []pabundle.Share
	Refused float64
	// Arrivals is the smoothed number of requests a second of the own region's callers.
	Arrivals float64
}

func (k *Control) snapshot(now time.Time) *Snapshot {
	s := &Snapshot{
		Head: k.head, Bundle: k.bundle, View: k.view, Stopping: k.stopping, Members: k.members, Owned: len(k.owned),
		Plan: k.plan, Blocks: k.clientBlocks, Watches: paspread.IsWatcher(k.view),
		Services: map[pabundle.ServiceName]*pabundle.Service{},
	}
	if k.bundle != nil {
		for i := range k.bundle.Services {
			s.Services[k.bundle.Services[i].Name] = &k.bundle.Services[i]
		}
		s.Loads, s.RoomUse = k.serviceLoads(now), k.room.Usage(now).Max
	}
	return s
}

func (k *Control) serviceLoads(now time.Time) map[pabundle.ServiceName]ServiceLoad {
	all := make(map[pabundle.ServiceName]ServiceLoad, len(k.bundle.Services))
	for i := range k.bundle.Services {
		n := k.bundle.Services[i].Name
		l := ServiceLoad{
			Slots: k.owner.Slots(now, n), Free: k.owner.FreeSlots(now, n),
			InFlight: k.owner.InFlight(n), Waiting: k.owner.Waiting(n),
			Granted: k.granter.Outstanding(n), Remote: k.granter.Running(n),
			Credits: k.creditsHeld(now, n),
		}
		if r := k.rates[n]; r != nil {
			l.Arrivals = r.perSecond
		}
		if k.table != nil {
			l.Refused = k.table.Refused(n, k.config.Self.Region)
			l.Shares = k.ownShares(n)
		}
		all[n] = l
	}
	return all
}

// ownShares is where the own region's requests for a service go.
func (k *Control) ownShares(n pabundle.ServiceName) []pabundle.Share {
	var own []pabundle.Share
	for _, x := range k.table.ShareState(n).Shares {
		if x.From == k.config.Self.Region {
			own = append(own, x)
		}
	}
	return own
}

// creditsHeld counts the credits that can be spent in each other region.
func (k *Control) creditsHeld(now time.Time, n pabundle.ServiceName) map[pabundle.RegionName]int {
	held := map[pabundle.RegionName]int{}
	for _, m := range k.view.Members {
		if m.Region == k.config.Self.Region {
			continue
		}
		if h := k.holder.Held(now, m.Name, n); h > 0 {
			held[m.Region] += h
		}
	}
	return held
}

// Piece returns a piece of the bundles that this daemon has, to serve peers.
func (k *Control) Piece(d pabundle.Digest) ([]byte, bool) { return k.spread.Piece(d) }

// Head returns the head in force.
func (k *Control) Head() pabundle.Head { return k.spread.Head() }

// InFlight returns how many requests are offered and not over.
func (k *Control) InFlight() int { return len(k.admitted) }
