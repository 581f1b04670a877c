package pacontrol

import (
	"time"

	"papayahead/pabundle"
	"papayahead/pacredit"
	"papayahead/paroom"
	"papayahead/pashift"
)

// shiftInterval is how often shares are updated. A shift of a tenth of the traffic in half a minute is
// smooth at this interval; a shorter one gains nothing, a longer one makes visible steps.
const shiftInterval = 200 * time.Millisecond

// rate is the smoothed number of requests a second for a service from this region's callers.
type rate struct {
	perSecond float64
	count     int
}

func (k *Control) prepareLimits() {
	self := pacredit.Identity{Name: k.config.Self.Name, Incarnation: uint64(k.config.Self.Incarnation)}
	k.room = paroom.Controller{Limits: k.config.Room, CacheTTL: k.config.TimeToLive}
	k.granter = pacredit.Granter{Self: self, Started: k.config.Started}
	k.holder = pacredit.Holder{Self: self}
	k.limiter.Config = pashift.Config{ForwardOnly: true}
	k.ledger.Self, k.ledger.Incarnation = self.Name, self.Incarnation
	k.ledger.Region, k.ledger.Capacity = k.config.Self.Region, ledgerCapacity
	k.agreement.configure(k.config)
}

func (k *Control) adoptLimits(now time.Time) {
	if k.table == nil {
		k.askShareStates(now)
	}
	k.limiter.SetRollOut(pashift.RollOut{Bundle: k.bundle, Start: pashift.ServiceShares(k.head.Start), RolledAt: k.head.RolledAt}, now)
	k.table = k.limiter.Step(now)
	k.recordShifts(now)
	k.setKeyRegions(now)
	k.updateRegionList(now)
}

// tickLimits advances shares, credits, the ledger and the agreement.
func (k *Control) tickLimits(now time.Time) {
	if k.bundle == nil {
		return
	}
	k.holder.Tick(now)
	k.tickWaiting(now)
	k.pollCopies(now)
	if now.Before(k.nextShift) {
		return
	}
	k.nextShift = now.Add(shiftInterval)
	k.granter.Tick(now)
	k.ledger.Tick(now)
	k.tickAgreement(now)
	k.observeRegions(now)
	k.table = k.limiter.Step(now)
	k.askCredits(now)
	if !now.Before(k.nextSecond) {
		k.nextSecond = now.Add(time.Second)
		k.room.UpdateWeight(now)
		k.countRates()
		k.recordSecond(now)
	}
}

// rateSmoothing is the weight of the last second in the moving average of a rate.
const rateSmoothing = 0.3

func (k *Control) countRates() {
	for _, r := range k.rates {
		r.perSecond += rateSmoothing * (float64(r.count) - r.perSecond)
		r.count = 0
	}
}

func (k *Control) countArrival(s pabundle.ServiceName) {
	r := k.rates[s]
	if r == nil {
		r = &rate{}
		k.rates[s] = r
	}
	r.count++
}
