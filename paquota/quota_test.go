package paquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	step = 20 * time.Millisecond
	// applied is how long after a change the last entry VM knows of it.
	applied = 3 * time.Second
)

// fleet is a model of entry VMs and a limiter in virtual time.
type fleet struct {
	random  *rand.Rand
	terms   Tolerance
	limit   Limit
	now     time.Duration
	entries []*entry
	// limiter is the index of the entry VM that keeps the pool, or -1; it may claim it from claimAt on.
	limiter int
	claimAt time.Duration
	pool    *Pool
	runs    []time.Duration
	asked   int
	refused int
	// loses is the share of calls whose answer is lost.
	loses float64
	// plain gives each entry VM an equal part of the whole limit and no pool.
	plain bool
}

// entry is an entry VM of the model.
type entry struct {
	alive bool
	cut   bool
	known int
	limit Limit
	// next are the fleet's size and the limit that the entry VM learns at learnsAt.
	learnsAt  time.Duration
	next      Limit
	nextKnown int
	share     *Share
	call      *call
	failedAt  time.Duration
	startedAt time.Duration
	id        uint64
}

// call is a call to the limiter on its way.
type call struct {
	wanted  Demand
	at      time.Duration
	granted int
	next    time.Duration
	arrived bool
	lost    bool
	arrives time.Duration
	replies time.Duration
}

func (f *fleet) divide(l Limit, n int) Division {
	if f.plain {
		b := Bucket{Rate: l.Rate * (1 + f.terms.Overage) / float64(n)}
		b.Depth = (f.terms.Allowance(l) - b.Rate*float64(n)*f.terms.Window.Seconds()) / float64(n)
		return Division{Share: b}
	}
	return Divide(l, f.terms, n)
}

func newFleet(seed uint64, n int, l Limit) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), limit: l, limiter: -1, loses: 0.1,
		terms: Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	}
	for range n {
		f.add(n, 0)
	}
	return f
}

func (f *fleet) add(known int, from time.Duration) {
	e := &entry{id: uint64(len(f.entries) + 1), alive: true, known: known, limit: f.limit, nextKnown: known, next: f.limit, failedAt: -time.Hour}
	e.share = NewShare(f.divide(f.limit, known).Share, 0, f.terms, from)
	f.entries = append(f.entries, e)
}

// tell makes all entry VMs learn of the fleet's size and limit within the time that the platform allows.
func (f *fleet) tell() {
	for _, e := range f.entries {
		e.learnsAt, e.next, e.nextKnown = f.now+time.Duration(f.random.Int64N(int64(applied*2/3))), f.limit, len(f.entries)
	}
}

func (f *fleet) advance() {
	f.now += step
	if f.limiter < 0 && f.now >= f.claimAt {
		if i := f.random.IntN(len(f.entries)); f.entries[i].alive && !f.entries[i].cut {
			f.limiter, f.pool = i, NewPool(f.divide(f.entries[i].limit, f.entries[i].known).Pool, f.terms, f.now)
		}
	}
	for _, e := range f.entries {
		if !e.alive {
			continue
		}
		if f.now >= e.learnsAt {
			e.limit, e.known = e.next, e.nextKnown
		}
		e.share.SetBucket(f.divide(e.limit, e.known).Share, f.now)
		f.exchange(e)
	}
}

// exchange moves the entry VM's call to the limiter on, or begins one.
func (f *fleet) exchange(e *entry) {
	c := e.call
	if c == nil {
		if w := e.share.Demand(f.now); w.Waiting+w.Spare > 0 && !f.plain {
			w.EntryID = e.id
			way := time.Duration(f.random.Int64N(int64(MaxCallTime / 2)))
			e.call = &call{wanted: w, at: f.now, arrives: f.now + way, replies: f.now + 2*way, lost: f.random.Float64() < f.loses}
		}
		return
	}
	if !c.arrived && f.now >= c.arrives {
		c.arrived = true
		if f.limiter < 0 || e.cut {
			c.lost = true
		} else {
			l := f.entries[f.limiter]
			f.pool.SetBucket(f.divide(l.limit, l.known).Pool, f.now)
			c.granted, c.next = f.pool.Take(c.wanted, f.now)
		}
	}
	if f.now < c.replies {
		return
	}
	e.call = nil
	if c.lost || f.now-c.at > MaxCallTime {
		e.failedAt = f.now
		for e.share.waiting > 0 {
			e.share.CancelWait()
			f.refused++
		}
		return
	}
	run, refused := e.share.ApplyGrant(c.granted, c.next, 150*time.Millisecond, f.now)
	f.refused += refused
	for range run {
		f.runs = append(f.runs, f.now)
	}
}

