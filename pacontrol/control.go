package pacontrol

import (
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pabundle"
	"papayahead/pacredit"
	"papayahead/paevent"
	"papayahead/paledger"
	"papayahead/palookup"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paplatform"
	"papayahead/paroom"
	"papayahead/pashift"
	"papayahead/paspread"
)

// Config is what a Control is made from.
type Config struct {
	Self       pamember.Identity
	Deployment string
	// Random belongs to the Control.
	Random *rand.Rand
	// Started is when the process started.
	Started time.Time
	// Room is how much this entry VM itself can hold.
	Room paroom.Limits
	// TimeToLive is how long callers use a look-up's answer.
	TimeToLive time.Duration
	// ListLag is the longest time that a change of the VM list takes to be seen by every reader.
	ListLag time.Duration
}

// Control is the control state of one daemon. It is made by New and used by one goroutine.
type Control struct {
	config Config
	member *pamember.Member
	owner  *paowner.Owner
	spread *paspread.Spread
	// booted says that the spreading has begun.
	spreadStarted bool
	planner       palookup.Planner
	plan          *palookup.Plan
	nextPlan      time.Time
	clientBlocks  *palookup.Table

	head    pabundle.Head
	bundle  *pabundle.Bundle
	index   index
	view    *pamember.View
	leaving map[pabundle.TargetName]bool
	// owned are the targets of this entry VM.
	owned map[pabundle.TargetName]bool
	// reports is when the facts of each member of the region last changed.
	reports  map[pabundle.EntryName]report
	stopping bool

	// room is the entry VM's own account, admitted what each request holds of it.
	room     paroom.Room
	admitted map[paowner.RequestID]int64
	// serving is the service of each admitted request, refusals those of the last second.
	requestService map[paowner.RequestID]pabundle.ServiceName
	refusals       map[refusalKind]int
	// moving are the services on their way to the bundle's shares, shed the regions taken for down.
	shifting    map[pabundle.ServiceName]bool
	downRegions map[downRegion]bool
	// behind says that the store's head was older than the one in force.
	storeBehind bool

	limiter  pashift.Limiter
	selector pashift.Selector
	table    *pashift.Table
	// standingUntil is how long a neighbour's standing is taken after the first bundle.
	copySharesUntil time.Time
	rates           map[pabundle.ServiceName]*rate
	granter         pacredit.Granter
	holder          pacredit.Holder
	// asked is when a granter was last asked for credits, needed when requests waited for them.
	askedAt, neededAt map[creditKey]time.Time
	// granted is when each granter last gave something.
	grantedAt map[creditKey]time.Time
	// loads are the smoothed loads of the own region.
	loads map[pabundle.ServiceName]float64
	// remotes are requests that go to another region; redeemed are those that came from one.
	remotes  map[paowner.RequestID]*remote
	redeemed map[paowner.RequestID]pabundle.ServiceName

	agreement agreement
	// members is how many entry VMs of the region are agreed on.
	members    int
	keyRegions map[pabundle.ServiceName][]pabundle.RegionName
	// confirmed is the last roll-out that every entry VM was heard to have taken.
	confirmedSequence     pabundle.Sequence
	nextShift, nextSecond time.Time
	ledger                paledger.Ledger
	claims                map[paowner.RequestID]*claim
	adverts               map[pabundle.EntryName]pabundle.Sequence

	effects   []Effect
	decisions []paowner.Decision
	changed   bool
	nextFacts time.Time
}

// report is the newest facts of a member and when they came.
type report struct {
	stamp uint64
	at    time.Time
}

// New returns a Control that knows neither bundle nor peers yet.
func New(c Config) (*Control, error) {
	m, err := pamember.New(pamember.Config{Self: c.Self, Random: splitRandom(c.Random)})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s, err := paspread.New(paspread.Config{Deployment: c.Deployment, Random: splitRandom(c.Random), Children: pabundle.Children})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	k := &Control{
		spread:         s,
		config:         c,
		member:         m,
		admitted:       map[paowner.RequestID]int64{},
		requestService: map[paowner.RequestID]pabundle.ServiceName{},
		refusals:       map[refusalKind]int{},
		shifting:       map[pabundle.ServiceName]bool{},
		downRegions:    map[downRegion]bool{},
		rates:          map[pabundle.ServiceName]*rate{},
		askedAt:        map[creditKey]time.Time{},
		neededAt:       map[creditKey]time.Time{},
		grantedAt:      map[creditKey]time.Time{},
		loads:          map[pabundle.ServiceName]float64{},
		remotes:        map[paowner.RequestID]*remote{},
		redeemed:       map[paowner.RequestID]pabundle.ServiceName{},
		claims:         map[paowner.RequestID]*claim{},
		adverts:        map[pabundle.EntryName]pabundle.Sequence{},
		leaving:        map[pabundle.TargetName]bool{},
		owned:          map[pabundle.TargetName]bool{},
		reports:        map[pabundle.EntryName]report{},
		changed:        true,
	}
	k.owner = paowner.New(paowner.Config{Others: k, Rand: splitRandom(c.Random)})
	k.prepareLimits()
	// Guards against a peer that knew this entry VM's predecessor and speaks before the first VM list
	// was read: every step finds a view, if one of this entry VM alone.
	k.view = m.View(c.Started)
	return k, nil
}

