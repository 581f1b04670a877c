package pacapacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"papayahead/pamember"
	"papayahead/paspread"

	"google.golang.org/protobuf/proto"
)

func measureSpread(t *testing.T) {
	for _, s := range []Shape{{4, 3, 4}, {8, 3, 4}, {8, 3, 8}, {16, 3, 8}, {26, 3, 8}} {
		f := newFleet(t, 2, s, true)
		f.Run(40 * time.Second)
		for _, loss := range []float64{0, 0.05, 0.2} {
			f.Loss = loss
			f.Run(5 * time.Second)
			took, missing := roll(f, 15*time.Second)
			t.Logf("spread daemons=%d loss=%.2f: p50=%.2fs max=%.2fs missing=%d", s.Size(), loss, took[len(took)/2].Seconds(), took[len(took)-1].Seconds(), missing)
		}
		f.Loss = 0
		for i := range max(1, s.Size()/100) {
			f.Nodes[i*97%s.Size()].Down = true
		}
		took, missing := roll(f, 15*time.Second)
		t.Logf("spread daemons=%d just after 1%% died: p50=%.2fs max=%.2fs missing=%d", s.Size(), took[len(took)/2].Seconds(), took[len(took)-1].Seconds(), missing)
		spreadAfterCut(t, f, s)
	}
}

// spreadAfterCut cuts two zones from all others and from the store, rolls out a change, heals, and times the two.
func spreadAfterCut(t *testing.T, f *Fleet, s Shape) {
	cut := map[string]bool{string(f.Nodes[0].Identity.Zone): true, string(f.Nodes[s.PerZone].Identity.Zone): true}
	f.Cut = func(from, to pamember.Identity) bool {
		return from.Zone != to.Zone && (cut[string(from.Zone)] || cut[string(to.Zone)])
	}
	f.Run(2 * time.Minute)
	_, missing := roll(f, 20*time.Second)
	f.Cut = nil
	healed := f.Now
	f.Run(30 * time.Second)
	took, after := arrivals(f, f.Store.Head.Sequence, healed)
	t.Logf("spread daemons=%d two zones cut for 140 s: %d without the change while cut, max=%.2fs after the healing, missing=%d", s.Size(), missing, max(0, took[len(took)-1].Seconds()), after)
}

// measureHour runs at 5 % loss and counts what is taken for dead, suspected or unreachable though it lives: an hour of a
// larger fleet, and twenty of today's 7 daemons in 6 zones, where a single daemon's silence is a zone's.
func measureHour(t *testing.T) {
	large := newFleet(t, 3, Shape{4, 3, 8}, false)
	falseDetections(t, large, time.Hour)
	today := newFleet(t, 3, Shape{3, 2, 1}, false)
	if _, err := today.Add("region-00", "region-00-a", "entry-extra"); err != nil {
		t.Fatal(err)
	}
	today.Do(today.Nodes[6], pamember.Seeds{List: today.Seeds()})
	falseDetections(t, today, 20*time.Hour)
}

func falseDetections(t *testing.T, f *Fleet, d time.Duration) {
	f.Run(30 * time.Second)
	f.Loss = 0.05
	count := map[string]int{}
	f.OnChange = func(_ *Node, c pamember.Change) {
		switch c := c.(type) {
		case pamember.StateChanged:
			count[c.New.String()]++
		case pamember.ZoneLost:
			count["ZoneLost"]++
		}
	}
	f.Run(d)
	t.Logf("hour at 5%% loss, daemons=%d for %v: declared dead=%d zones lost=%d (these move traffic); views that showed a suspicion=%d", len(f.Nodes), d, count["Dead"], count["ZoneLost"], count["Suspected"])
	if count["Dead"]+count["ZoneLost"] > 0 {
		t.Error("false detections that move traffic")
	}
}

func measureFailure(t *testing.T) {
	for _, s := range []Shape{{4, 3, 4}, {8, 3, 4}, {8, 3, 8}, {4, 3, 27}, {16, 3, 8}, {26, 3, 8}} {
		for _, kind := range []string{"VM", "rack", "zone"} {
			f := newFleet(t, 4, s, false)
			f.Run(60 * time.Second)
			lost := map[string]int{"VM": 1, "rack": s.PerZone / 2, "zone": s.PerZone}[kind]
			for _, n := range f.Nodes[:lost] {
				n.Down = true
			}
			region, all := time.Duration(0), time.Duration(0)
			for took := time.Duration(0); all == 0 && took < 90*time.Second; {
				f.Run(500 * time.Millisecond)
				took += 500 * time.Millisecond
				near, far := shownLive(f, lost)
				if region == 0 && near == 0 {
					region = took
				}
				if near+far == 0 {
					all = took
				}
			}
			t.Logf("failure daemons=%d of a %s (%d daemons): out of all views of the region after %.1fs, of the fleet after %.1fs", s.Size(), kind, lost, region.Seconds(), all.Seconds())
		}
	}
}

// shownLive counts views that show one of the first nodes as live, in their region and elsewhere.
func shownLive(f *Fleet, lost int) (near, far int) {
	for _, n := range f.Nodes[lost:] {
		v := n.View(f.Now)
		for _, d := range f.Nodes[:lost] {
			if m, ok := v.Find(d.Identity.Name); !ok || !m.Live() {
				continue
			}
			if n.Identity.Region == d.Identity.Region {
				near++
			} else {
				far++
			}
		}
	}
	return near, far
}

