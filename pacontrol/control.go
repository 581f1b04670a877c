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

// Config configures a Control.
type Config struct {
	Self       pamember.Identity
	Deployment string
	// Random must not be used elsewhere afterwards.
	Random *rand.Rand
	// Started is when the process started.
	Started time.Time
	// Room limits the requests and bytes that this entry VM holds at once.
	Room paroom.Limits
	// TimeToLive is how long callers cache a look-up's answer.
	TimeToLive time.Duration
	// ListLag is the longest time until every reader of the VM list sees a change.
	ListLag time.Duration
}

// Control is the control state of one daemon. It is created by New and not safe for concurrent use.
type Control struct {
	config Config
	member *pamember.Member
	owner  *paowner.Owner
	spread *paspread.Replicator
	// spreadStarted is set once the distribution of bundles has started.
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
	// owned are the targets that this entry VM owns.
	owned map[pabundle.TargetName]bool
	// reports holds the stamp of each member's newest load report and when it arrived.
	reports  map[pabundle.EntryName]report
	stopping bool

	// room accounts for this entry VM's own capacity, admitted holds each request's bytes in it.
	room     paroom.Controller
	admitted map[paowner.RequestID]int64
	// requestService is the service of each admitted request, refusals counts those of the last second.
	requestService map[paowner.RequestID]pabundle.ServiceName
	refusals       map[refusalKind]int
	// shifting are the services whose shares still move to those of the bundle, downRegions the regions
	// recorded as down.
	shifting    map[pabundle.ServiceName]bool
	downRegions map[downRegion]bool
	// storeBehind is set while the store's head is older than the one in force.
	storeBehind bool

	limiter  pashift.Limiter
	selector pashift.Selector
	table    *pashift.Table
	// copySharesUntil is until when a peer's share states are accepted after the first bundle.
	copySharesUntil time.Time
	rates           map[pabundle.ServiceName]*rate
	granter         pacredit.Granter
	holder          pacredit.Holder
	// askedAt is when a granter was last asked for credits, neededAt when it was for waiting requests.
	askedAt, neededAt map[creditKey]time.Time
	// grantedAt is when each granter last granted a credit.
	grantedAt map[creditKey]time.Time
	// loads are the smoothed loads of each service in this region.
	loads map[pabundle.ServiceName]float64
	// remotes are requests that go to another region; redeemed are those from one that redeemed a credit.
	remotes  map[paowner.RequestID]*remote
	redeemed map[paowner.RequestID]pabundle.ServiceName

	agreement agreement
	// members is the number of entry VMs of the region that the agreement counts.
	members    int
	keyRegions map[pabundle.ServiceName][]pabundle.RegionName
	// confirmedSequence is the last roll-out that every entry VM has advertised.
	confirmedSequence     pabundle.Sequence
	nextShift, nextSecond time.Time
	ledger                paledger.Ledger
	claims                map[paowner.RequestID]*claim
	configSequences       map[pabundle.EntryName]pabundle.Sequence

	effects    []Effect
	decisions  []paowner.Decision
	changed    bool
	nextReport time.Time
}

// report is the stamp of a member's newest load report and when it arrived.
type report struct {
	stamp uint64
	at    time.Time
}

// New returns a Control without a bundle or peers.
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
		spread:          s,
		config:          c,
		member:          m,
		admitted:        map[paowner.RequestID]int64{},
		requestService:  map[paowner.RequestID]pabundle.ServiceName{},
		refusals:        map[refusalKind]int{},
		shifting:        map[pabundle.ServiceName]bool{},
		downRegions:     map[downRegion]bool{},
		rates:           map[pabundle.ServiceName]*rate{},
		askedAt:         map[creditKey]time.Time{},
		neededAt:        map[creditKey]time.Time{},
		grantedAt:       map[creditKey]time.Time{},
		loads:           map[pabundle.ServiceName]float64{},
		remotes:         map[paowner.RequestID]*remote{},
		redeemed:        map[paowner.RequestID]pabundle.ServiceName{},
		claims:          map[paowner.RequestID]*claim{},
		configSequences: map[pabundle.EntryName]pabundle.Sequence{},
		leaving:         map[pabundle.TargetName]bool{},
		owned:           map[pabundle.TargetName]bool{},
		reports:         map[pabundle.EntryName]report{},
		changed:         true,
	}
	k.owner = paowner.New(paowner.Config{Others: k, Rand: splitRandom(c.Random)})
	k.prepareLimits()
	// After a restart, peers that know the address may send messages before the first VM list was read.
	// A view of this entry VM alone keeps those steps from using a nil view.
	k.view = m.View(c.Started)
	return k, nil
}

// splitRandom returns an independent source, so that the draws of one component don't change another's.
func splitRandom(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

// Output is the result of a Step.
type Output struct {
	// Effects must be carried out in order.
	Effects []Effect
	// Snapshot replaces the one that the request path reads; nil if nothing changed.
	Snapshot *Snapshot
}

// Step handles one event. The effects are valid until the next Step.
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
		k.spreadStep(now, paspread.StoreHeadRead{Head: v.Head})
	case HeadOffered:
		k.spreadStep(now, paspread.HeadReceived{Peer: v.Peer, Head: v.Head})
	case PieceFetched:
		k.spreadStep(now, paspread.FetchResult{From: v.From, Digest: v.Digest, Data: v.Data})
	case MemberMessage:
		k.configSequences[v.Message.From.Name] = max(k.configSequences[v.Message.From.Name], v.Message.Config.Sequence)
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
		k.room.SetCPU(now, v.Busy)
	case Probed:
		k.decisions = k.owner.Probed(now, v.Target, v.OK, k.decisions)
	case Draining:
		k.markLeaving(now, v.Target, "the target's own word")
	case StopAsked:
		k.stop(now)
	case Departed:
		k.stepMembership(now, pamember.FinishLeave{})
	}
	k.carryOut()
	return k.output(now)
}

// planInterval is how often the weights of look-up answers are updated. The entry VMs' free capacity
// changes with each second's traffic, and the weights follow it over tens of seconds, so that a delay of
// one second does not matter.
const planInterval = time.Second

func (k *Control) tick(now time.Time) {
	k.stepMembership(now, pamember.Tick{})
	k.spreadStep(now, paspread.Tick{})
	k.decisions = k.owner.Tick(now, k.decisions)
	k.tickLimits(now)
	if !now.Before(k.nextReport) {
		k.publishLoadReport(now)
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

// markLeaving takes a target out of service at the first sign from any source: each source can be late,
// lost or wrong, and a target kept in service by mistake costs callers more than one removed by mistake.
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

// output returns the effects, and a new snapshot if the state changed or planInterval has passed.
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
