package pasteer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayahead/pafleet"
)

// limitModel has entry VMs and 12 targets of one service in virtual time; some targets name a limit at some time.
type limitModel struct {
	view   *pafleet.View
	random *rand.Rand
	all    []*Balancer
	byName map[string]*Balancer
	// lasts are the last notes that each entry VM has of others, by their indexes.
	lasts map[[2]int]uint64
	// limitOf returns what a target names, or a negative number for nothing.
	limitOf func(target string, at time.Duration) float64
	// mayTalk says whether two entry VMs reach each other.
	mayTalk  func(i, k int, at time.Duration) bool
	arrivals map[string][]time.Duration
	served   int
	refused  int
}

const (
	limitModelTick = 20 * time.Millisecond
	limitModelRun  = 30 * time.Millisecond
)

func newLimitModel(entries int, limitOf func(target string, at time.Duration) float64) *limitModel {
	m := &limitModel{
		view: fleet(2), random: rand.New(rand.NewPCG(uint64(entries), 1)), lasts: map[[2]int]uint64{}, limitOf: limitOf,
		mayTalk: func(_, _ int, _ time.Duration) bool { return true }, arrivals: map[string][]time.Duration{},
		byName: map[string]*Balancer{},
	}
	for zone := range regions {
		m.view.Apply(pafleet.EntryRemoved{Name: "entry-" + zone, Revision: 900}, begin)
	}
	zones := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	for i := range entries {
		m.register(i, zones[i%len(zones)])
	}
	for i := range entries {
		zone := zones[i%len(zones)]
		b := New(Config{Name: fmt.Sprint("entry-", i), Zone: zone, Region: regions[zone], Regions: regions, RetryWindow: 10 * time.Second})
		b.Update(m.view, begin.Add(-time.Minute))
		m.all = append(m.all, b)
		m.byName[b.Config.Name] = b
	}
	var peers []Peer
	for _, b := range m.all {
		peers = append(peers, Peer{Name: b.Config.Name, Zone: b.Config.Zone, Region: b.Config.Region})
	}
	for i, b := range m.all {
		b.UpdatePeers(slices.Concat(peers[:i], peers[i+1:]), begin)
	}
	return m
}

func (m *limitModel) register(i int, zone string) {
	m.view.Apply(pafleet.EntryUpdated{Entry: pafleet.Entry{
		Name: fmt.Sprint("entry-", i), Zone: zone, Region: regions[zone], Revision: pafleet.Revision(1000 + i),
	}}, begin)
}

// run plays a time with a number of requests a tick, each at a random entry VM.
func (m *limitModel) run(from, to time.Duration, perTick int) {
	for at := from; at < to; at += limitModelTick {
		now := begin.Add(at)
		for range perTick {
			m.send(m.all[m.random.IntN(len(m.all))], at)
		}
		if at%(500*time.Millisecond) == 0 {
			m.exchange(at, now)
		}
	}
}

func (m *limitModel) send(b *Balancer, at time.Duration) {
	now := begin.Add(at)
	q := request(fmt.Sprint(m.random.IntN(24)), now)
	c := b.Choose(q, now)
	var tried []string
	for c.Relay {
		p, ok := b.PickLimitSender(q, tried, now)
		if q.Direct = !ok; !ok {
			c = b.Choose(q, now)
			break
		}
		tried = append(tried, p.Name)
		other, direct := m.byName[p.Name], q
		direct.Direct = true
		b.StartRelay(p.Name)
		if c = other.Choose(direct, now); c.Target != "" {
			b.FinishRelay(RelayReport{Name: p.Name, Service: "s"}, now)
			b = other
			break
		}
		b.FinishRelay(RelayReport{Name: p.Name, Service: "s", Failed: true, RetryAfter: c.RetryAfter}, now)
		q.Direct = len(tried) == 3
		c = b.Choose(q, now)
	}
	if c.Target == "" {
		m.refused++
		return
	}
	b.Start(c, q, now)
	m.served++
	m.arrivals[c.Target] = append(m.arrivals[c.Target], at)
	r := Report{Target: c.Target, Route: "r", Object: q.Object, Outcome: Answered, Duration: limitModelRun, Warm: c.Warm}
	if limit := m.limitOf(c.Target, at); limit >= 0 {
		r.Limited, r.Limit = true, limit
	}
	b.Finish(r, now)
}

// exchange has each entry VM get the notes of those at growing distances.
func (m *limitModel) exchange(at time.Duration, now time.Time) {
	n := len(m.all)
	for i, b := range m.all {
		for d := 1; d < n; d *= 2 {
			for _, k := range []int{(i + d) % n, (i + n - d) % n} {
				if !m.mayTalk(i, k, at) {
					continue
				}
				edge := [2]int{i, k}
				notes, last := m.all[k].LimitNotes(m.lasts[edge], 64, now)
				m.lasts[edge] = last
				b.ApplyLimitNotes(notes, now)
			}
		}
	}
}