// measureStore counts the store's reads and waiting watches: a change, a region that reboots, an hour's outage.
func measureStore(t *testing.T) {
	for _, s := range []Shape{{4, 3, 4}, {4, 3, 8}, {8, 3, 8}, {16, 3, 8}} {
		f := newFleet(t, 5, s, true)
		f.Run(40 * time.Second)
		roll(f, 15*time.Second)
		watches := 0
		for _, n := range f.Nodes {
			if paspread.IsWatcher(n.View(f.Now)) {
				watches++
			}
		}
		f.Store.Reads = 0
		roll(f, 15*time.Second)
		change := f.Store.Reads
		f.Store.Reads = 0
		for _, n := range f.Nodes[:s.ZonesPerRegion*s.PerZone] {
			if err := f.Restart(n); err != nil {
				t.Fatal(err)
			}
		}
		f.Run(30 * time.Second)
		reboot := f.Store.Reads
		f.Store.Down, f.Store.Reads = true, 0
		f.Run(time.Minute)
		f.Store.Down = false
		took, missing := roll(f, 15*time.Second)
		t.Logf("store daemons=%d zones=%d: watches=%d, reads a change=%d, reads after a region of %d reboots=%d, after an outage with the next change=%d (max %.1fs, missing %d)",
			s.Size(), s.Regions*s.ZonesPerRegion, watches, change, s.ZonesPerRegion*s.PerZone, reboot, f.Store.Reads, took[len(took)-1].Seconds(), missing)
	}
}

// measureMechanism compares ways to spread one change over 2,100 daemons in rounds of one message exchange, as a count of
// messages and rounds: uniform random peers, the paper's fixed generators (offsets 2^i on the ring of sorted members),
// a tree by zone and region, and pamember's way. It also states what full mesh heartbeats cost with the real message.
func measureMechanism(t *testing.T) {
	n := newFleet(t, 1, Shape{3, 2, 1}, false).Nodes[0]
	ping := pamember.Message{Kind: pamember.Ping, Nonce: 1, From: n.Self()}
	size := proto.Size(pamember.ToWire([]pamember.Message{ping}))
	for _, d := range []int{100, 200, 400, 2100} {
		t.Logf("mechanism full mesh daemons=%d: %d B/s sent at one ping of %d B a second to each", d, (d-1)*size, size)
	}
	const daemons, region = 2106, 81
	for _, loss := range []float64{0, 0.05, 0.2} {
		for _, way := range []string{"random", "generators", "levels", "tree", "regional"} {
			rounds, messages, far, got := spreadRounds(way, daemons, region, loss, rand.New(rand.NewPCG(1, 9)))
			t.Logf("mechanism %s loss=%.2f: rounds=%d messages=%d of them between regions=%d reached=%d of %d", way, loss, rounds, messages, far, got, daemons)
		}
	}
}

// regional is the way of pamember: ten sends within the region, and four to others by three relays of it.
func regional(i, k, n, region int, r *rand.Rand) (int, bool) {
	const near, far, relays = 10, 4, 3
	if i%region < relays {
		if k < far {
			return r.IntN(n), true
		}
		k -= far
	}
	return i - i%region + r.IntN(region), k < near
}

// spreadRounds lets every daemon that has the change send it to the peers of a way, one a round and each once, until all
// have it or nobody sends any more.
func spreadRounds(way string, n, region int, loss float64, r *rand.Rand) (rounds, messages, far, got int) {
	has, sent := make([]bool, n), make([]int, n)
	has[0], got = true, 1
	for active := true; active && got < n; rounds++ {
		active = false
		type arrival struct{ to, level int }
		var next []arrival
		for i := range n {
			to, ok := 0, false
			if has[i] {
				to, ok = target(way, i, sent[i], n, region, r)
			}
			if !ok {
				continue
			}
			active = true
			sent[i]++
			messages++
			if i/region != to/region {
				far++
			}
			if r.Float64() >= loss {
				next = append(next, arrival{to, sent[i]})
			}
		}
		for _, a := range next {
			if !has[a.to] {
				has[a.to] = true
				got++
				// With levels, the offsets that the sender has used are done for this half of the ring.
				if way == "levels" {
					sent[a.to] = a.level
				}
			}
		}
	}
	return rounds, messages, far, got
}

// target returns the k-th peer that a daemon sends to: 12 of either gossip, or the children in a tree of regions, zones, daemons.
func target(way string, i, k, n, region int, r *rand.Rand) (int, bool) {
	const fanOut, zone = 12, 27
	switch way {
	case "random":
		return r.IntN(n), k < fanOut
	case "generators", "levels":
		// The largest offset first, which doubles those that have the change in each round.
		return (i + 1<<max(fanOut-1-k, 0)) % n, k < fanOut
	case "regional":
		return regional(i, k, n, region, r)
	}
	children := []int{}
	if i == 0 {
		for c := region; c < n; c += region {
			children = append(children, c)
		}
	}
	if i%region == 0 {
		for c := i + zone; c < i+region; c += zone {
			children = append(children, c)
		}
	}
	if i%zone == 0 {
		for c := i + 1; c < i+zone; c++ {
			children = append(children, c)
		}
	}
	if k >= len(children) {
		return 0, false
	}
	return children[k], true
}
