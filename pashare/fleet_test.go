package pashare_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayahead/paretry"
	"papayahead/pashare"
)

var (
	soakSeed  = flag.Uint64("share.seed", 1, "the first seed of the soak of shared budgets")
	soakSeeds = flag.Int("share.seeds", 2, "the number of seeds of that soak for each size of the fleet")
)

const (
	step       = 20 * time.Millisecond
	tick       = 250 * time.Millisecond
	soakTime   = 60 * time.Second
	maxAge     = 5 * time.Second
	leaseTTL   = 5 * time.Second
	grace      = 6 * time.Second
	readPeriod = 600 * time.Millisecond
	service    = "s"
	// maxArrival is how long a retry takes to its target at most, maxWay how long a request takes to its entry VM.
	maxArrival = 150 * time.Millisecond
	maxWay     = 50 * time.Millisecond
)

var allowance = paretry.Allowance{Ratio: 0.2, Floor: 58, Window: 10 * time.Second}

// member is an entry VM of the modelled fleet.
type member struct {
	name string
	// running is set while there is a process, stopping while that shuts down until stopsAt, suspended while the machine stands still.
	running, stopping, suspended bool
	stopsAt                      time.Duration
	// steady is the process's clock, which stands still while it is suspended.
	steady time.Duration
	// cut is set while the entry VM does not reach the store, renewedAt when it last renewed its lease.
	cut                bool
	renewedAt          time.Duration
	verifiedAt, readAt time.Duration
	census             pashare.Census
	retries            paretry.Share
}

// fleet is a store and entry VMs in virtual time: censuses and shares as the gates have them.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	members []*member
	// size is the number of entry VMs in the beginning.
	size       int
	registered map[string]uint64
	revision   uint64
	storeDown  bool
	perSecond  float64
	failing    float64
	due        float64
	added      int
	// requests and repeats are when callers sent requests and when further attempts arrived.
	requests, repeats []time.Duration
	refused           int
	worstSum          float64
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(n))), registered: map[string]uint64{}, size: n}
	f.perSecond = float64(n) * []float64{0.3, 3, 10}[f.random.IntN(3)]
	for range n {
		f.add()
	}
	return f
}

// add adds a machine.
func (f *fleet) add() {
	f.added++
	m := &member{name: fmt.Sprint("edge-", f.added)}
	f.members = append(f.members, m)
	f.start(m)
}

// start starts a process, which knows nothing of the one before.
func (f *fleet) start(m *member) {
	m.running, m.stopping = true, false
	m.census = pashare.Census{Name: m.name, MaxAge: maxAge}
	m.retries = paretry.Share{}
	m.verifiedAt, m.readAt, m.renewedAt = -time.Hour, f.now+f.below(500*time.Millisecond), -time.Hour
}

func (f *fleet) kill(m *member) { m.running = false }

// stop begins a graceful shutdown; the registration ends soon.
func (f *fleet) stop(m *member) {
	if m.running && !m.stopping {
		m.stopping, m.stopsAt = true, f.now+f.below(grace)
	}
}

func (f *fleet) below(d time.Duration) time.Duration { return time.Duration(f.random.Int64N(int64(d))) }

func (m *member) reachesStore(f *fleet) bool {
	return !m.cut && !f.storeDown && !m.suspended && m.running
}

// advance lets time pass by one step.
func (f *fleet) advance() {
	f.now += step
	for _, m := range f.members {
		if !m.suspended {
			m.steady += step
		}
		f.renew(m)
		f.read(m)
		if m.running && m.stopping && f.now >= m.stopsAt {
			f.start(m)
		}
	}
	if f.now%tick == 0 {
		f.accrue()
	}
	f.send()
}

// renew keeps the entry VM's lease, or lets it lapse.
func (f *fleet) renew(m *member) {
	switch {
	case m.reachesStore(f) && m.stopping:
		delete(f.registered, m.name)
	case m.reachesStore(f) && f.now-m.renewedAt > leaseTTL/3 && f.now >= m.readAt:
		m.renewedAt = f.now
		if f.registered[m.name] == 0 {
			f.revision++
			f.registered[m.name] = f.revision
		}
	case !f.storeDown && f.now-m.renewedAt > leaseTTL && m.renewedAt >= 0:
		delete(f.registered, m.name)
	}
}

// read has the entry VM learn a state of the store, which is some time old.
func (f *fleet) read(m *member) {
	if !m.reachesStore(f) || f.now < m.readAt {
		return
	}
	m.verifiedAt = f.now
	m.census.Observe(maps.Keys(f.registered), f.registered[m.name], f.now)
	m.readAt = f.now + f.below(readPeriod)
	if f.random.IntN(20) == 0 {
		m.readAt = f.now + f.below(2*maxAge)
	}
}

