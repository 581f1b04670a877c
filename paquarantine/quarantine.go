package paquarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxSuspects and maxLosses bound the requests, and the losses of one, that are kept.
	maxSuspects = 512
	maxLosses   = 32
	// suspicionTTL is how long after its last loss a request that is not held off is forgotten.
	suspicionTTL = 10 * time.Minute
	// answerCredit is how long after it was run to its end a request is not blamed: what ends targets does so each time.
	answerCredit = time.Minute
	// answeredTTL is how long an answered request is remembered, until all entry VMs have taken back its losses.
	answeredTTL = answerCredit + time.Minute
	// aliveMargin is how long after its supposed end a target must answer to refute it: an answer may have been on its way.
	aliveMargin = 250 * time.Millisecond
)

// Quarantine holds the findings of all entry VMs and what follows from them. The zero value is ready for use. Its methods
// may be called at the same time.
type Quarantine struct {
	// active is set while there is any finding, so that requests cost nothing otherwise.
	active atomic.Bool

	mutex    sync.Mutex
	ends     map[Lifetime]*end
	suspects map[Fingerprint]*suspect
	// answers are the requests that were run to their end lately, also such that no target ended under.
	answers answerLog
	// lastSeq numbers the findings in the order in which they were learned.
	lastSeq uint64
}

// end is the end of a target as first seen.
type end struct {
	at time.Time
	// refutedSeq is the number of the finding that the target has not ended; 0 if there is none.
	refutedSeq uint64
}

// suspect is what is known of a request that a target had when it ended.
type suspect struct {
	resource Resource
	losses   map[Lifetime]loss
	// answeredAt is when a target last ran it to its end, answeredSeq the number of that finding; zero if unknown.
	answeredAt  time.Time
	answeredSeq uint64
	// inFlight counts the requests with this content in progress here, while it is suspected.
	inFlight int
	verdict  verdict
	// reported says that the latest Change said that it is held off.
	reported bool
}

type loss struct {
	sent, ended time.Time
	seq         uint64
}

// Active reports whether any target ended lately; if not, Admit need not be called, nor Add with what was answered.
func (q *Quarantine) Active() bool { return q.active.Load() }

// Add adds findings of this entry VM and returns what follows from them.
func (q *Quarantine) Add(now time.Time, all ...Finding) []Change {
	changes, _ := q.Learn(now, all...)
	return changes
}

// Learn adds findings of this or another entry VM and returns what follows from them, and whether any was new.
func (q *Quarantine) Learn(now time.Time, all ...Finding) (changes []Change, isNew bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, f := range all {
		isNew = q.add(f) || isNew
	}
	if !isNew {
		return nil, false
	}
	q.evict()
	return q.judge(now), true
}

// add adds one finding and reports whether it is new.
func (q *Quarantine) add(f Finding) bool {
	if q.suspects == nil {
		q.ends, q.suspects = map[Lifetime]*end{}, map[Fingerprint]*suspect{}
	}
	switch f := f.(type) {
	case Loss:
		return q.addLoss(f)
	case Answered:
		return q.addAnswered(f)
	case Refuted:
		return q.addRefuted(f)
	}
	return false
}

func (q *Quarantine) addLoss(l Loss) bool {
	s := q.suspects[l.Request]
	if s == nil {
		s = &suspect{resource: l.Resource, losses: map[Lifetime]loss{}}
		q.suspects[l.Request] = s
	}
	if at := q.answers.last(l.Request); at.After(s.answeredAt) && l.Ended.After(s.answeredAt.Add(answerCredit)) &&
		!l.Ended.After(at.Add(answerCredit)) {
		// Other entry VMs may not know that it was run to its end.
		s.answeredAt, s.answeredSeq = at, q.nextSeq()
		s.takeBack()
		return true
	}
	if _, known := s.losses[l.Target]; known || !l.Ended.After(s.answeredAt.Add(answerCredit)) {
		return false
	}
	e := q.ends[l.Target]
	if e == nil {
		e = &end{at: l.Ended}
		q.ends[l.Target] = e
	}
	if l.Ended.Before(e.at) {
		e.at = l.Ended
	}
	s.losses[l.Target] = loss{sent: l.Sent, ended: l.Ended, seq: q.nextSeq()}
	for len(s.losses) > maxLosses {
		s.dropOldest()
	}
	return true
}