// request sends one request to an entry VM.
func (f *fleet) request(e *entry) {
	f.asked++
	switch e.share.Decide(f.now, !f.plain && f.now-e.failedAt > 250*time.Millisecond) {
	case Admit:
		f.runs = append(f.runs, f.now)
	case Refuse:
		f.refused++
	}
}

// restart begins another lifetime of an entry VM.
func (f *fleet) restart(e *entry) {
	d := f.divide(e.limit, e.known)
	if f.now-e.startedAt <= f.terms.Window {
		d.RestartTokens = 0
	}
	e.startedAt, e.call = f.now, nil
	e.share = NewShare(d.Share, d.RestartTokens, f.terms, f.now)
}

// trouble does one thing at random to an entry VM.
func (f *fleet) trouble() {
	i := f.random.IntN(len(f.entries))
	e := f.entries[i]
	switch f.random.IntN(6) {
	case 0: // It dies, or starts again with nothing of what it had.
		if e.alive = !e.alive; e.alive {
			f.restart(e)
		}
		e.call = nil
	case 3: // All start again at once.
		for _, e := range f.entries {
			if e.alive {
				f.restart(e)
			}
		}
		f.limiter, f.claimAt = -1, f.now
	case 1:
		e.cut = !e.cut
	case 2: // One joins that the others do not know of yet.
		f.add(len(f.entries)+1, f.now+applied)
		f.tell()
	}
	if f.limiter >= 0 && (!f.entries[f.limiter].alive || f.entries[f.limiter].cut || f.random.IntN(8) == 0) {
		f.leave()
	}
}

// leave ends the limiter's claim. Another begins with an empty pool, or with what this one left.
func (f *fleet) leave() {
	next := f.entries[f.random.IntN(len(f.entries))]
	if l := f.entries[f.limiter]; l.alive && !l.cut && next.alive && f.random.IntN(2) == 0 {
		left := f.pool.Drain(f.now)
		f.limiter = slices.Index(f.entries, next)
		f.pool = NewPool(f.divide(next.limit, next.known).Pool, f.terms, f.now)
		f.pool.Add(left)
		return
	}
	f.limiter, f.claimAt = -1, f.now+time.Duration(f.random.Int64N(int64(2*time.Second)))
}

// most returns the most runs in any window that begins after a time.
func (f *fleet) most(from time.Duration) int {
	most, first := 0, 0
	for i, at := range f.runs {
		for f.runs[first] < from || at-f.runs[first] >= f.terms.Window {
			if first++; first > i {
				break
			}
		}
		if first <= i {
			most = max(most, i-first+1)
		}
	}
	return most
}

// hunt sends up to a number of requests each step, with pauses in which the buckets fill, and makes trouble often in some
// fleets and seldom in others.
func (f *fleet) hunt(until time.Duration, perStep int) {
	troubled := math.Pow(10, -1-2*f.random.Float64())
	pause := time.Duration(f.random.Int64N(int64(4 * time.Second)))
	for f.now < until {
		f.advance()
		if f.random.Float64() < troubled {
			f.trouble()
		}
		if f.now%(6*time.Second) < pause {
			continue
		}
		hot := f.entries[f.random.IntN(len(f.entries))]
		for range f.random.IntN(perStep + 1) {
			e := hot
			if f.random.IntN(2) == 0 {
				e = f.entries[f.random.IntN(len(f.entries))]
			}
			if e.alive {
				f.request(e)
			}
		}
	}
}

// Entry VMs die, start again, join, are cut off and lose answers while a workspace sends many times its limit: more ran
// than the limit allows.
func TestNoWindowPassesTheLimit(t *testing.T) {
	const seeds = 1000
	ratio := 0.0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 2))
		l := Limit{Rate: 1 + r.Float64()*200, Burst: r.Float64() * 300}
		f := newFleet(seed, 3+r.IntN(40), l)
		f.hunt(18*time.Second, 2+int(l.Rate/4))
		n, allowed := f.most(0), f.terms.Allowance(l)
		ratio += float64(n) / allowed / seeds
		if float64(n) > allowed {
			t.Errorf("seed %d: %d ran within a window, %.0f allowed", seed, n, allowed)
		}
	}
	t.Logf("the busiest windows ran %.2f of what is allowed, in the mean", ratio)
}

