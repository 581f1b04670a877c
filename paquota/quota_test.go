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
	timeStep = 20 * time.Millisecond
	// propagationTime is the time after a change until the last entry VM knows it.
	propagationTime = 3 * time.Second
)

// fleet is a model of entry VMs and a limiter in virtual time.
type fleet struct {
	random    *rand.Rand
	tolerance Tolerance
	limit     Limit
	now       time.Duration
	entries   []*entry
	// limiter is the index of the entry VM that holds the pool, or -1; from claimAt on an entry VM may claim the role.
	limiter  int
	claimAt  time.Duration
	pool     *Pool
	admitted []time.Duration
	sent     int
	refused  int
	// lossRate is the fraction of calls whose reply is lost.
	lossRate float64
	// equalParts divides the whole limit among the entry VMs in equal parts, without a pool.
	equalParts bool
}

// entry is an entry VM in the model.
type entry struct {
	alive       bool
	partitioned bool
	fleetSize   int
	limit       Limit
	// nextLimit and nextFleetSize become known to the entry VM at learnsAt.
	learnsAt      time.Duration
	nextLimit     Limit
	nextFleetSize int
	share         *Share
	call          *call
	failedAt      time.Duration
	startedAt     time.Duration
	id            uint64
}

// call is a call to the limiter in flight.
type call struct {
	demand    Demand
	sentAt    time.Duration
	granted   int
	next      time.Duration
	arrived   bool
	lost      bool
	arrivesAt time.Duration
	returnsAt time.Duration
}

func (f *fleet) divide(l Limit, n int) Division {
	if f.equalParts {
		b := Bucket{Rate: l.Rate * (1 + f.tolerance.Overage) / float64(n)}
		b.Depth = (f.tolerance.Allowance(l) - b.Rate*float64(n)*f.tolerance.Window.Seconds()) / float64(n)
		return Division{Share: b}
	}
	return Divide(l, f.tolerance, n)
}

func newFleet(seed uint64, n int, l Limit) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), limit: l, limiter: -1, lossRate: 0.1,
		tolerance: Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	}
	for range n {
		f.add(n, 0)
	}
	return f
}

func (f *fleet) add(fleetSize int, from time.Duration) {
	e := &entry{
		id: uint64(len(f.entries) + 1), alive: true, fleetSize: fleetSize, limit: f.limit,
		nextFleetSize: fleetSize, nextLimit: f.limit, failedAt: -time.Hour,
	}
	e.share = NewShare(f.divide(f.limit, fleetSize).Share, 0, f.tolerance, from)
	f.entries = append(f.entries, e)
}

// announce makes all entry VMs learn the size of the fleet and the limit within two thirds of propagationTime.
func (f *fleet) announce() {
	for _, e := range f.entries {
		e.learnsAt, e.nextLimit, e.nextFleetSize = f.now+time.Duration(f.random.Int64N(int64(propagationTime*2/3))), f.limit, len(f.entries)
	}
}

func (f *fleet) advance() {
	f.now += timeStep
	if f.limiter < 0 && f.now >= f.claimAt {
		if i := f.random.IntN(len(f.entries)); f.entries[i].alive && !f.entries[i].partitioned {
			f.limiter, f.pool = i, NewPool(f.divide(f.entries[i].limit, f.entries[i].fleetSize).Pool, f.tolerance, f.now)
		}
	}
	for _, e := range f.entries {
		if !e.alive {
			continue
		}
		if f.now >= e.learnsAt {
			e.limit, e.fleetSize = e.nextLimit, e.nextFleetSize
		}
		e.share.SetBucket(f.divide(e.limit, e.fleetSize).Share, f.now)
		f.stepCall(e)
	}
}

// stepCall advances the entry VM's call to the limiter, or starts one.
func (f *fleet) stepCall(e *entry) {
	c := e.call
	if c == nil {
		if d := e.share.Demand(f.now); d.Waiting+d.Spare > 0 && !f.equalParts {
			d.EntryID = e.id
			delay := time.Duration(f.random.Int64N(int64(MaxCallTime / 2)))
			e.call = &call{
				demand: d, sentAt: f.now, arrivesAt: f.now + delay, returnsAt: f.now + 2*delay,
				lost: f.random.Float64() < f.lossRate,
			}
		}
		return
	}
	if !c.arrived && f.now >= c.arrivesAt {
		c.arrived = true
		if f.limiter < 0 || e.partitioned {
			c.lost = true
		} else {
			l := f.entries[f.limiter]
			f.pool.SetBucket(f.divide(l.limit, l.fleetSize).Pool, f.now)
			c.granted, c.next = f.pool.Take(c.demand, f.now)
		}
	}
	if f.now < c.returnsAt {
		return
	}
	e.call = nil
	if c.lost || f.now-c.sentAt > MaxCallTime {
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
		f.admitted = append(f.admitted, f.now)
	}
}

