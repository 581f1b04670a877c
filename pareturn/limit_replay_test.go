package pareturn

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayahead/paquota"
)

// limitReplay has entry VMs that share the limit of a workspace, whose callers send more than that for ten seconds. They have 2.5 to 3 s. Callers that are
// refused return once, to any entry VM, at the time told or after a third of the time left.
type limitReplay struct {
	random    *rand.Rand
	tolerance paquota.Tolerance
	pool      *paquota.Pool
	all       []*replayEntry
	// booking switches reservations on; otherwise callers get the share's time and half of it at random. silent cuts off the limiter.
	booking, silent bool
	// coming are the callers under way to an entry VM, by the millisecond.
	coming map[time.Duration][]replayCaller
	tally  replayTally
}

type replayCaller struct {
	// sent is when the first attempt was sent, whole the time that the caller had then.
	sent, whole time.Duration
	again       bool
	promised    bool
}

type replayTally struct {
	first, firstServed                 int
	returned, returnedServed           int
	promised, promisedServed, deferred int
}

type replayEntry struct {
	share     *paquota.Share
	schedule  Schedule
	deadlines Deadlines
	rate      float64
	waiters   []replayWaiter
	returned  int
	id        uint64
	nextCall  time.Duration
	call      *replayCall
}

type replayWaiter struct {
	replayCaller
	until time.Duration
}

type replayCall struct {
	demand             paquota.Demand
	arrives, comesBack time.Duration
	granted            int
	next               time.Duration
}

const (
	replayLimit   = 200
	replayEntries = 6
	replayWait    = 350 * time.Millisecond
)

const replayWorkspace = "w"

func replay(over float64, booking, silent bool) replayTally {
	limit := paquota.Limit{Rate: replayLimit, Burst: replayLimit}
	m := &limitReplay{
		random: rand.New(rand.NewPCG(1, 2)), booking: booking, silent: silent, coming: map[time.Duration][]replayCaller{},
		tolerance: paquota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	}
	d := paquota.Divide(limit, m.tolerance, replayEntries)
	m.pool = paquota.NewPool(d.Pool, m.tolerance, 0)
	for i := range replayEntries {
		m.all = append(m.all, &replayEntry{
			id: uint64(i + 1), share: paquota.NewShare(d.Share, 0, m.tolerance, 0),
			rate: d.Share.Rate + d.Share.WindowTokens/m.tolerance.Window.Seconds(),
		})
	}
	const from, until = 10 * time.Second, 20 * time.Second
	due := 0.0
	for now := time.Duration(0); now < until+5*time.Second; now += time.Millisecond {
		rate := 0.5
		if now >= from && now < until {
			rate = over
		}
		for due += rate * replayLimit / 1000; due >= 1; due-- {
			m.arrive(replayCaller{sent: now, whole: testLeft - time.Duration(m.random.IntN(500))*time.Millisecond}, now)
		}
		for _, c := range m.coming[now] {
			m.arrive(c, now)
		}
		delete(m.coming, now)
		for _, e := range m.all {
			m.step(e, now)
		}
	}
	return m.tally
}

func (m *limitReplay) arrive(c replayCaller, now time.Duration) {
	e := m.all[m.random.IntN(len(m.all))]
	left := c.sent + c.whole - now
	e.deadlines.Note("r", left, now)
	returns := m.booking && e.deadlines.HasReservation("r", left)
	reachable := !m.silent || now < 10*time.Second
	var v paquota.Verdict
	switch {
	case returns:
		e.schedule.Claim(replayWorkspace, 0, ms(100), now)
		v = e.share.DecideReturn(now, reachable, ms(320))
	default:
		v = e.share.DecideReserving(e.schedule.TokensToKeep(replayWorkspace, ms(100), now), now, reachable)
	}
	switch w := (replayWaiter{c, now + replayWait}); {
	case v == paquota.Admit:
		m.served(e, c, now)
	case v == paquota.Refuse:
		m.refused(e, c, now)
	case returns:
		e.waiters = slices.Insert(e.waiters, e.returned, w)
		e.returned++
	default:
		e.waiters = append(e.waiters, w)
	}
}

