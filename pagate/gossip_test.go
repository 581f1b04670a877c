package pagate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pabucket"
	"papayahead/pafleet"
	"papayahead/paroute"
	"papayahead/pasteer"
)

// gossipSim simulates calls between entry VMs that exchange warm notes; each call happens at a random time of its
// interval.
type gossipSim struct {
	entries   []pafleet.Entry
	balancers []*pasteer.Balancer
	// asks lists for each entry VM the ones that it asks, and after the last note that it got from each of these.
	asks   [][]int
	after  [][]uint64
	budget []*pabucket.Bucket
	random *rand.Rand
	// sent are the notes that each sent in all, inSecond those of the current second, and peak the most in a second.
	sent, inSecond, peak []int
}

const gossipTargets = 12

var gossipStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newGossipSim(entries, regions int) *gossipSim {
	o := &gossipSim{random: rand.New(rand.NewPCG(3, 5)), budget: make([]*pabucket.Bucket, entries)}
	o.sent, o.inSecond, o.peak = make([]int, entries), make([]int, entries), make([]int, entries)
	v := &pafleet.View{}
	zones := map[string]string{}
	changes := []pafleet.Change{pafleet.ConfigUpdated{Revision: 1, Config: &paroute.Config{Version: 1, Services: map[string]paroute.Service{"s": {}}}}}
	for i := range gossipTargets {
		t := pafleet.Target{ID: fmt.Sprint("t", i), Service: "s", Zone: "r0", Slots: 3, Born: 1, Sequence: 1, Revision: pafleet.Revision(i + 2)}
		changes = append(changes, pafleet.TargetUpdated{Target: t})
	}
	index := map[string]int{}
	for i := range entries {
		region := fmt.Sprint("r", i%regions)
		zones[region] = region
		e := pafleet.Entry{Name: fmt.Sprint("e", i), Zone: region, Region: region}
		index[e.Name] = i
		o.budget[i] = &pabucket.Bucket{Rate: notesPerSecond, Burst: maxNoteBurst}
		o.entries = append(o.entries, e)
	}
	v.ApplyListing(changes, gossipTargets+2, gossipStart)
	s := &state{entries: o.entries}
	for _, e := range o.entries {
		g := New(Config{Settings: Settings{Name: e.Name, Zone: e.Zone, Region: e.Region, Regions: zones}, Network: noNetwork{}, Clock: clockwork.NewFakeClock()})
		g.state.Store(s)
		var asks []int
		for _, n := range g.warmNoteSources(s) {
			asks = append(asks, index[n.Name])
		}
		o.asks, o.after = append(o.asks, asks), append(o.after, make([]uint64, len(asks)))
		g.balancer.Update(v, gossipStart)
		o.balancers = append(o.balancers, g.balancer)
	}
	return o
}

// run simulates a number of half seconds; use is called at the start of each and may send requests.
func (o *gossipSim) run(halves int, use func(half int, now time.Time)) {
	for half := range halves {
		at := gossipStart.Add(time.Duration(half) * syncInterval)
		use(half, at)
		if half%2 == 0 {
			clear(o.inSecond)
		}
		for _, i := range o.random.Perm(len(o.entries)) {
			now := at.Add(time.Duration(o.random.Int64N(int64(syncInterval))))
			for k, from := range o.asks[i] {
				o.call(i, k, from, now)
			}
		}
	}
}

// replyDelay is the time that a reply takes.
const replyDelay = 20 * time.Millisecond

func (o *gossipSim) call(to, edge, from int, now time.Time) {
	most := o.budget[from].Available(now)
	notes, last := o.balancers[from].WarmNotes(o.after[to][edge], most, now)
	o.budget[from].Spend(len(notes))
	o.after[to][edge] = last
	o.sent[from] += len(notes)
	o.inSecond[from] += len(notes)
	o.peak[from] = max(o.peak[from], o.inSecond[from])
	o.balancers[to].ApplyNotes(notes, now.Add(replyDelay))
}

func (o *gossipSim) start(entry int, target, object string, now time.Time) {
	q := pasteer.Request{Route: &paroute.Route{Name: "r", Affinity: true}, Service: "s", Object: object}
	o.balancers[entry].Start(pasteer.Choice{Target: target}, q, now)
}

// gossipSizes are numbers of entry VMs and regions, with one entry VM per zone, up to the design size.
var gossipSizes = [][2]int{{7, 3}, {30, 3}, {119, 3}, {2100, 26}}

// If the objects in use do not fit into the targets' caches, each runs cold and evicts another. The notes on that
// circulated among neighbours and were most of the traffic between entry VMs.
func TestWarmNotesAreRateLimited(t *testing.T) {
	const halves = 20
	for _, size := range gossipSizes[:3] {
		o := newGossipSim(size[0], size[1])
		o.run(halves, func(half int, now time.Time) {
			for i := range 200 {
				n := half*200 + i
				o.start(n%size[0], fmt.Sprint("t", n%gossipTargets), fmt.Sprint(n%1500), now)
			}
		})
		sum, most := 0, 0
		for i := range o.sent {
			sum += o.sent[i]
			most = max(most, o.sent[i])
		}
		perSecond := float64(sum) / float64(size[0]) / (halves / 2)
		t.Logf("%d entry VMs: %.0f notes a second each, %d at most", size[0], perSecond, most/(halves/2))
		if bound := maxNoteBurst + notesPerSecond*halves/2 + notesPerSecond; most > bound {
			t.Errorf("%d entry VMs: one sent %d notes in %d s, want at most %d", size[0], most, halves/2, bound)
		}
	}
}

// An object runs at one target while others run everywhere. An entry VM that does not learn of it within some seconds
// would run it cold elsewhere. The note must cross each edge at most once.
func TestWarmNoteReachesAllEntryVMsOnce(t *testing.T) {
	for _, size := range gossipSizes {
		o := newGossipSim(size[0], size[1])
		reached := 0
		o.run(8, func(half int, now time.Time) {
			if half == 0 {
				o.start(0, "t3", "x", now)
				return
			}
			n := 0
			for _, s := range o.balancers {
				if c := s.Choose(pasteer.Request{Route: warmRoute, Service: "s", Object: "x", Deadline: now.Add(time.Minute)}, now); c.Target == "t3" && c.Warm {
					n++
				}
			}
			if n == size[0] && reached == 0 {
				reached = half
			}
		})
		edges := 0
		sum := 0
		for i := range o.sent {
			edges += len(o.asks[i])
			sum += o.sent[i]
		}
		t.Logf("%d entry VMs: the note is everywhere after %v, sent %d times over %d edges", size[0], time.Duration(reached)*syncInterval, sum, edges)
		if reached == 0 || time.Duration(reached)*syncInterval > 5*time.Second {
			t.Errorf("%d entry VMs: the note is everywhere after %d half seconds, want 1 to 10", size[0], reached)
		}
		if sum > edges {
			t.Errorf("%d entry VMs: one note was sent %d times over %d edges", size[0], sum, edges)
		}
	}
}

var warmRoute = &paroute.Route{Name: "r", Parts: []paroute.WeightedService{{Service: "s", Weight: 1}}, Affinity: true, TargetLatency: time.Second, Timeout: time.Minute}