// request sends a request to an entry VM.
func (f *fleet) request(e *entry) {
	f.sent++
	switch e.share.Decide(f.now, !f.equalParts && f.now-e.failedAt > 250*time.Millisecond) {
	case Admit:
		f.admitted = append(f.admitted, f.now)
	case Refuse:
		f.refused++
	}
}

// restart starts a new lifetime of an entry VM.
func (f *fleet) restart(e *entry) {
	d := f.divide(e.limit, e.fleetSize)
	if f.now-e.startedAt <= f.tolerance.Window {
		d.RestartTokens = 0
	}
	e.startedAt, e.call = f.now, nil
	e.share = NewShare(d.Share, d.RestartTokens, f.tolerance, f.now)
}

// injectFault applies a random fault or change to an entry VM or to all.
func (f *fleet) injectFault() {
	i := f.random.IntN(len(f.entries))
	e := f.entries[i]
	switch f.random.IntN(6) {
	case 0: // It stops, or restarts without its state.
		if e.alive = !e.alive; e.alive {
			f.restart(e)
		}
		e.call = nil
	case 3: // All restart at once.
		for _, e := range f.entries {
			if e.alive {
				f.restart(e)
			}
		}
		f.limiter, f.claimAt = -1, f.now
	case 1:
		e.partitioned = !e.partitioned
	case 2: // One joins that the others don't know yet.
		f.add(len(f.entries)+1, f.now+propagationTime)
		f.announce()
	}
	if f.limiter >= 0 && (!f.entries[f.limiter].alive || f.entries[f.limiter].partitioned || f.random.IntN(8) == 0) {
		f.endClaim()
	}
}

// endClaim ends the limiter's term. The next limiter starts with an empty pool or with the tokens of this one.
func (f *fleet) endClaim() {
	next := f.entries[f.random.IntN(len(f.entries))]
	if l := f.entries[f.limiter]; l.alive && !l.partitioned && next.alive && f.random.IntN(2) == 0 {
		left := f.pool.Drain(f.now)
		f.limiter = slices.Index(f.entries, next)
		f.pool = NewPool(f.divide(next.limit, next.fleetSize).Pool, f.tolerance, f.now)
		f.pool.Add(left)
		return
	}
	f.limiter, f.claimAt = -1, f.now+time.Duration(f.random.Int64N(int64(2*time.Second)))
}

