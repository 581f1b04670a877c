package pasteer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayahead/paload"
)

// Many entry VMs send few requests each to a target of a contended service. Each would know the target's queue only for a moment after
// a response of its own, and send to a full target that it takes for free. So believed loads there decay in place of ending, rest on
// neighbours' notes as well, and count how slow work is at the target. At other services nothing of this file applies.

// updateLoads creates the service's model of loads once the service is contended.
func (b *Balancer) updateLoads(svc *service) {
	if svc.loads == nil && b.contended(svc) {
		svc.loads = &paload.Model{}
	}
}

// loadModel returns the model of the service's loads; nil unless the service is contended.
func (t *target) loadModel() *paload.Model {
	if t.service == nil {
		return nil
	}
	return t.service.loads
}

// addLoad makes the target known to notes on loads. Notes on two targets with the same key count for neither.
func (b *Balancer) addLoad(t *target, id string, born int64) {
	t.loadKey = loadKeyOf(id, born)
	if _, taken := b.loadKeys[t.loadKey]; taken {
		b.loadKeys[t.loadKey] = nil
		return
	}
	b.loadKeys[t.loadKey] = t
}

// removeLoad drops what was noted of a target that restarted or is gone.
func (b *Balancer) removeLoad(t *target) {
	if b.loadKeys[t.loadKey] == t {
		delete(b.loadKeys, t.loadKey)
	}
	b.loadLog.Remove(t.loadKey)
}

// loadKeyOf returns the key of a target's lifetime in notes, which is shorter than its ID.
func loadKeyOf(id string, born int64) uint32 {
	all := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), uint64(born))
	return uint32(xxhash.Sum64(append(all, id...)))
}

// observeLoad takes the load and slowness of a response, after otherLoad was set from it.
func (b *Balancer) observeLoad(t *target, r Report, now time.Time) {
	svc := t.service
	if svc == nil {
		return
	}
	if r.Slowness > 0 {
		svc.tellsSlowness = true
		b.updateLoads(svc)
	}
	if svc.loads == nil || !r.LoadKnown {
		return
	}
	if r.Outcome == Answered {
		// With more requests than slots, that much of the time is spent waiting.
		svc.loads.ObserveRun(time.Duration(float64(r.Duration) / max(1, float64(r.Running+r.Waiting)/t.slots())))
	}
	b.loadAccuracy.Add(&t.belief, svc.loads, t.otherLoad, t.slots(), now)
	t.belief.ObserveSlowness(svc.loads, r.Slowness, now)
	b.learnLoad(t, now)
}

// learnLoad takes otherLoad, which was just set, and logs a note for neighbours if it is news to them.
func (b *Balancer) learnLoad(t *target, now time.Time) {
	m := t.loadModel()
	if m == nil {
		return
	}
	t.belief.Observe(t.otherLoad, t.slots(), now)
	load := t.otherLoad + float64(t.inFlight)
	if b.loadKeys[t.loadKey] == t && t.belief.Advertise(m, load, t.slots(), now) {
		b.loadLog.Add(paload.Note{Key: t.loadKey, Load: load, Slowness: t.belief.SlownessAt(now)}, true, now)
	}
}

// ownAt returns about how many requests of this entry VM were at the target at a time shortly before.
func (t *target) ownAt(at time.Time) float64 {
	if t.lastStart.After(at) {
		return float64(max(0, t.inFlight-1))
	}
	return float64(t.inFlight)
}

// isLoadFresh reports whether the load that is believed rests on a recent report.
func (t *target) isLoadFresh(now time.Time) bool {
	if m := t.loadModel(); m != nil {
		return t.belief.IsFresh(m, t.slots(), now)
	}
	return now.Sub(t.otherLoadAt) <= otherLoadTTL
}

// slowness returns the factor by which work takes longer at the target now.
func (t *target) slowness(now time.Time) float64 {
	if m := t.loadModel(); m != nil {
		return t.belief.Slowness(m, now)
	}
	return 1
}

// scaled returns a time multiplied by a factor.
func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// LoadNotes returns up to count notes on loads that follow the one numbered after, and the number of the last one returned; relayed
// adds those of other entry VMs.
func (b *Balancer) LoadNotes(after uint64, count int, relayed bool, now time.Time) ([]paload.Note, uint64) {
	return b.loadLog.After(after, count, relayed, now)
}

// ApplyLoadNotes takes a neighbour's notes.
func (b *Balancer) ApplyLoadNotes(all []paload.Note, now time.Time) {
	for _, n := range all {
		t := b.loadKeys[n.Key]
		if t == nil || t.loadModel() == nil {
			continue
		}
		if t.belief.Apply(n, t.ownAt(now.Add(-n.Age)), t.slots(), now) {
			b.loadLog.Add(n, false, now)
		}
	}
}

// AnyContended reports whether a service is contended, so that notes on loads are of use.
func (b *Balancer) AnyContended() bool {
	for _, svc := range b.services {
		if svc.loads != nil {
			return true
		}
	}
	return false
}

// LoadAccuracy returns how wrong believed loads were.
func (b *Balancer) LoadAccuracy() paload.Accuracy { return b.loadAccuracy }

// LoadNoteCounts returns how many notes on loads this entry VM logged of its own, and how many new ones it took from neighbours.
func (b *Balancer) LoadNoteCounts() (own, received uint64) {
	return b.loadLog.Added, b.loadLog.Received
}
