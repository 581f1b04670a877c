package paledger

import (
	"container/heap"
	"slices"
	"time"

	"papayahead/pabundle"
)

// Ledger holds the records of one keeper. Set the exported fields before use. It is not safe for
// concurrent use.
type Ledger struct {
	// Self is this entry VM, Incarnation identifies its process, Region is its region.
	Self        pabundle.EntryName
	Incarnation uint64
	Region      pabundle.RegionName
	// Capacity is the largest number of keys.
	Capacity int
	// TrustUnstamped treats a claim that has no FirstSent and is not marked as a repeat as a first
	// copy. Otherwise such a claim is answered Unknown until the keeper's records have been complete
	// for the service's KeyMemory.
	TrustUnstamped bool

	members         []pabundle.EntryName
	rollOuts        []rollOutRegions
	pastAssignments []assignment
	handovers       map[pabundle.EntryName]*receivedHandover
	records         map[ID]*Record
	expiries        expiries
	// lastDropped is the time of the latest change among dropped records, by service.
	lastDropped map[pabundle.ServiceName]time.Time
	lastTick    time.Time
	retired     bool
}

// rollOutRegions is the candidate regions of each service in one roll-out.
type rollOutRegions struct {
	sequence pabundle.Sequence
	regions  map[pabundle.ServiceName][]pabundle.RegionName
}

// assignment is a past period with a different assignment of keys to keepers. Nil members mean that
// the keepers are unknown.
type assignment struct {
	members  []pabundle.EntryName
	rollOuts []rollOutRegions
	until    time.Time
}

// SetMembers sets the members that the region's entry VMs agree on, sorted, or nil while they disagree.
func (l *Ledger) SetMembers(now time.Time, members []pabundle.EntryName) {
	l.Tick(now)
	if slices.Equal(l.members, members) && (l.members == nil) == (members == nil) {
		return
	}
	l.closeAssignment(now)
	l.members = slices.Clone(members)
}

// SetCandidateRegions sets the candidate regions of a roll-out (CandidateRegions). Keys that the
// roll-out moves are refused until ConfirmRollOut.
//
// Otherwise a key could run in both regions, if a network partition keeps its old keeper from learning
// of the roll-out. The new keeper waits until every entry VM has confirmed the roll-out, and a VM that
// has applied it refuses the keys that it moves away.
func (l *Ledger) SetCandidateRegions(now time.Time, s pabundle.Sequence, regions map[pabundle.ServiceName][]pabundle.RegionName) {
	l.Tick(now)
	if n := len(l.rollOuts); n > 0 && l.rollOuts[n-1].sequence >= s {
		return
	}
	l.closeAssignment(now)
	l.rollOuts = append(slices.Clone(l.rollOuts), rollOutRegions{s, regions})
}

// ConfirmRollOut records that every entry VM of all regions has applied the roll-out s or a later one.
func (l *Ledger) ConfirmRollOut(now time.Time, s pabundle.Sequence) {
	l.Tick(now)
	for len(l.rollOuts) > 1 && l.rollOuts[1].sequence <= s {
		l.closeAssignment(now)
		l.rollOuts = slices.Clone(l.rollOuts[1:])
	}
}

// Tick removes expired records and detects a freeze of this process; call it about once a second.
func (l *Ledger) Tick(now time.Time) {
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > FreezeThreshold && l.members != nil {
		l.closeAssignment(now)
		l.members = nil
	}
	if now.After(l.lastTick) {
		l.lastTick = now
	}
	l.expire(now)
}