// busiestWindow returns the maximum number of admitted requests in any window that begins at from or later.
func (f *fleet) busiestWindow(from time.Duration) int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for f.admitted[first] < from || at-f.admitted[first] >= f.tolerance.Window {
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

// stress sends up to perStep requests in each step, with pauses in which the buckets fill. It injects faults at a rate that
// differs between fleets.
func (f *fleet) stress(until time.Duration, perStep int) {
	faultRate := math.Pow(10, -1-2*f.random.Float64())
	pause := time.Duration(f.random.Int64N(int64(4 * time.Second)))
	for f.now < until {
		f.advance()
		if f.random.Float64() < faultRate {
			f.injectFault()
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

// Guards against admitting more than the limit allows when entry VMs stop, restart, join, are partitioned and lose replies
// while a workspace sends many times its limit.
func TestNoWindowPassesTheLimit(t *testing.T) {
	const seeds = 1000
	ratio := 0.0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 2))
		l := Limit{Rate: 1 + r.Float64()*200, Burst: r.Float64() * 300}
		f := newFleet(seed, 3+r.IntN(40), l)
		f.stress(18*time.Second, 2+int(l.Rate/4))
		n, allowed := f.busiestWindow(0), f.tolerance.Allowance(l)
		ratio += float64(n) / allowed / seeds
		if float64(n) > allowed {
			t.Errorf("seed %d: %d requests admitted within a window, %.0f allowed", seed, n, allowed)
		}
	}
	t.Logf("busiest windows admit %.2f of the allowance on average", ratio)
}

// Guards against entry VMs that together admit more than a lowered limit allows, because some know the new limit and others
// don't yet. The limit must hold once the propagation time and one window have passed.
func TestALoweredLimitBindsOneWindowLater(t *testing.T) {
	for seed := range uint64(200) {
		f := newFleet(seed, 20, Limit{Rate: 100, Burst: 100})
		f.stress(8*time.Second, 12)
		f.limit = Limit{Rate: 30, Burst: 30}
		f.announce()
		changed := f.now
		f.stress(22*time.Second, 12)
		if n, allowed := f.busiestWindow(changed+propagationTime+f.tolerance.Window), f.tolerance.Allowance(f.limit); float64(n) > allowed {
			t.Errorf("seed %d: %d requests admitted within a window, %.0f allowed", seed, n, allowed)
		}
	}
}

// The parts of a limit must add up to nearly the allowance and never exceed it, even with more entry VMs than tokens.
func TestPartsAddUp(t *testing.T) {
	tolerance := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, l := range []Limit{{0.1, 0}, {1, 0}, {5, 5}, {30, 30}, {437, 437}, {30, 0}, {1e6, 1e6}} {
		for _, n := range []int{0, 1, 7, 34, 300, 2127} {
			d := Divide(l, tolerance, n)
			sum := float64(max(1, n))*(d.RestartTokens+d.Share.Depth+d.Share.WindowTokens+d.Share.Rate*tolerance.Window.Seconds()) +
				d.Pool.Depth + d.Pool.WindowTokens + d.Pool.Rate*(tolerance.Window+MaxCallTime).Seconds()
			if allowed := tolerance.Allowance(l); sum > allowed || sum < 0.9*allocatedFraction*allowed ||
				d.Pool.Depth < 0 || d.Pool.Rate < 0 {
				t.Errorf("limit %v over %d entry VMs: %+v adds up to %.1f of %.1f allowed", l, n, d, sum, allowed)
			}
		}
	}
}

// Each of a workspace's dozen callers uses one of 34 entry VMs at a time. With equal parts of the limit, they were refused
// although the workspace stayed below it.
func TestAWorkspaceBelowItsLimitIsServed(t *testing.T) {
	const n, callers = 34, 12
	refusedFraction := func(equalParts bool, rate float64) float64 {
		f := newFleet(7, n, Limit{Rate: rate, Burst: rate})
		f.equalParts, f.lossRate = equalParts, 0
		at := make([]int, callers)
		for f.now < 60*time.Second {
			f.advance()
			for c := range at {
				if f.random.IntN(100) == 0 {
					at[c] = f.random.IntN(n)
				}
				if f.random.Float64() < 0.62*rate*timeStep.Seconds()/callers {
					f.request(f.entries[at[c]])
				}
			}
		}
		return float64(f.refused) / float64(f.sent)
	}
	for _, rate := range []float64{15, 40, 400} {
		equal, pooled := refusedFraction(true, rate), refusedFraction(false, rate)
		t.Logf("rate %.0f: equal parts refuse %.1f in 1,000, shares and a pool %.1f", rate, 1000*equal, 1000*pooled)
		if pooled > equal/10 || pooled > 0.01 {
			t.Errorf("rate %.0f: shares and a pool refuse %.1f in 1,000, equal parts %.1f", rate, 1000*pooled, 1000*equal)
		}
	}
}

// Hundreds of entry VMs kept calling the limiter for spare tokens of a workspace whose pool had none. The calls between regions
// cost more than all requests.
func TestCallsWithEmptyAnswersBecomeRare(t *testing.T) {
	s := NewShare(Bucket{Depth: 2}, 0, Tolerance{Window: 5 * time.Second}, 0)
	calls := 0
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if w := s.Demand(now); w.Spare > 0 {
			calls++
			s.ApplyGrant(0, 0, 0, now)
		}
	}
	if calls > 20 {
		t.Errorf("%d calls without tokens in a minute, want at most 20", calls)
	}
	s.ApplyGrant(2, 0, 0, time.Minute)
	if s.Decide(time.Minute, true); s.Demand(time.Minute).Spare == 0 {
		t.Error("a share that got tokens and used them does not call for spare tokens again")
	}
}

func ExampleDivide() {
	tolerance := Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	d := Divide(Limit{Rate: 100, Burst: 100}, tolerance, 10)
	fmt.Printf("share: %.1f tokens/s, depth %.0f, window tokens %.0f\n", d.Share.Rate, d.Share.Depth, d.Share.WindowTokens)
	fmt.Printf("pool: %.1f tokens/s, depth %.0f, window tokens %.0f\n", d.Pool.Rate, d.Pool.Depth, d.Pool.WindowTokens)
	// Output: share: 0.9 tokens/s, depth 4, window tokens 5
	// pool: 77.3 tokens/s, depth 33, window tokens 33
}
