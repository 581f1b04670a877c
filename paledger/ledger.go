package paledger

import (
	"container/heap"
	"slices"
	"time"

	"papayahead/pabundle"
)

// Ledger is the memory of one keeper. Set the exported fields before use; it is used by one
// goroutine.
type Ledger struct {
	// Self is this entry VM, Incarnation its start, Region its region.
	Self        pabundle.EntryName
	Incarnation uint64
	Region      pabundle.RegionName
	// Capacity is how many keys are remembered at most.
	Capacity int
	// TrustUnstamped takes a claim without FirstSent that is not marked as a repeat for a first
	// copy. Without it such a claim is answered Unknown until the keeper has remembered for the
	// service's whole KeyMemory.
	TrustUnstamped bool

	members  []pabundle.EntryName
	homes    []homes
	eras     []era
	heirs    map[pabundle.EntryName]*inheritance
	records  map[ID]*Record
	expiries expiries
	// forgotten is the latest change of a record that was dropped, by service.
	forgotten map[pabundle.ServiceName]time.Time
	last      time.Time
	retired   bool
}

// homes are the home regions by a roll-out.
type homes struct {
	sequence pabundle.Sequence
	regions  map[pabundle.ServiceName][]pabundle.RegionName
}

// era is a time in which keys had other keepers; without members no one is known.
type era struct {
	members []pabundle.EntryName
	homes   []homes
	until   time.Time
}

// SetMembers takes the members that the region's entry VMs agree on, sorted; nil while they do not.
func (l *Ledger) SetMembers(now time.Time, members []pabundle.EntryName) {
	l.Tick(now)
	if slices.Equal(l.members, members) && (l.members == nil) == (members == nil) {
		return
	}
	l.endEra(now)
	l.members = slices.Clone(members)
}

// SetCandidateRegions takes the home regions of a roll-out (HomeRegions). Until Confirm, a key that the
// roll-out moves is refused.
//
// Guards against a keeper that has not heard of a roll-out, behind a cut: it shows as a key that
// runs in both regions. The guard holds because the new keeper waits until every entry VM has
// confirmed the roll-out, and whoever has taken it refuses what it moved.
func (l *Ledger) SetCandidateRegions(now time.Time, s pabundle.Sequence, regions map[pabundle.ServiceName][]pabundle.RegionName) {
	l.Tick(now)
	if n := len(l.homes); n > 0 && l.homes[n-1].sequence >= s {
		return
	}
	l.endEra(now)
	l.homes = append(slices.Clone(l.homes), homes{s, regions})
}

// ConfirmRollOut says that every entry VM of all regions has taken the roll-out s or a later one.
func (l *Ledger) ConfirmRollOut(now time.Time, s pabundle.Sequence) {
	l.Tick(now)
	for len(l.homes) > 1 && l.homes[1].sequence <= s {
		l.endEra(now)
		l.homes = slices.Clone(l.homes[1:])
	}
}

// Tick drops what has expired and finds a freeze of this process; call it about once a second.
func (l *Ledger) Tick(now time.Time) {
	if !l.last.IsZero() && now.Sub(l.last) > FreezeThreshold && l.members != nil {
		l.endEra(now)
		l.members = nil
	}
	if now.After(l.last) {
		l.last = now
	}
	l.expire(now)
}

// Claim decides whether a copy of a keyed request may run.
//
// The load is a caller that asks again, through this or another entry VM, while its first copy runs,
// has run, or is still on its way. The harm is a deposit posted twice. A key is granted to one copy;
// what the keeper cannot know to be the first is not granted.
func (l *Ledger) Claim(now time.Time, c Claim) Reply {
	l.Tick(now)
	if !now.Before(c.Deadline) {
		return refuse(now, c, Late)
	}
	if l.members == nil || l.retired {
		return refuse(now, c, Unsettled)
	}
	if !keeps(l.Self, l.Region, c.ID, l.members, l.homes) {
		return refuse(now, c, NotKeeper)
	}
	r := l.records[c.ID]
	if r != nil && (r.State != Free || r.Request == c.Request) {
		return l.repeat(now, r, c)
	}
	if reason := l.tooOld(now, c); reason != NoReason {
		return Reply{Verdict: Unknown, Reason: reason}
	}
	if r == nil && len(l.records) >= l.Capacity {
		return refuse(now, c, Full)
	}
	l.put(&Record{
		ID: c.ID, Request: c.Request, Claimant: c.Claimant, Body: c.BodyDigest,
		Deadline: c.Deadline, ChangedAt: now, Memory: c.Memory,
	})
	return Reply{Verdict: Granted}
}

