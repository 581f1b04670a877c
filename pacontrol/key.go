package pacontrol

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"papayahead/pabundle"
	"papayahead/paevent"
	"papayahead/paledger"
	"papayahead/pamember"
	"papayahead/paowner"
	"papayahead/paplatform"
	"papayahead/patarget"
)

// claim is the state of a request with an idempotency key until the request ends.
type claim struct {
	offered Offered
	id      paledger.ID
	keeper  pabundle.EntryName
	address netip.AddrPort
	granted bool
	// awaiting is set while the keeper's answer is outstanding.
	awaiting bool
	// askAgainAt is when to ask the keeper again while another copy runs; zero if none is due.
	askAgainAt time.Time
	// attempted is set once an attempt has ended; outcome and status are the result so far.
	attempted bool
	// inFlight is set while an attempt is under way.
	inFlight bool
	outcome  paledger.Outcome
	status   int
}

// ledgerCapacity bounds the keys in the ledger, at about 300 bytes each: 60 MB.
const ledgerCapacity = 200_000

// keyRetryAfter is the retry delay given to callers while a key's keeper is unreachable or not agreed on.
const keyRetryAfter = 2 * time.Second

// claimKey asks the key's keeper whether this copy may run, before any byte of it is sent.
func (k *Control) claimKey(now time.Time, v Offered) {
	id := paledger.ID{Service: v.Request.Service, Key: v.Key}
	home := paledger.HomeRegion(id, k.keyRegions[v.Request.Service])
	keeper := paledger.Keeper(id, k.keepers(home))
	c := &claim{offered: v, id: id, keeper: keeper}
	k.claims[v.Request.ID] = c
	k.askKeeper(now, c)
}

// askKeeper sends the claim to the keeper, which may be this entry VM.
func (k *Control) askKeeper(now time.Time, c *claim) {
	c.awaiting = true
	v, id, keeper := c.offered, c.id, c.keeper
	ask := paledger.Claim{
		ID: id, Request: v.Identity, BodyDigest: v.BodyDigest, FirstSent: v.FirstSent, Repeat: v.Repeat, Deadline: v.Request.Deadline,
		Claimant: paledger.Claimant{Name: k.config.Self.Name, Incarnation: uint64(k.config.Self.Incarnation)},
		Memory:   k.keyMemory(v.Request.Service),
	}
	if keeper == k.config.Self.Name {
		k.handleClaimReply(now, Claimed{Request: v.Request.ID, Reply: k.ledger.Claim(now, ask)})
		return
	}
	a, ok := k.peerAddress(keeper)
	if !ok {
		k.handleClaimReply(now, Claimed{Request: v.Request.ID, Lost: true})
		return
	}
	c.address = a
	k.effects = append(k.effects, ClaimKey{Request: v.Request.ID, Address: a, Claim: ask})
}

func (k *Control) keyMemory(s pabundle.ServiceName) time.Duration {
	if n, ok := k.index.services[s]; ok {
		return k.bundle.Services[n].KeyMemory.Duration
	}
	return 0
}

// keepers returns the entry VMs that keep a region's keys: in this region those agreed on, elsewhere
// those of the VM list that have not announced their leaving. An entry VM that is not the keeper refuses
// the claim.
func (k *Control) keepers(home pabundle.RegionName) []pabundle.EntryName {
	if home == k.config.Self.Region {
		return k.agreement.view.Members()
	}
	var names []pabundle.EntryName
	for _, v := range k.agreement.listed {
		n := pabundle.EntryName(v.Name)
		if v.Kind != paplatform.Entry || k.regionOf(pabundle.ZoneName(v.Zone)) != home {
			continue
		}
		if m, ok := k.view.Find(n); ok && (m.State == pamember.Leaving || m.State == pamember.Left) {
			continue
		}
		names = append(names, n)
	}
	return names
}