// accrue is the tick of all processes.
func (f *fleet) accrue() {
	sum := 0.0
	for _, m := range f.members {
		if !m.running || m.suspended {
			continue
		}
		part := 0.0
		if !m.stopping {
			part = m.census.Part(service, allowance.FloorParts(), f.now-m.verifiedAt, f.now)
		}
		sum += part
		m.retries.Accrue(allowance, part, m.clock())
	}
	f.worstSum = max(f.worstSum, sum)
}

func (m *member) clock() time.Time { return time.Unix(0, 0).Add(m.steady) }

// send has requests arrive at random processes and fail there.
func (f *fleet) send() {
	taking := slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return !m.running || m.suspended })
	for f.due += f.perSecond * step.Seconds(); f.due >= 1; f.due-- {
		f.requests = append(f.requests, f.now-f.below(maxWay))
		if len(taking) == 0 {
			continue
		}
		m := taking[f.random.IntN(len(taking))]
		m.retries.Deposit(allowance, m.clock())
		if f.random.Float64() >= f.failing {
			continue
		}
		if m.retries.TryWithdraw(m.clock()) {
			f.repeats = append(f.repeats, f.now+f.below(maxArrival))
		} else {
			f.refused++
		}
	}
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.advance()
	}
}

// disturb lets one random event happen to one, some or all entry VMs.
func (f *fleet) disturb() {
	event := f.random.IntN(12)
	share := []float64{0, 0.3, 1}[f.random.IntN(3)]
	hit := []*member{f.members[f.random.IntN(len(f.members))]}
	for _, m := range f.members {
		if f.random.Float64() < share {
			hit = append(hit, m)
		}
	}
	switch event {
	case 0:
		f.failing = []float64{0, 0.1, 1, 1}[f.random.IntN(4)]
	case 1:
		f.perSecond = min(f.perSecond*[]float64{0.5, 0.8, 1.25, 2}[f.random.IntN(4)], 10*float64(f.size))
	case 2:
		f.storeDown = !f.storeDown
	case 3:
		for range 1 + f.random.IntN(f.size) {
			if len(f.members) < 2*f.size {
				f.add()
			}
		}
	case 4:
		f.members = slices.DeleteFunc(f.members, func(m *member) bool { return len(hit) < len(f.members) && slices.Contains(hit, m) })
	default:
		for _, m := range hit {
			f.hit(m, event)
		}
	}
}

func (f *fleet) hit(m *member, event int) {
	switch event {
	case 5, 6:
		f.kill(m)
		f.start(m)
	case 7, 8:
		f.stop(m)
	case 9:
		m.cut = !m.cut
	case 10:
		m.suspended = !m.suspended
	case 11:
		if f.kill(m); f.random.IntN(2) == 0 {
			f.start(m)
		}
	}
}

// between returns how many of the times, which are sorted, are in [from, to).
func between(all []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(all, from)
	last, _ := slices.BinarySearch(all, to)
	return last - first
}

// worstWindow returns the window of the platform's rule in which repeats exceed what is allowed the most, or come nearest to it.
func (f *fleet) worstWindow() (at time.Duration, repeats int, allowed float64) {
	slices.Sort(f.requests)
	slices.Sort(f.repeats)
	w := allowance.Window
	for _, begin := range f.repeats {
		requests := max(between(f.requests, begin, begin+w), between(f.requests, begin-w, begin), between(f.requests, begin-w/2, begin+w/2))
		n, a := between(f.repeats, begin, begin+w), allowance.Ratio*float64(requests)+allowance.Floor
		if repeats == 0 || float64(n)-a > float64(repeats)-allowed {
			at, repeats, allowed = begin, n, a
		}
	}
	return at, repeats, allowed
}

// Guards against a shared budget that is exceeded by starts, stops, kills, cuts, suspensions, machines added and removed and outages of
// the store that overlap. Repeats are counted as the platform's rule counts them.
func TestNoWindowPassesTheSharedAllowance(t *testing.T) {
	for _, n := range []int{7, 30, 119, 300} {
		for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
			t.Run(fmt.Sprintf("%d entry VMs, seed %d", n, seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(n, seed)
				f.run(12 * time.Second)
				f.failing = 1
				for f.now < soakTime {
					f.run(f.below(1500 * time.Millisecond))
					f.disturb()
				}
				at, repeats, allowed := f.worstWindow()
				t.Logf("%d entry VMs in the end, %d requests, %d repeats, %d refused; worst window from %v: %d, allowed %.1f; largest sum of parts %.3f",
					len(f.members), len(f.requests), len(f.repeats), f.refused, at, repeats, allowed, f.worstSum)
				if float64(repeats) > allowed {
					t.Errorf("%d repeats in the window from %v, allowed %.1f", repeats, at, allowed)
				}
				if f.worstSum > 1+1e-9 {
					t.Errorf("the parts add up to %.3f, want at most 1", f.worstSum)
				}
			})
		}
	}
}