// repeat answers a claim for a key that is remembered.
func (l *Ledger) repeat(now time.Time, r *Record, c Claim) Reply {
	if r.Body != c.BodyDigest {
		return Reply{Verdict: Conflict}
	}
	switch r.State {
	case Live:
		if r.Request == c.Request && r.Claimant == c.Claimant {
			// The first reply was lost; the claimant starts a request only once.
			return Reply{Verdict: Granted}
		}
		return Reply{Verdict: Join, Live: r.Request, RetryAfter: minComeBack}
	case Done:
		return Reply{Verdict: Repeated, Outcome: EndedAnswered, Status: r.Status, AnswerDigest: r.Answer}
	case Free:
		return Reply{Verdict: NotRun, Reason: GivenUp}
	default:
		return Reply{Verdict: Unknown, Outcome: EndedUnknown}
	}
}

// Settle takes the end of a granted copy. A repeated or late settlement changes nothing that is
// already known; an answer that arrives after the copy was given up as lost is still taken.
func (l *Ledger) Settle(now time.Time, s Settlement) {
	l.Tick(now)
	r := l.records[s.ID]
	if r == nil || r.Request != s.Request {
		return
	}
	switch {
	case s.Outcome == EndedAnswered && (r.State == Live || r.State == Lost):
		r.State, r.Status, r.Answer = Done, s.Status, s.AnswerDigest
	case s.Outcome == EndedNotRun && (r.State == Live || r.State == Lost):
		r.State = Free
	case s.Outcome == EndedUnknown && r.State == Live:
		r.State = Lost
	default:
		return
	}
	r.ChangedAt = now
	l.put(r)
}

// tooOld says why a copy without a record may not be the first.
//
// Guards against a first copy that ran under an earlier keeper, or so long ago that its record was
// dropped: it shows as a second run minutes after the first. The guard holds because the copy's
// stamp has to be younger, by twice the skew, than all that this keeper may not remember.
func (l *Ledger) tooOld(now time.Time, c Claim) Reason {
	since := l.since(c.ID)
	switch {
	case c.FirstSent.After(now.Add(MaxClockSkew)):
		return Unstamped
	case !c.FirstSent.IsZero() && c.FirstSent.Before(since.Add(skewMargin)):
		return TooOld
	case !c.FirstSent.IsZero():
		return NoReason
	case c.Repeat, !l.TrustUnstamped && now.Before(since.Add(c.Memory)):
		return Unstamped
	}
	return NoReason
}

// refuse answers a claim that is not granted, without a look at the memory. A repeat is not told
// that it has not run: that would be true of this copy only.
func refuse(now time.Time, c Claim, why Reason) Reply {
	r := Reply{Verdict: NotRun, Reason: why, RetryAfter: minComeBack}
	if c.Repeat || !c.FirstSent.IsZero() && now.Sub(c.FirstSent) > MaxClockSkew {
		r.Verdict = Unknown
	}
	if why == Late {
		r.RetryAfter = 0
	}
	return r
}

func (l *Ledger) put(r *Record) {
	if l.records == nil {
		l.records = make(map[ID]*Record)
	}
	l.records[r.ID] = r
	heap.Push(&l.expiries, expiry{r.ID, r.expires()})
}

// expire turns live copies past their deadline into lost ones and drops what was kept for its time.
func (l *Ledger) expire(now time.Time) {
	for len(l.expiries) > 0 && !now.Before(l.expiries[0].at) {
		e := heap.Pop(&l.expiries).(expiry)
		r := l.records[e.id]
		if r == nil || now.Before(r.expires()) {
			continue
		}
		if r.State == Live {
			r.State, r.ChangedAt = Lost, now
			heap.Push(&l.expiries, expiry{r.ID, r.expires()})
			continue
		}
		l.forget(r)
	}
}

func (l *Ledger) forget(r *Record) {
	if l.forgotten == nil {
		l.forgotten = make(map[pabundle.ServiceName]time.Time)
	}
	if r.ChangedAt.After(l.forgotten[r.ID.Service]) {
		l.forgotten[r.ID.Service] = r.ChangedAt
	}
	delete(l.records, r.ID)
}

// endEra closes the time of the present keepers; what lies beyond every record's memory is summed up.
func (l *Ledger) endEra(now time.Time) {
	l.eras = append(l.eras, era{l.members, l.homes, now})
	if len(l.eras) > maxEras {
		l.eras = slices.Delete(l.eras, 0, 1)
		l.eras[0].members = nil
	}
}

type expiry struct {
	id ID
	at time.Time
}

// expiries is a heap of the times at which records change by themselves.
type expiries []expiry

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is for container/heap.
func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop is for container/heap.
func (e *expiries) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