// peerAddress returns an entry VM's address from the membership, or else from the VM list.
func (k *Control) peerAddress(n pabundle.EntryName) (netip.AddrPort, bool) {
	if m, ok := k.view.Find(n); ok {
		return m.PeerAddress, true
	}
	for _, v := range k.agreement.listed {
		if v.Name == string(n) && v.PeerAddress.IsValid() {
			return v.PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}

// handleClaimReply handles the keeper's answer. Only a grant lets the request proceed.
func (k *Control) handleClaimReply(now time.Time, v Claimed) {
	c := k.claims[v.Request]
	// An answer that arrives twice, or after it was reported lost, would place the request twice: only an
	// outstanding answer counts.
	if c == nil || !c.awaiting {
		return
	}
	c.awaiting = false
	if v.Lost {
		// The keeper may have granted the key. This copy does not run; settle reports that when it ends.
		c.granted = c.address.IsValid()
		k.refuse(v.Request, "KeeperLost", k.jitter(keyRetryAfter))
		return
	}
	r := v.Reply
	switch r.Verdict {
	case paledger.Granted:
		c.granted = true
		k.route(now, c.offered)
	case paledger.NotRun:
		k.refuse(v.Request, "Key"+r.Reason.String(), k.jitter(max(r.RetryAfter, keyRetryAfter)))
	case paledger.Join:
		k.waitForCopy(now, c, r)
	case paledger.Repeated:
		k.conclude(v.Request, r.Outcome, "Repeated", r)
	case paledger.Conflict:
		k.conclude(v.Request, paledger.EndedNotRun, "KeyConflict", r)
	default:
		k.conclude(v.Request, paledger.EndedUnknown, "Key"+r.Reason.String(), r)
	}
}

// copyPollInterval is how often a request that waits for a running copy asks the keeper for its outcome,
// as when a caller sends two copies at once. A longer interval adds to the wait; a shorter one makes
// useless calls, since runs take 20 ms and more.
const copyPollInterval = 50 * time.Millisecond

// waitForCopy lets a request wait for the copy that runs, as long as its own deadline allows; the copy's
// outcome becomes its answer.
func (k *Control) waitForCopy(now time.Time, c *claim, r paledger.Reply) {
	if now.Add(2 * copyPollInterval).After(c.offered.Request.Deadline) {
		k.conclude(c.offered.Request.ID, paledger.EndedUnknown, "CopyRuns", r)
		return
	}
	c.askAgainAt = now.Add(copyPollInterval)
}

// pollCopies asks the keepers of requests that wait for a running copy.
func (k *Control) pollCopies(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(k.claims)) {
		c := k.claims[id]
		if !c.askAgainAt.IsZero() && !now.Before(c.askAgainAt) {
			c.askAgainAt = time.Time{}
			k.askKeeper(now, c)
		}
	}
}

func (k *Control) conclude(id paowner.RequestID, o paledger.Outcome, reason string, r paledger.Reply) {
	k.effects = append(k.effects, Conclude{Request: id, Outcome: o, Reason: reason, Status: r.Status, RetryAfter: r.RetryAfter})
}

// markInFlight records that an attempt of a request starts.
func (k *Control) markInFlight(id paowner.RequestID) {
	if c := k.claims[id]; c != nil {
		c.inFlight = true
	}
}

// recordAttempt records how an attempt of a keyed request ended. Once an attempt may have run, a later
// attempt that did not run does not change that.
func (k *Control) recordAttempt(v Ended) {
	c := k.claims[v.Request]
	if c == nil {
		return
	}
	c.inFlight = false
	switch o := v.Result.Outcome; {
	case o == patarget.Answered, o == patarget.Failed:
		c.outcome, c.status = paledger.EndedAnswered, v.Status
	case o.DidNotRun() && !c.attempted:
		c.outcome = paledger.EndedNotRun
	case !o.DidNotRun():
		c.outcome = paledger.EndedUnknown
	}
	c.attempted = true
}

// settle tells the keeper how a keyed request ended here.
func (k *Control) settle(now time.Time, id paowner.RequestID) {
	c := k.claims[id]
	if c == nil {
		return
	}
	delete(k.claims, id)
	if !c.granted {
		return
	}
	s := paledger.Settlement{ID: c.id, Request: c.offered.Identity, Outcome: paledger.EndedNotRun}
	switch {
	case c.inFlight && c.outcome != paledger.EndedAnswered:
		// The request is over while an attempt is still under way and may run. Settled as not run, the next
		// copy would be granted and the key would run twice.
		s.Outcome = paledger.EndedUnknown
	case c.attempted:
		s.Outcome, s.Status = c.outcome, c.status
	}
	if c.keeper == k.config.Self.Name {
		k.ledger.Settle(now, s)
		return
	}
	k.effects = append(k.effects, SettleKey{Address: c.address, Settlement: s})
}

// setKeyRegions sets the candidate home regions of keys from the bundle in force.
func (k *Control) setKeyRegions(now time.Time) {
	k.keyRegions = paledger.CandidateRegions(k.bundle)
	k.ledger.SetCandidateRegions(now, k.head.Sequence, k.keyRegions)
}

// handOverKeys hands the ledger over to the other members at the start of a graceful shutdown.
func (k *Control) handOverKeys(now time.Time) {
	members := k.agreement.view.Members()
	var successors []pabundle.EntryName
	for _, n := range members {
		if n != k.config.Self.Name {
			successors = append(successors, n)
		}
	}
	keys := k.ledger.Len()
	handed := k.ledger.Retire(now, successors)
	k.record(paevent.LedgerHandedOver{Keys: keys, Successors: len(handed)})
	for _, n := range slices.Sorted(maps.Keys(handed)) {
		if a, ok := k.peerAddress(n); ok {
			for _, p := range handed[n] {
				k.effects = append(k.effects, HandOverKeys{Address: a, Handover: p})
			}
		}
	}
	k.agreement.view.Retire()
	k.updateMembers(now)
	k.announceAll()
}
