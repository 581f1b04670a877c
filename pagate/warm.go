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
	// warmPace is how often what is warm is kept in the store. An object moves to another target a few times an
	// hour on ordinary days; what moved in the last seconds before all entry VMs lose power is run cold once more.
	warmPace = 5 * time.Second
	// warmMost is how many objects are kept, those that moved before others: packed, some 8 KB a second.
	warmMost = 4096
)

// keepWarm keeps in the store which target is warm for which object, if this entry VM is the first that reads it.
//
// Load: all entry VMs lose power at once and come back under full load. Harm prevented: nobody knows which objects
// had moved from the first target of their ranking, and each of them runs cold once more while callers who
// were cut off ask again.
func (g *Gate) keepWarm(ctx context.Context) {
	var kept uint64
	for g.sleep(ctx, warmPace) {
		if g.leaving.Load() || g.readers(g.state.Load())[0].Name != g.self.Name {
			continue
		}
		g.steering.Lock()
		notes, last := g.steer.WarmObjects(warmMost, g.config.Clock.Now())
		g.steering.Unlock()
		if last == kept {
			continue
		}
		err := g.storeCall(ctx, "KeepWarm", func(ctx context.Context) error { return g.config.Registry.SaveWarmNotes(ctx, notes) })
		switch {
		case err == nil:
			kept = last
		case ctx.Err() == nil && paplatform.FaultOf(err) != paplatform.Conflict:
			g.record(paevent.StoreUnreachable{Reason: err.Error()})
		}
	}
}

// takeWarm hands what the store kept to the steering, once the targets are known.
func (g *Gate) takeWarm(all []pafleet.Change, now time.Time) {
	for _, c := range all {
		if k, ok := c.(pafleet.WarmSnapshot); ok {
			g.steering.Lock()
			g.steer.ApplyStoredNotes(k.Notes, now)
			g.steering.Unlock()
		}
	}
}

const (
	// noteRate is how many notes of warm objects an entry VM tells a second, to all neighbours together: each takes
	// some 30 bytes, and control may take 10 KB a second. Where more become known, neighbours hear of them later.
	noteRate = 200
	// noteBurst is how many may be told at once, as after a start.
	noteBurst = 2048
)

func (p *peers) hearWarm(all []*pawire.WarmNote) {
	if len(all) == 0 {
		return
	}
	notes := make([]pafleet.WarmNote, 0, len(all))
	for _, n := range all {
		age := time.Duration(n.GetAgeMilliseconds()) * time.Millisecond
		notes = append(notes, pafleet.WarmNote{Target: n.GetTarget(), Object: n.GetObject(), Age: age})
	}
	p.gate.steering.Lock()
	defer p.gate.steering.Unlock()
	p.gate.steer.ApplyNotes(notes, p.gate.config.Clock.Now())
}

// warmAfter returns the notes after one that the neighbour has, as far as the budget lasts.
func (p *peers) warmAfter(after uint64) (out []*pawire.WarmNote, last uint64) {
	now := p.gate.config.Clock.Now()
	most := p.notes.available(now)
	p.gate.steering.Lock()
	all, last := p.gate.steer.WarmNotes(after, most, now)
	p.gate.steering.Unlock()
	p.notes.spend(len(all))
	for _, n := range all {
		out = append(out, &pawire.WarmNote{Target: n.Target, Object: n.Object, AgeMilliseconds: uint32(n.Age.Milliseconds())})
	}
	return out, last
}