// Claim decides whether a copy of a request may run.
//
// A caller may repeat a request through this or another entry VM while the first copy is in transit, is
// running or has run; a second run could, for example, post a deposit twice. So a key is granted to one
// copy only, and a copy that may not be the first is not granted.
func (l *Ledger) Claim(now time.Time, c Claim) Reply {
	l.Tick(now)
	if !now.Before(c.Deadline) {
		return refuse(now, c, Late)
	}
	if l.members == nil || l.retired {
		return refuse(now, c, Unsettled)
	}
	if !isKeeper(l.Self, l.Region, c.ID, l.members, l.rollOuts) {
		return refuse(now, c, NotKeeper)
	}
	r := l.records[c.ID]
	if r != nil && (r.State != Free || r.Request == c.Request) {
		return l.answerKnown(now, r, c)
	}
	if reason := l.tooOld(now, c); reason != NoReason {
		return Reply{Verdict: Unknown, Reason: reason}
	}
	if r == nil && len(l.records) >= l.Capacity {
		return refuse(now, c, Full)
	}
	l.put(&Record{
		ID: c.ID, Request: c.Request, Claimant: c.Claimant, BodyDigest: c.BodyDigest,
		Deadline: c.Deadline, ChangedAt: now, Memory: c.Memory,
	})
	return Reply{Verdict: Granted}
}

// answerKnown answers a claim for a key that has a record.
func (l *Ledger) answerKnown(now time.Time, r *Record, c Claim) Reply {
	if r.BodyDigest != c.BodyDigest {
		return Reply{Verdict: Conflict}
	}
	switch r.State {
	case Live:
		if r.Request == c.Request && r.Claimant == c.Claimant {
			// The first reply was lost. Granting again is safe, as a claimant starts a copy only once.
			return Reply{Verdict: Granted}
		}
		return Reply{Verdict: Join, Live: r.Request, RetryAfter: minRetryAfter}
	case Done:
		return Reply{Verdict: Repeated, Outcome: EndedAnswered, Status: r.Status, AnswerDigest: r.AnswerDigest}
	case Free:
		return Reply{Verdict: NotRun, Reason: GivenUp}
	default:
		return Reply{Verdict: Unknown, Outcome: EndedUnknown}
	}
}

// Settle records how a granted copy ended. Duplicated and late settlements do not change a known
// outcome, but a copy that was marked as lost may still be settled as answered or not run.
func (l *Ledger) Settle(now time.Time, s Settlement) {
	l.Tick(now)
	r := l.records[s.ID]
	if r == nil || r.Request != s.Request {
		return
	}
	switch {
	case s.Outcome == EndedAnswered && (r.State == Live || r.State == Lost):
		r.State, r.Status, r.AnswerDigest = Done, s.Status, s.AnswerDigest
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

// tooOld returns why a copy of a key without a record may not be the first, or NoReason.
//
// An earlier copy may have run under another keeper, or so long ago that its record was dropped; this
// copy would then run the request again. So FirstSent must be later, by twice the clock skew, than
// the time since when the records of the key are complete.
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

// refuse answers a claim without consulting the records. A repeat is answered Unknown instead of
// NotRun, which would hold for this copy only.
func refuse(now time.Time, c Claim, why Reason) Reply {
	r := Reply{Verdict: NotRun, Reason: why, RetryAfter: minRetryAfter}
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

// expire marks live copies that are past their deadline as lost and removes records whose time is over.
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
		l.drop(r)
	}
}

func (l *Ledger) drop(r *Record) {
	if l.lastDropped == nil {
		l.lastDropped = make(map[pabundle.ServiceName]time.Time)
	}
	if r.ChangedAt.After(l.lastDropped[r.ID.Service]) {
		l.lastDropped[r.ID.Service] = r.ChangedAt
	}
	delete(l.records, r.ID)
}

// closeAssignment ends the current assignment of keys to keepers and keeps it as a past one. Beyond
// maxAssignments, it merges the oldest two.
func (l *Ledger) closeAssignment(now time.Time) {
	l.pastAssignments = append(l.pastAssignments, assignment{l.members, l.rollOuts, now})
	if len(l.pastAssignments) > maxAssignments {
		l.pastAssignments = slices.Delete(l.pastAssignments, 0, 1)
		l.pastAssignments[0].members = nil
	}
}

type expiry struct {
	id ID
	at time.Time
}

// expiries is a min-heap of the times at which records expire.
type expiries []expiry

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