// A limit is lowered while all of it is used: entry VMs that know of it and others that do not yet let run more than
// either limit.
func TestALoweredLimitBindsOneWindowLater(t *testing.T) {
	for seed := range uint64(200) {
		f := newFleet(seed, 20, Limit{Rate: 100, Burst: 100})
		f.hunt(8*time.Second, 12)
		f.limit = Limit{Rate: 30, Burst: 30}
		f.tell()
		changed := f.now
		f.hunt(22*time.Second, 12)
		if n, allowed := f.most(changed+applied+f.terms.Window), f.terms.Allowance(f.limit); float64(n) > allowed {
			t.Errorf("seed %d: %d ran within a window, %.0f allowed", seed, n, allowed)
		}
	}
}

// The parts of a limit add up to what is allowed and no more, also where there are more entry VMs than tokens.
func TestPartsAddUp(t *testing.T) {
	terms := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, l := range []Limit{{0.1, 0}, {1, 0}, {5, 5}, {30, 30}, {437, 437}, {30, 0}, {1e6, 1e6}} {
		for _, n := range []int{0, 1, 7, 34, 300, 2127} {
			d := Divide(l, terms, n)
			sum := float64(max(1, n))*(d.RestartTokens+d.Share.Depth+d.Share.WindowTokens+d.Share.Rate*terms.Window.Seconds()) +
				d.Pool.Depth + d.Pool.WindowTokens + d.Pool.Rate*(terms.Window+MaxCallTime).Seconds()
			if allowed := terms.Allowance(l); sum > allowed || sum < 0.9*used*allowed || d.Pool.Depth < 0 || d.Pool.Rate < 0 {
				t.Errorf("%v over %d entry VMs: %+v sums to %.1f of %.1f", l, n, d, sum, allowed)
			}
		}
	}
}

// A workspace of a dozen callers meets some of 34 entry VMs, each for a while: equal parts refused it below its limit.
func TestAWorkspaceBelowItsLimitIsServed(t *testing.T) {
	const n, callers = 34, 12
	share := func(plain bool, rate float64) float64 {
		f := newFleet(7, n, Limit{Rate: rate, Burst: rate})
		f.plain, f.loses = plain, 0
		at := make([]int, callers)
		for f.now < 60*time.Second {
			f.advance()
			for c := range at {
				if f.random.IntN(100) == 0 {
					at[c] = f.random.IntN(n)
				}
				if f.random.Float64() < 0.62*rate*step.Seconds()/callers {
					f.request(f.entries[at[c]])
				}
			}
		}
		return float64(f.refused) / float64(f.asked)
	}
	for _, rate := range []float64{15, 40, 400} {
		plain, pooled := share(true, rate), share(false, rate)
		t.Logf("rate %.0f: equal parts refuse %.1f in 1,000, shares and a pool %.1f", rate, 1000*plain, 1000*pooled)
		if pooled > plain/10 || pooled > 0.01 {
			t.Errorf("rate %.0f: shares and a pool refuse %.1f in 1,000, equal parts %.1f", rate, 1000*pooled, 1000*plain)
		}
	}
}

// Hundreds of entry VMs asked for a workspace whose pool had nothing to spare at each turn, and the calls between regions
// cost more than all requests.
func TestAsksInVainBecomeRare(t *testing.T) {
	s := NewShare(Bucket{Depth: 2}, 0, Tolerance{Window: 5 * time.Second}, 0)
	asks := 0
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if w := s.Demand(now); w.Spare > 0 {
			asks++
			s.ApplyGrant(0, 0, 0, now)
		}
	}
	if asks > 20 {
		t.Errorf("%d calls in a minute that brought nothing", asks)
	}
	s.ApplyGrant(2, 0, 0, time.Minute)
	if s.Decide(time.Minute, true); s.Demand(time.Minute).Spare == 0 {
		t.Error("a share that was refilled does not ask again once it was used")
	}
}

func ExampleDivide() {
	terms := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	d := Divide(Limit{Rate: 100, Burst: 100}, terms, 10)
	fmt.Printf("each: %.1f a second, %.0f and %.0f at once\n", d.Share.Rate, d.Share.Depth, d.Share.WindowTokens)
	fmt.Printf("pool: %.1f a second, %.0f and %.0f at once\n", d.Pool.Rate, d.Pool.Depth, d.Pool.WindowTokens)
	// Output: each: 0.9 a second, 4 and 5 at once
	// pool: 77.3 a second, 33 and 33 at once
}