// fork returns a source of its own, so that how often one part draws does not change another.
func splitRandom(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

// Output is what a Step decided.
type Output struct {
	// Effects are to be carried out in their order.
	Effects []Effect
	// Snapshot is what traffic reads from now on; nil if it is as before.
	Snapshot *Snapshot
}

// Step takes one event. The effects are valid until the next Step.
func (k *Control) Step(now time.Time, e Event) Output {
	k.effects = k.effects[:0]
	k.decisions = k.decisions[:0]
	switch v := e.(type) {
	case Tick:
		k.tick(now)
	case VMsListed:
		k.updateVMs(now, v.VMs)
	case HeadFound:
		k.compareStore(v.Head)
		k.spreadStep(now, paspread.Found{Head: v.Head})
	case HeadOffered:
		k.spreadStep(now, paspread.Offered{Peer: v.Peer, Head: v.Head})
	case PieceFetched:
		k.spreadStep(now, paspread.Fetched{From: v.From, Digest: v.Digest, Data: v.Data})
	case MemberMessage:
		k.adverts[v.Message.From.Name] = max(k.adverts[v.Message.From.Name], v.Message.Advert.Sequence)
		k.stepMembership(now, pamember.Received{Message: v.Message})
	case Offered:
		k.offer(now, v)
	case Ended:
		k.endAttempt(now, v)
	case RequestDone:
		k.endRequest(now, v.Request)
	case CreditAsked:
		k.replyGrant(now, v)
	case CreditGranted:
		k.acceptGrant(now, v.Grant)
	case Announced:
		k.handleAnnouncement(now, v.Announcement)
	case ClaimAsked:
		k.effects = append(k.effects, ReplyClaim{Reply: k.ledger.Claim(now, v.Claim)})
	case Claimed:
		k.handleClaimReply(now, v)
	case KeySettled:
		k.ledger.Settle(now, v.Settlement)
	case KeysHandedOver:
		k.ledger.AcceptHandover(now, v.Handover)
	case ShareStatesAsked:
		k.replyShareStates(now, v.Sequence)
	case ShareStatesReceived:
		k.copyShareStates(now, v.States)
	case CPUMeasured:
		k.room.Measure(now, v.Busy)
	case Probed:
		k.decisions = k.owner.Probed(now, v.Target, v.OK, k.decisions)
	case Draining:
		k.markLeaving(now, v.Target, "the target's own word")
	case StopAsked:
		k.stop(now)
	case Departed:
		k.stepMembership(now, pamember.Depart{})
	}
	k.carryOut()
	return k.output(now)
}

// planInterval is how often look-ups get new weights. Load: rooms that change with each second's
// traffic; the weights follow them over tens of seconds, so that a second's delay is lost in it.
const planInterval = time.Second

func (k *Control) tick(now time.Time) {
	k.stepMembership(now, pamember.Tick{})
	k.spreadStep(now, paspread.Tick{})
	k.decisions = k.owner.Tick(now, k.decisions)
	k.tickLimits(now)
	if !now.Before(k.nextFacts) {
		k.publishFacts(now)
	}
}

func (k *Control) updateVMs(now time.Time, all []paplatform.VM) {
	var seeds []pamember.Seed
	k.agreement.listed = all
	for _, v := range all {
		if v.Kind == paplatform.Entry {
			seeds = append(seeds, pamember.Seed{
				Name: pabundle.EntryName(v.Name), Zone: pabundle.ZoneName(v.Zone),
				Region: k.regionOf(pabundle.ZoneName(v.Zone)), PeerAddress: v.PeerAddress,
			})
			continue
		}
		if v.State == paplatform.Leaving {
			k.markLeaving(now, pabundle.TargetName(v.Name), "the platform's VM list")
		}
	}
	k.stepMembership(now, pamember.Seeds{List: seeds})
	k.updateRegionList(now)
	k.startSpread(now)
}

// leave takes a target out of service at its first sign, whichever source it comes from: each can
// be late, lost or wrong, and a target that stays in service by mistake costs its callers more than
// one that leaves by mistake.
func (k *Control) markLeaving(now time.Time, t pabundle.TargetName, source string) {
	if k.leaving[t] {
		return
	}
	k.leaving[t] = true
	if k.owned[t] {
		k.record(paevent.TargetLeaving{Target: string(t), Source: source})
		k.decisions = k.owner.MarkLeaving(now, t, k.decisions)
	}
}

func (k *Control) stop(now time.Time) {
	if k.stopping {
		return
	}
	k.stopping = true
	k.changed = true
	k.stepMembership(now, pamember.Leave{})
	k.handOverKeys(now)
}

func (k *Control) record(e paevent.Event) { k.effects = append(k.effects, RecordEvent{Event: e}) }

// output collects the effects, and the snapshot if it changed.
func (k *Control) output(now time.Time) Output {
	out := Output{Effects: k.effects}
	if v := k.member.View(now); v != k.view {
		k.view = v
		k.changed = true
	}
	if k.changed || !now.Before(k.nextPlan) {
		k.nextPlan = now.Add(planInterval)
		k.plan = k.planner.Update(now, k.view)
		k.changed = false
		out.Snapshot = k.snapshot(now)
	}
	return out
}