func (s *suspect) dropOldest() {
	var oldest Lifetime
	var at time.Time
	for t, l := range s.losses {
		if at.IsZero() || l.ended.Before(at) {
			oldest, at = t, l.ended
		}
	}
	delete(s.losses, oldest)
}

// addAnswered takes back the losses of a request up to the end of the credit of its answer.
func (q *Quarantine) addAnswered(a Answered) bool {
	q.answers.add(a.Request, a.At)
	s := q.suspects[a.Request]
	if s == nil || !a.At.After(s.answeredAt) {
		return false
	}
	if len(s.losses) == 0 && a.At.Sub(s.answeredAt) < answerCredit/2 {
		return false // The credit that all know of is enough for now.
	}
	s.answeredAt, s.answeredSeq = a.At, q.nextSeq()
	s.takeBack()
	return true
}

// takeBack drops the losses within the credit of the latest answer.
func (s *suspect) takeBack() {
	for t, l := range s.losses {
		if !l.ended.After(s.answeredAt.Add(answerCredit)) {
			delete(s.losses, t)
		}
	}
}

func (q *Quarantine) addRefuted(r Refuted) bool {
	e := q.ends[r.Target]
	if e == nil || e.refutedSeq != 0 {
		return false
	}
	e.refutedSeq = q.nextSeq()
	return true
}

func (q *Quarantine) nextSeq() uint64 {
	q.lastSeq++
	return q.lastSeq
}

// Alive tells that a target has just answered on a connection that was opened at a time. If it was taken for ended in
// between, it has not: a connection does not outlive the process.
func (q *Quarantine) Alive(t Lifetime, opened, now time.Time) []Change {
	q.mutex.Lock()
	e := q.ends[t]
	refuted := e != nil && e.refutedSeq == 0 && opened.Before(e.at) && now.Sub(e.at) > aliveMargin
	q.mutex.Unlock()
	if !refuted {
		return nil
	}
	return q.Add(now, Refuted{Target: t})
}

// Tick forgets what is too old and returns what follows from that.
func (q *Quarantine) Tick(now time.Time) []Change {
	if !q.Active() {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for f, s := range q.suspects {
		if s.inFlight == 0 && now.After(s.keptUntil()) {
			delete(q.suspects, f)
		}
	}
	used := map[Lifetime]bool{}
	for _, s := range q.suspects {
		for t := range s.losses {
			used[t] = true
		}
	}
	for t := range q.ends {
		if !used[t] {
			delete(q.ends, t)
		}
	}
	return q.judge(now)
}

// keptUntil returns when the request is forgotten. One that was held off is remembered for as long again, so that the
// next target that ends under it suffices.
func (s *suspect) keptUntil() time.Time {
	if len(s.losses) == 0 {
		return s.answeredAt.Add(answeredTTL)
	}
	if s.verdict.guilty {
		return s.verdict.until.Add(max(suspicionTTL, s.verdict.until.Sub(s.lastEnded())))
	}
	return s.lastEnded().Add(suspicionTTL)
}

func (s *suspect) lastEnded() time.Time {
	var last time.Time
	for _, l := range s.losses {
		if l.ended.After(last) {
			last = l.ended
		}
	}
	return last
}

// evict drops the requests with the fewest losses, and of those the oldest, while there are too many. A caller who fills the
// table with requests that were lost once does not push out one that ends targets again and again.
func (q *Quarantine) evict() {
	for len(q.suspects) > maxSuspects {
		var least Fingerprint
		var worst *suspect
		for f, s := range q.suspects {
			if worst == nil || len(s.losses) < len(worst.losses) ||
				len(s.losses) == len(worst.losses) && s.lastEnded().Before(worst.lastEnded()) {
				least, worst = f, s
			}
		}
		delete(q.suspects, least)
	}
}
