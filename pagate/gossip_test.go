package pagate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"papayahead/pafleet"
	"papayahead/paroute"
	"papayahead/pasteer"
)

// gossip plays calls between entry VMs that tell each other what is warm, each call at a time of its own.
type gossip struct {
	entries []pafleet.Entry
	steers  []*pasteer.Balancer
	// asks has the entry VMs that each asks, and after the number of the last note that it got from each.
	asks   [][]int
	after  [][]uint64
	budget []*budget
	random *rand.Rand
	// told and most are the notes that each told in all, and at most in a second.
	told, second, most []int
}

const gossipTargets = 12

var gossipBegin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newGossip(entries, regions int) *gossip {
	o := &gossip{random: rand.New(rand.NewPCG(3, 5)), budget: make([]*budget, entries)}
	o.told, o.second, o.most = make([]int, entries), make([]int, entries), make([]int, entries)
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
		o.budget[i] = &budget{rate: noteRate, burst: noteBurst}
		o.entries = append(o.entries, e)
	}
	v.ApplyListing(changes, gossipTargets+2, gossipBegin)
	s := &state{entries: o.entries}
	for _, e := range o.entries {
		g := New(Config{Settings: Settings{Name: e.Name, Zone: e.Zone, Region: e.Region, Regions: zones}, Network: unused{}, Clock: clockwork.NewFakeClock()})
		g.state.Store(s)
		var asks []int
		for _, n := range g.noteSources(s) {
			asks = append(asks, index[n.Name])
		}
		o.asks, o.after = append(o.asks, asks), append(o.after, make([]uint64, len(asks)))
		g.steer.Update(v, gossipBegin)
		o.steers = append(o.steers, g.steer)
	}
	return o
}

// run plays half seconds; use is called at the begin of each and may send requests.
func (o *gossip) run(halves int, use func(half int, now time.Time)) {
	for half := range halves {
		at := gossipBegin.Add(time.Duration(half) * syncPace)
		use(half, at)
		if half%2 == 0 {
			clear(o.second)
		}
		for _, i := range o.random.Perm(len(o.entries)) {
			now := at.Add(time.Duration(o.random.Int64N(int64(syncPace))))
			for k, from := range o.asks[i] {
				o.call(i, k, from, now)
			}
		}
	}
}

// wayOfGossip is the time that an answer takes.
const wayOfGossip = 20 * time.Millisecond

func (o *gossip) call(to, edge, from int, now time.Time) {
	most := o.budget[from].available(now)
	notes, last := o.steers[from].WarmNotes(o.after[to][edge], most, now)
	o.budget[from].spend(len(notes))
	o.after[to][edge] = last
	o.told[from] += len(notes)
	o.second[from] += len(notes)
	o.most[from] = max(o.most[from], o.second[from])
	o.steers[to].ApplyNotes(notes, now.Add(wayOfGossip))
}

func (o *gossip) start(entry int, target, object string, now time.Time) {
	q := pasteer.Request{Route: &paroute.Route{Name: "r", Affinity: true}, Service: "s", Object: object}
	o.steers[entry].Start(pasteer.Choice{Target: target}, q, now)
}

// sizes are deployments of one entry VM a zone up to the size to design for: entry VMs and regions.
var gossipSizes = [][2]int{{7, 3}, {30, 3}, {119, 3}, {2100, 26}}

// Objects that do not fit: each runs cold and pushes another out. Notes of them went round among neighbours and
// were most of what entry VMs sent each other.
func TestNotesOfWarmObjectsAreBoundedForEachEntryVM(t *testing.T) {
	const halves = 20
	for _, size := range gossipSizes[:3] {
		o := newGossip(size[0], size[1])
		o.run(halves, func(half int, now time.Time) {
			for i := range 200 {
				n := half*200 + i
				o.start(n%size[0], fmt.Sprint("t", n%gossipTargets), fmt.Sprint(n%1500), now)
			}
		})
		sum, most := 0, 0
		for i := range o.told {
			sum += o.told[i]
			most = max(most, o.told[i])
		}
		perSecond := float64(sum) / float64(size[0]) / (halves / 2)
		t.Logf("%d entry VMs: %.0f notes a second each, %d at most", size[0], perSecond, most/(halves/2))
		if bound := noteBurst + noteRate*halves/2 + noteRate; most > bound {
			t.Errorf("%d entry VMs: one told %d notes in %d s, want at most %d", size[0], most, halves/2, bound)
		}
	}
}

// One object runs at a target while others run everywhere. An entry VM that does not hear of it within some
// seconds runs it cold elsewhere.
func TestANoteReachesAllEntryVMsOnce(t *testing.T) {
	for _, size := range gossipSizes {
		o := newGossip(size[0], size[1])
		reached := 0
		o.run(8, func(half int, now time.Time) {
			if half == 0 {
				o.start(0, "t3", "x", now)
				return
			}
			n := 0
			for _, s := range o.steers {
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
		for i := range o.told {
			edges += len(o.asks[i])
			sum += o.told[i]
		}
		t.Logf("%d entry VMs: all know after %v, told %d times over %d edges", size[0], time.Duration(reached)*syncPace, sum, edges)
		if reached == 0 || time.Duration(reached)*syncPace > 5*time.Second {
			t.Errorf("%d entry VMs: all know after %d half seconds", size[0], reached)
		}
		if sum > edges {
			t.Errorf("%d entry VMs: one note was told %d times over %d edges", size[0], sum, edges)
		}
	}
}

var warmRoute = &paroute.Route{Name: "r", Parts: []paroute.WeightedService{{Service: "s", Weight: 1}}, Affinity: true, TargetLatency: time.Second, Timeout: time.Minute}