// most is the largest number of arrivals at a target in 4 s from a time on.
func (m *limitModel) most(target string, from, to time.Duration) (most int) {
	all := slices.DeleteFunc(slices.Clone(m.arrivals[target]), func(at time.Duration) bool { return at < from || at >= to })
	first := 0
	for i := range all {
		for all[i]-all[first] > 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A limit holds for the sum over all entry VMs, of which there may be more than the target takes requests a second.
func TestLimitHoldsForAllEntryVMsTogether(t *testing.T) {
	usual := map[int]map[string]int{}
	for _, entries := range []int{1, 7, 30, 300} {
		usual[entries] = unlimitedArrivals(entries)
		for _, limit := range []float64{0, 0.5, 1, 1.5, 6, 40} {
			for _, limited := range []int{1, 12} {
				t.Run(fmt.Sprintf("%d entry VMs, %v a second, %d targets", entries, limit, limited), func(t *testing.T) {
					t.Parallel()
					m := newLimitModel(entries, nil)
					ids := m.targetIDs()[:limited]
					m.limitOf = func(target string, at time.Duration) float64 {
						if at < 2*time.Second || at >= 20*time.Second || !slices.Contains(ids, target) {
							return -1
						}
						return limit
					}
					m.run(0, 20*time.Second, 4)
					allowed := 4*max(limit, minLimitRate)*1.05 + 2
					for _, id := range ids {
						if got := m.most(id, 6*time.Second, 20*time.Second); float64(got) > allowed {
							t.Errorf("%s got %d requests in 4 s, want at most %v", id, got, allowed)
						}
					}
					m.run(20*time.Second, 28*time.Second, 4)
					m.served, m.refused = 0, 0
					m.arrivals = map[string][]time.Duration{}
					m.run(28*time.Second, 32*time.Second, 4)
					if m.refused > 0 {
						t.Errorf("%d of %d refused 8 s after the end of the limit", m.refused, m.refused+m.served)
					}
					for _, id := range ids {
						// With one entry VM objects stay where they are warm, and those targets have room for all.
						if got := len(m.arrivals[id]); entries > 1 && limited == 12 && got < usual[entries][id]/3 {
							t.Errorf("%s got %d requests in 4 s after the end of its limit, %d if there was none", id, got, usual[entries][id])
						}
					}
				})
			}
		}
	}
}

// unlimitedArrivals is how many requests each target gets in 4 s if none names a limit.
func unlimitedArrivals(entries int) map[string]int {
	m := newLimitModel(entries, func(string, time.Duration) float64 { return -1 })
	m.run(0, 4*time.Second, 4)
	all := map[string]int{}
	for id, at := range m.arrivals {
		all[id] = len(at)
	}
	return all
}

func (m *limitModel) targetIDs() (all []string) {
	for id := range m.view.Targets {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// Where all targets are limited, what they take is used, wherever the requests arrive.
func TestWhatLimitedTargetsTakeIsUsed(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{1, 7, 30, 300} {
		for _, limit := range []float64{0.5, 1, 4, 8} {
			m := newLimitModel(entries, func(string, time.Duration) float64 { return limit })
			m.run(0, 6*time.Second, 4)
			m.served = 0
			m.run(6*time.Second, 16*time.Second, 4)
			if possible := limit * 12 * 10; float64(m.served) < 0.8*possible || float64(m.served) > 1.1*possible+12 {
				t.Errorf("%d entry VMs, %v a second at each of 12: %d of %v served in 10 s", entries, limit, m.served, possible)
			}
		}
	}
}

// Entry VMs that do not reach each other send together no more than the limit: their parts do not depend on what they hear.
func TestPartsOfALimitDoNotAddUpInAPartition(t *testing.T) {
	m := newLimitModel(7, func(target string, at time.Duration) float64 {
		if target == "a1-0" {
			return 1.5
		}
		return -1
	})
	m.mayTalk = func(i, k int, at time.Duration) bool { return i%2 == k%2 }
	m.run(0, 20*time.Second, 4)
	if got := m.most("a1-0", 4*time.Second, 20*time.Second); got > 8 {
		t.Errorf("%d requests in 4 s, want at most 8", got)
	}
}

// Senders leave and others take their place each second; what left and what came must not both send the whole.
func TestLimitHoldsWhileEntryVMsComeAndGo(t *testing.T) {
	m := newLimitModel(7, func(target string, at time.Duration) float64 {
		if target == "a1-0" {
			return 2
		}
		return -1
	})
	m.run(0, 4*time.Second, 4)
	for i := range 16 {
		name, at := fmt.Sprint("entry-", i%6), time.Duration(4+i)*time.Second
		m.view.Apply(pafleet.EntryRemoved{Name: name, Revision: pafleet.Revision(2000 + 10*i)}, begin)
		m.register(100+i, "a1")
		for _, b := range m.all {
			b.Update(m.view, begin.Add(at))
		}
		m.run(at, at+time.Second, 4)
	}
	if got := m.most("a1-0", 4*time.Second, 20*time.Second); got > 1.5*2*4+5 {
		t.Errorf("%d requests in 4 s, want at most %v", got, 1.5*2*4+5)
	}
}

// Guards against entry VMs that stop together and serve on: each of them once took itself for the first sender of those that remain.
func TestLimitHoldsWhileEntryVMsStop(t *testing.T) {
	m := newLimitModel(7, func(target string, at time.Duration) float64 {
		if target == "b1-0" {
			return 3.9
		}
		return -1
	})
	m.run(0, 4*time.Second, 4)
	for i, b := range m.all[:6] {
		m.view.Apply(pafleet.EntryRemoved{Name: fmt.Sprint("entry-", i), Revision: 2000}, begin)
		b.Leave()
	}
	for _, b := range m.all {
		b.Update(m.view, begin.Add(4*time.Second))
	}
	m.run(4*time.Second, 10*time.Second, 4)
	if got := m.most("b1-0", 4*time.Second, 10*time.Second); float64(got) > 1.5*3.9*4+5 {
		t.Errorf("%d requests in 4 s, want at most %v", got, 1.5*3.9*4+5)
	}
}

// Of a target that nobody sends to, nobody hears that its limit is over; after a while it is asked.
func TestALimitEndsThoughNoObjectIsAtTheTarget(t *testing.T) {
	m := newLimitModel(7, nil)
	m.limitOf = func(target string, at time.Duration) float64 {
		if target == "a1-0" && at < 6*time.Second {
			return 0
		}
		return -1
	}
	m.run(0, 6*time.Second, 4)
	m.run(6*time.Second, 12*time.Second, 1)
	for i, b := range m.all {
		if b.LimitedTargets(begin.Add(12*time.Second)) != 0 {
			t.Errorf("entry VM %d still takes it for limited 6 s after the end", i)
		}
	}
}

// Words that are late, of another lifetime or out of order do not bring back a limit.
func TestOldWordsOfALimitDoNotCount(t *testing.T) {
	b := newBalancer("a1", fleet(2))
	now := begin.Add(time.Minute)
	answer := func(limited bool, at time.Time) {
		b.Start(Choice{Target: "a1-0"}, request("", at), at)
		b.Finish(Report{Target: "a1-0", Route: "r", Outcome: Answered, Limited: limited, Limit: 1}, at)
	}
	note := LimitNote{Target: "a1-0", Born: 1, Limited: true, PerSecond: 1, Age: time.Second}
	answer(false, now)
	b.ApplyLimitNotes([]LimitNote{note}, now)
	if b.LimitedTargets(now) != 0 {
		t.Error("a note from before a response without a limit limits the target")
	}
	note.Age = 0
	note.Born = 2
	b.ApplyLimitNotes([]LimitNote{note}, now.Add(time.Second))
	note.Born, note.PerSecond = 1, -1
	b.ApplyLimitNotes([]LimitNote{note}, now.Add(time.Second))
	if b.LimitedTargets(now.Add(time.Second)) != 0 {
		t.Error("a note of another lifetime, or of no rate, limits the target")
	}
	answer(true, now.Add(2*time.Second))
	if b.LimitedTargets(now.Add(2*time.Second)) != 1 {
		t.Error("not limited")
	}
	b.ApplyLimitNotes([]LimitNote{{Target: "a1-0", Born: 1, Age: time.Second}}, now.Add(2*time.Second))
	if b.LimitedTargets(now.Add(2*time.Second)) != 1 {
		t.Error("the end of an earlier limit ended this one")
	}
	b.Start(Choice{Target: "a1-0"}, request("", now), now)
	b.Finish(Report{Target: "a1-0", Route: "r", Outcome: Moved}, now.Add(3*time.Second))
	b.Start(Choice{Target: "a1-0"}, request("", now), now)
	b.Finish(Report{Target: "a1-0", Route: "r", Outcome: Answered, LimitUnreadable: true}, now.Add(3*time.Second))
	if b.LimitedTargets(now.Add(3*time.Second)) != 1 {
		t.Error("another target's response, or a value that is no rate, ended the limit")
	}
	if b.LimitedTargets(now.Add(3*time.Second+limitTTL)) != 0 {
		t.Error("a limit of which nothing is heard lasts for ever")
	}
}