func (m *limitReplay) step(e *replayEntry, now time.Duration) {
	for i := 0; i < len(e.waiters); {
		if w := e.waiters[i]; now >= w.until {
			e.waiters = slices.Delete(e.waiters, i, i+1)
			if i < e.returned {
				e.returned--
			}
			e.share.CancelWait()
			m.refused(e, w.replayCaller, now)
			continue
		}
		i++
	}
	if c := e.call; c != nil {
		if now == c.arrives {
			c.granted, c.next = m.pool.Take(c.demand, now)
		}
		if now < c.comesBack {
			return
		}
		run, refused := e.share.ApplyGrant(c.granted, c.next, ms(150), now)
		done := slices.Clone(e.waiters[:run+refused])
		e.waiters, e.returned = slices.Delete(e.waiters, 0, run+refused), max(0, e.returned-run-refused)
		for i, w := range done {
			if i < run {
				m.served(e, w.replayCaller, now)
			} else {
				m.refused(e, w.replayCaller, now)
			}
		}
		e.call, e.nextCall = nil, now+ms(15)
		return
	}
	if now < e.nextCall || m.silent && now >= 10*time.Second {
		return
	}
	if d := e.share.Demand(now); d.Waiting+d.Spare > 0 {
		d.EntryID = e.id
		delay := time.Duration(1+5*e.id) * time.Millisecond
		e.call = &replayCall{demand: d, arrives: now + delay, comesBack: now + 2*delay}
	}
}

func (m *limitReplay) served(e *replayEntry, c replayCaller, now time.Duration) {
	e.schedule.CountToken(replayWorkspace, now)
	m.count(c, 1)
}

func (m *limitReplay) count(c replayCaller, served int) {
	if !c.again {
		m.tally.first, m.tally.firstServed = m.tally.first+1, m.tally.firstServed+served
		return
	}
	m.tally.returned, m.tally.returnedServed = m.tally.returned+1, m.tally.returnedServed+served
	if c.promised {
		m.tally.promised, m.tally.promisedServed = m.tally.promised+1, m.tally.promisedServed+served
	}
}

func (m *limitReplay) refused(e *replayEntry, c replayCaller, now time.Duration) {
	m.count(c, 0)
	if c.again {
		return
	}
	left := c.sent + c.whole - now
	told := Return{After: e.share.RetryAfter(now)}
	if m.booking {
		rate := e.rate
		if !m.silent || now < 10*time.Second {
			rate = min(replayLimit, max(e.rate, e.schedule.Rate(replayWorkspace, now)))
		}
		from, to := e.deadlines.Window("r", left)
		e.deadlines.NoteRefused("r", now)
		told = e.schedule.Reserve(Refused{Workspace: replayWorkspace, Rate: rate, Earliest: told.After, Left: left, From: from, To: to}, now)
	} else {
		told.After += time.Duration(m.random.Float64() / 2 * float64(told.After))
		told.Reserved = told.After <= left/honouredDivisor
	}
	if !told.Reserved {
		m.tally.deferred++
	}
	at := now + min(told.After, left/honouredDivisor) + time.Duration(1+m.random.IntN(30))*time.Millisecond
	at = at.Round(time.Millisecond)
	m.coming[at] = append(m.coming[at], replayCaller{sent: c.sent, whole: c.whole, again: true, promised: told.Reserved})
}

// Guards against callers that return as they were told and are refused again: under an overload of ten seconds at twice the limit, and
// at eight times, and with limiter and store silent throughout it.
func TestCallersThatReturnAsToldFindAToken(t *testing.T) {
	for _, c := range []struct {
		name   string
		over   float64
		silent bool
	}{{"twice", 2, false}, {"eight times", 8, false}, {"twice, limiter silent", 2, true}} {
		t.Run(c.name, func(t *testing.T) {
			before, got := replay(c.over, false, c.silent), replay(c.over, true, c.silent)
			t.Logf("before: %+v", before)
			t.Logf("now: %+v", got)
			if found := float64(got.promisedServed) / float64(got.promised); found < 0.8 {
				t.Errorf("%.2f of the callers that had a reservation found a token", found)
			}
			if now, then := got.firstServed+got.returnedServed, before.firstServed+before.returnedServed; now < then*97/100 {
				t.Errorf("%d requests served, %d before", now, then)
			}
		})
	}
}
