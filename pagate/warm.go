package pagate

import (
	"context"
	"time"

	"papayahead/paevent"
	"papayahead/pafleet"
	"papayahead/paplatform"
	"papayahead/pawire"
)

const (
	// warmSaveInterval is how often warm notes are saved in the store. An object moves to another target a few
	// times an hour on an ordinary day; one that moved in the last seconds before all entry VMs lose power runs
	// cold once more.
	warmSaveInterval = 5 * time.Second
	// maxSavedNotes is how many objects are saved, those that moved from the first target of their ranking before
	// others; the compressed notes take about 8 KB a second.
	maxSavedNotes = 4096
)

// saveWarmNotes saves in the store which target is warm for which object, if this entry VM is the first store reader.
//
// If all entry VMs lose power at once and restart under full load, nobody would know which objects had moved from the
// first target of their ranking. Each of these would run cold once more, while disconnected clients repeat their
// requests.
func (g *Gate) saveWarmNotes(ctx context.Context) {
	var saved uint64
	for g.sleep(ctx, warmSaveInterval) {
		if g.shuttingDown.Load() || g.storeReaders(g.state.Load())[0].Name != g.self.Name {
			continue
		}
		g.balancerMutex.Lock()
		notes, last := g.balancer.WarmObjects(maxSavedNotes, g.config.Clock.Now())
		g.balancerMutex.Unlock()
		if last == saved {
			continue
		}
		err := g.storeCall(ctx, "KeepWarm", func(ctx context.Context) error { return g.config.Registry.SaveWarmNotes(ctx, notes) })
		switch {
		case err == nil:
			saved = last
		case ctx.Err() == nil && paplatform.FaultOf(err) != paplatform.Conflict:
			g.record(paevent.StoreUnreachable{Reason: err.Error()})
		}
	}
}

// restoreWarmNotes hands the saved notes to the balancer. The targets must be known by then.
func (g *Gate) restoreWarmNotes(all []pafleet.Change, now time.Time) {
	for _, c := range all {
		if k, ok := c.(pafleet.WarmSnapshot); ok {
			g.balancerMutex.Lock()
			g.balancer.ApplyStoredNotes(k.Notes, now)
			g.balancerMutex.Unlock()
		}
	}
}

const (
	// notesPerSecond bounds the warm notes that an entry VM sends per second to all neighbours together: each
	// takes some 30 bytes, and control traffic may take 10 KB a second. Notes beyond that are sent later.
	notesPerSecond = 200
	// maxNoteBurst is how many notes may be sent at once, as after a start.
	maxNoteBurst = 2048
)

func (p *peers) receiveNotes(all []*pawire.WarmNote) {
	if len(all) == 0 {
		return
	}
	notes := make([]pafleet.WarmNote, 0, len(all))
	for _, n := range all {
		age := time.Duration(n.GetAgeMilliseconds()) * time.Millisecond
		notes = append(notes, pafleet.WarmNote{Target: n.GetTarget(), Object: n.GetObject(), Age: age})
	}
	p.gate.balancerMutex.Lock()
	defer p.gate.balancerMutex.Unlock()
	p.gate.balancer.ApplyNotes(notes, p.gate.config.Clock.Now())
}

// notesAfter returns the notes after one that the neighbour has, as far as noteBudget allows.
func (p *peers) notesAfter(after uint64) (out []*pawire.WarmNote, last uint64) {
	now := p.gate.config.Clock.Now()
	available := p.noteBudget.Available(now)
	p.gate.balancerMutex.Lock()
	all, last := p.gate.balancer.WarmNotes(after, available, now)
	p.gate.balancerMutex.Unlock()
	p.noteBudget.Spend(len(all))
	for _, n := range all {
		out = append(out, &pawire.WarmNote{Target: n.Target, Object: n.Object, AgeMilliseconds: uint32(n.Age.Milliseconds())})
	}
	return out, last
}
